package stricthttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is used again after a broken head, of which the rest of what the
// server sent would be read as the next response.
func TestConnectionOfABrokenHeadIsNotUsedAgain(t *testing.T) {
	for _, head := range []string{"101 Switching Protocols\r\n", "000 Broken\r\nContent-Length: 0\r\n", "200 OK\r\nX Foo: 1\r\nContent-Length: 0\r\n"} {
		var conns atomic.Int64
		address := serveConns(t, func(nc *net.TCPConn) {
			first := conns.Add(1) == 1
			br := bufio.NewReader(nc)
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				if first {
					response = "HTTP/1.1 " + head + "\r\n"
				}
				_, _ = io.WriteString(nc, response)
			}
		})
		client := http.Client{Transport: NewTransport(&http.Transport{})}
		_, err := client.Get("http://" + address.String())
		require.Error(t, err, head)
		resp, err := client.Get("http://" + address.String())
		require.NoError(t, err, head)
		require.NoError(t, resp.Body.Close())
		require.EqualValues(t, 2, conns.Load(), head)
	}
}

// Guards against interim responses without end, as net/http doesn't bound them for those who look at
// them.
func TestInterimResponsesAreBounded(t *testing.T) {
	address := serveConns(t, func(nc *net.TCPConn) {
		_, err := http.ReadRequest(bufio.NewReader(nc))
		for err == nil {
			_, err = io.WriteString(nc, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n")
		}
	})
	client := http.Client{Transport: NewTransport(&http.Transport{})}
	_, err := client.Get("http://" + address.String())
	require.ErrorIs(t, err, errTooManyInterim)
}
