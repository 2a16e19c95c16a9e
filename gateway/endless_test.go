package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// Guards against a refusal whose body never ends and that keeps its request from being placed
// elsewhere.
func TestBodyWithoutEndOfARefusalIsNotAwaited(t *testing.T) {
	for _, c := range []struct{ name, head, repeated string }{
		{"bytes", "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\n\r\n", "a"},
		{"chunks", "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"chunk extension", "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"chunk size", "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailer", "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: a\r\n"},
		{"silence", "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nContent-Length: 10\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			endless := serveRaw(t, func(_ *http.Request, conn net.Conn) bool {
				if c.repeated != "" {
					sendEndlessly(conn, c.head, c.repeated)
				} else {
					_, _ = io.WriteString(conn, c.head)
					_, _ = io.Copy(io.Discard, conn) // until the connection is closed
				}
				close(closed)
				return false
			})
			f := newFixture(t, endless, serveRaw(t, respondOK("from the other")))
			status, body, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
			require.NoError(t, err)
			require.Equal(t, 200, status, "the endpoint stated that it has not run")
			require.Equal(t, "from the other", body)
			<-closed
		})
	}
}

// Guards against an answer's body without end that is passed on for as long as the caller waits,
// and against one that looks complete because it was cut.
func TestBodyWithoutEndIsCut(t *testing.T) {
	for _, head := range []string{"", "Transfer-Encoding: chunked\r\n"} {
		endless := serveRaw(t, func(r *http.Request, conn net.Conn) bool {
			repeated := strings.Repeat("a", 4096)
			if head != "" {
				repeated = "1000\r\n" + repeated + "\r\n"
			}
			sendEndlessly(conn, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\n"+head+"\r\n", repeated)
			return false
		})
		f := newFixture(t, endless)
		resp, err := f.srv.Client().Do(f.request(t, "POST", "/unsafe/x", "pay"))
		require.NoError(t, err)
		n, err := io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		require.Error(t, err, "it must not look complete")
		require.LessOrEqual(t, n, int64(maxResponseBodyBytes))
	}
}

// Guards against a stream whose event never ends, which is kept in memory, and against one that
// sends a byte now and then and is never ended.
func TestEventWithoutEndIsCut(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\nTest-Id: id-/resumable/x\r\n\r\n"
	endless := serveRaw(t, func(_ *http.Request, conn net.Conn) bool {
		sendEndlessly(conn, head, "1000\r\n"+strings.Repeat("a", 4096)+"\r\n")
		return false
	})
	f := newFixture(t, endless, serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, head+"9\r\ndata: x\n\n\r\n0\r\n\r\n")
		return err == nil
	}))
	status, body, err := f.do(t, f.request(t, "POST", "/resumable/x", ""))
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "data: x\n\n", body, "the stream began anew at the other endpoint")

	f = newFixture(t, serveRaw(t, func(_ *http.Request, conn net.Conn) bool {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		_, err := io.WriteString(conn, head)
		for err == nil {
			<-ticker.C
			_, err = io.WriteString(conn, "1\r\na\r\n")
		}
		return false
	}))
	r := f.request(t, "POST", "/stream/x", "")
	r.Header.Set("Test-Deadline", "300")
	status, _, err = f.do(t, r)
	require.NoError(t, err)
	require.Equal(t, 504, status, "ended at the caller's deadline")
}

// Guards against a caller's body without end that is read into memory where the configuration sets
// no limit.
func TestCallersBodyIsBoundedWithoutAConfiguredLimit(t *testing.T) {
	e := serveRaw(t, respondOK("ok"))
	f := newFixture(t, e)
	r := f.request(t, "POST", "/unsafe/x", "")
	r.Body, r.ContentLength = io.NopCloser(io.LimitReader(endlessReader{}, 16<<20)), -1
	status, _, err := f.do(t, r)
	if err == nil { // the connection may be closed before the answer is read
		require.Equal(t, 413, status)
	}
	require.Zero(t, e.requests.Load())
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
