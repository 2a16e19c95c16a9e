package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// unframed returns an endpoint whose answers have neither a length nor chunks and end with their
// connection.
func unframed(t *testing.T, body string) *testEndpoint {
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\nKeep-Alive: timeout=60\r\n\r\n"+body)
		return false
	})
}

// resetAfter returns an endpoint that sends an answer without a length, and resets the connection
// once the caller has been sent as much of the answer as can be sent.
func resetAfter(t *testing.T, body string, sent <-chan struct{}) *testEndpoint {
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\n\r\n"+body)
		<-sent
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
}

// Guards against an answer without a length that is taken for incomplete although its connection
// ended in the regular way, and against a further request on that connection.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBytes)
	for _, c := range []struct{ path, body string }{
		{"/unsafe/x", "whole"}, {"/safe/x", ""}, {"/unsafe/x", long}, {"/stream/x", sseEvent(1) + sseEvent(2)}, {"/resumable/x", sseEvent(1)},
	} {
		e := unframed(t, c.body)
		f := newFixture(t, e)
		for i := range 3 {
			status, body, err := f.do(t, f.request(t, "POST", c.path, ""))
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, c.body, body)
			require.EqualValues(t, i+1, e.requests.Load())
			require.Empty(t, f.pool.idle)
		}
	}
}

// Guards against a connection that is used again after an answer without a length, whose further
// bytes would be read as the next answer.
func TestConnectionOfAnAnswerWithoutLengthIsNotUsedAgain(t *testing.T) {
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Not-Run: 1\r\n\r\n"+okResponse(r, "no answer to anything"))
		return err == nil // the connection stays open
	})
	f := newFixture(t, e)
	for range 3 {
		require.Equal(t, 503, f.status(t, "/unsafe/x", "key"))
		require.Empty(t, f.pool.idle)
		f.clock.advance(refusalPause)
		f.confirmConfig()
	}
}

// Guards against an answer without a length that is taken for one of an answer which can't have a
// body, so that its connection is closed for nothing or its bytes go to the next request.
func TestAnswersWithoutABodyKeepTheirConnection(t *testing.T) {
	for _, c := range []struct {
		method, head string
		want         int
	}{{"HEAD", "200 OK", 200}, {"POST", "204 No Content", 204}, {"GET", "304 Not Modified", 304}} {
		e := serveRaw(t, func(r *http.Request, conn net.Conn) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(conn, "HTTP/1.1 "+c.head+"\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\n\r\n")
			return err == nil
		})
		f := newFixture(t, e)
		for range 3 {
			status, body, err := f.do(t, f.request(t, c.method, "/unsafe/x", ""))
			require.NoError(t, err)
			require.Equal(t, c.want, status)
			require.Empty(t, body)
			require.Len(t, f.pool.idle, 1, c.head)
		}
	}
}

// Guards against an answer without a length that looks complete though its connection was reset, or
// ended in the middle of an event.
func TestCutAnswerWithoutLengthDoesNotLookComplete(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBytes)
	for name, c := range map[string]struct {
		path, body string
		reset      bool
		want       string // what of the body the caller may get
	}{
		"reset before the body":    {"/unsafe/x", "", true, ""},
		"reset in a short body":    {"/unsafe/x", "part", true, ""},
		"reset in a long body":     {"/unsafe/x", long, true, long},
		"reset after an event":     {"/stream/x", sseEvent(1), true, sseEvent(1)},
		"reset inside an event":    {"/stream/x", sseEvent(1) + "id: 2\nda", true, sseEvent(1)},
		"reset before any event":   {"/stream/x", "", true, ""},
		"ended inside an event":    {"/stream/x", sseEvent(1) + "id: 2\nda", false, sseEvent(1)},
		"ended in the first event": {"/stream/x", "id: 1\nda", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{})
			e := unframed(t, c.body)
			if c.reset {
				e = resetAfter(t, c.body, sent)
			}
			f := newFixture(t, e)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			srv := serveOn(l, f.Gateway, f.callerConns)
			defer srv.Close()
			for _, version := range []string{"1.1", "1.0"} {
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				_, err = io.WriteString(conn, "POST "+c.path+" HTTP/"+version+"\r\nHost: service.test\r\nTest-Key: key\r\nTest-Id: id\r\nContent-Length: 0\r\n\r\n")
				require.NoError(t, err)
				if c.reset {
					sent <- struct{}{}
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
				if err != nil {
					continue // nothing was sent
				}
				body, err := io.ReadAll(resp.Body)
				require.True(t, err != nil || resp.StatusCode == 502, "HTTP/%s: the answer looks complete: %d, %d bytes", version, resp.StatusCode, len(body))
				if resp.StatusCode == 200 {
					require.True(t, strings.HasPrefix(c.want, string(body)))
				}
				require.Empty(t, f.pool.idle)
			}
		})
	}
}
