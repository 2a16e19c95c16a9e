package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sendEndlessly writes the start, then the repeated text until the connection is closed.
func sendEndlessly(c net.Conn, start, repeated string) {
	_, err := io.WriteString(c, start)
	chunk := strings.Repeat(repeated, 1+4096/len(repeated))
	for err == nil {
		_, err = io.WriteString(c, chunk)
	}
}

// Guards against an endpoint in trouble that uses up the memory of an entry with bytes that never
// become an answer's head. What passes the bound ends the connection, counts against the
// endpoint's health and is retried only where the request may run again.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, start, repeated string }{
		{"bytes that are no answer", "", "\x00\x01\x02"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", ok + "A: ", "a"},
		{"header name", ok, "a"},
		{"header lines", ok, "A: a\r\n"},
		{"folded lines", ok + "A: a\r\n", " a\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"header lines of interim answers", "", "HTTP/1.1 103 Early Hints\r\nA: a\r\nB: b\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			endless := serveRaw(t, func(_ *http.Request, conn net.Conn) bool {
				sendEndlessly(conn, c.start, c.repeated)
				return false
			})
			f := newFixture(t, endless, serveRaw(t, respondOK("from the other")))
			status, body, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, "from the other", body)

			f = newFixture(t, endless)
			for range 3 {
				status, body, err = f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
				require.NoError(t, err)
				require.Equal(t, 502, status, "it may have run")
				require.Contains(t, body, `"ran":"unknown"`)
			}
			f.state.mu.Lock()
			defer f.state.mu.Unlock()
			require.False(t, f.state.endpointState("e0").health.Usable(f.clock.read()))
		})
	}
}

// Guards against a bound that cuts a sound answer with a long head.
func TestLongHeadIsAccepted(t *testing.T) {
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nLong: "+strings.Repeat("a", 30<<10)+"\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	f := newFixture(t, e)
	for range 3 {
		require.Equal(t, 200, f.status(t, "/unsafe/x", "key"))
	}
	require.EqualValues(t, 3, e.requests.Load())
	require.Len(t, f.pool.idle, 1, "the connection is used again")
}
