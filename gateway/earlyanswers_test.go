package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// earlyAnswer is an answer that an endpoint sends without having read the request's body.
type earlyAnswer struct {
	head, body string
	end        func(c *net.TCPConn) // ends the connection
}

func resetAt(delay time.Duration) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(delay)
		_ = c.SetLinger(0)
	}
}

// endThenRead closes the connection for writing and goes on reading the upload.
func endThenRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// serveEarly runs an endpoint with a small receive buffer that answers before it reads the body.
func serveEarly(t *testing.T, a earlyAnswer) *testEndpoint {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return serveRawOn(t, l, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, a.head+"Test-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\n\r\n"+a.body)
		a.end(c.(*net.TCPConn))
		return false
	})
}

const (
	unframedOK    = "HTTP/1.1 200 OK\r\n"
	unframedError = "HTTP/1.1 500 Failed\r\n"
)

// callRaw sends an upload over a connection of its own, and returns the answer. The error is not nil
// if the answer doesn't look complete.
func (f *fixture) callRaw(t *testing.T, version, path string, body string) (int, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", f.srv.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "POST "+path+" HTTP/"+version+"\r\nHost: service.test\r\nTest-Key: key\r\nTest-Id: id\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "POST"})
	if err != nil {
		return 0, "", err
	}
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), err
}

// Guards against a part of an answer without a length that looks complete: its connection was reset
// while the request was still being written.
func TestCutEarlyAnswerDoesNotLookComplete(t *testing.T) {
	upload := strings.Repeat("u", 1<<20)
	for name, a := range map[string]earlyAnswer{
		"a part":                  {unframedOK, sseEvent(1), resetAt(0)},
		"a part, later":           {unframedOK, sseEvent(1), resetAt(5 * time.Millisecond)},
		"nothing of the body":     {unframedOK, "", resetAt(0)},
		"a part of a failure":     {unframedError, sseEvent(1), resetAt(0)},
		"a part of a long answer": {unframedOK, strings.Repeat(sseEvent(1), 10000), resetAt(0)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/stream/second-attempts"} {
				for _, version := range []string{"1.1", "1.0"} {
					f := newFixture(t, serveEarly(t, a))
					if strings.HasSuffix(path, "second-attempts") {
						raceOn(t, f)
					}
					for range 4 {
						status, body, err := f.callRaw(t, version, path, upload)
						complete := err == nil && status != http.StatusBadGateway && status != http.StatusServiceUnavailable
						require.False(t, complete, "%s, HTTP/%s: the answer looks complete: %d, %d bytes", path, version, status, len(body))
					}
				}
			}
		})
	}
}

// Guards against a whole answer that counts as cut as it came before the upload's end.
func TestWholeEarlyAnswerIsDelivered(t *testing.T) {
	upload := strings.Repeat("u", 1<<20)
	for name, a := range map[string]earlyAnswer{
		"with a length, then a reset":             {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "whole", resetAt(0)},
		"ended by its connection, upload is read": {unframedOK, "whole", endThenRead},
		"ended by its connection, then a reset": {unframedOK, "whole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			resetAt(20 * time.Millisecond)(c)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, path := range []string{"/safe/x", "/unsafe/x"} {
				f := newFixture(t, serveEarly(t, a))
				for range 8 {
					status, body, err := f.callRaw(t, "1.1", path, upload)
					require.NoError(t, err, path)
					require.Equal(t, 200, status, path)
					require.Equal(t, "whole", body, path)
				}
			}
		})
	}
}

// Guards against a connection that is used again although its endpoint hasn't taken all of the last
// upload: it is about to reset the connection, and the next request would be lost with it.
func TestConnectionWithAnUntakenUploadIsNotUsedAgain(t *testing.T) {
	upload := strings.Repeat("u", 100<<10) // more than the endpoint takes, less than this host buffers
	f := newFixture(t, serveEarly(t, earlyAnswer{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "whole", resetAt(20 * time.Millisecond)}))
	for i := range 20 {
		status, body, err := f.callRaw(t, "1.1", "/unsafe/x", upload)
		require.NoError(t, err)
		require.Equal(t, 200, status, "request %d: %s", i, body)
		require.Equal(t, "whole", body)
	}
}

// Guards against a stream that is taken up and looks complete, although the connection that it goes on
// with was reset while the request was still being written.
func TestCutContinuationDoesNotLookComplete(t *testing.T) {
	upload := strings.Repeat("u", 1<<20)
	next := func(r *http.Request, c net.Conn) bool {
		head := "HTTP/1.1 200 OK\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\nTest-Seal: s\r\n"
		if r.Header.Get("Test-Last") == "" {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, head+"Content-Length: 1000\r\n\r\n"+sseEvent(1)) // breaks off
			return false
		}
		_, _ = io.WriteString(c, head+"\r\n"+sseEvent(2))
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	for range 10 {
		f := newFixture(t, serveRaw(t, next), serveRaw(t, next))
		status, body, err := f.callRaw(t, "1.1", "/resumable/x", upload)
		require.Equal(t, 200, status)
		require.Error(t, err, "the stream looks complete: %q", body)
	}
}
