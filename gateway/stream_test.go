package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// streamFrom serves a stream of events from after the last one on, and breaks off
// in the middle of the event breakAt.
func streamFrom(t *testing.T, breakAt, last int) *endpoint {
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		from, _ := strconv.Atoi(r.Header.Get("Test-Last"))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		cw := httputil.NewChunkedWriter(c)
		for i := from + 1; i <= last; i++ {
			data := event(i)
			if i == breakAt {
				_, _ = io.WriteString(cw, data[:len(data)/2])
				return false
			}
			_, _ = io.WriteString(cw, data)
		}
		_ = cw.Close()
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	})
}

// Guards against events that are missing, doubled or joined when a stream goes on
// at another endpoint, and against a broken stream that looks complete.
func TestStreamGoesOnAfterItsLastWholeEvent(t *testing.T) {
	f := newFixture(t, streamFrom(t, 3, 6), streamFrom(t, -1, 6))
	want := ""
	for i := 1; i <= 6; i++ {
		want += event(i)
	}
	status, body, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, want, body)

	f = newFixture(t, streamFrom(t, 3, 6), streamFrom(t, -1, 6))
	_, body, err = f.do(t, f.request(t, "POST", "/stream/x", "prompt"))
	require.Error(t, err, "a stream that can't be resumed must not look complete")
	require.Equal(t, event(1)+event(2), body)
}

// Guards against events that wait for later ones.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	release := make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n")
		cw := httputil.NewChunkedWriter(c)
		_, _ = io.WriteString(cw, event(1))
		<-release
		_, _ = io.WriteString(cw, event(2))
		_ = cw.Close()
		_, err := io.WriteString(c, "\r\n")
		return err == nil
	})
	f := newFixture(t, e)
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/stream/x", "prompt"))
	require.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, len(event(1)))
	_, err = io.ReadFull(resp.Body, first)
	require.NoError(t, err)
	require.Equal(t, event(1), string(first))
	close(release)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, event(2), string(rest))
}
