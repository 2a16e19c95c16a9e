package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// brokenHead returns an endpoint that sends the head with the ID and the receipt of an answer, then a
// body that holds another answer to the same request. It closes the connection for writing if ends is
// set, and sends on the channel when the entry has closed it.
func brokenHead(t *testing.T, head string, ends bool) (*testEndpoint, <-chan struct{}) {
	closed := make(chan struct{}, 1)
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := "Test-Id: " + r.Header.Get("Test-Id") + "\r\nTest-Seal: s\r\n"
		_, _ = io.WriteString(c, head+id+"\r\n"+okResponse(r, "inner"))
		if ends {
			_ = c.(*net.TCPConn).CloseWrite()
		}
		_, _ = io.Copy(io.Discard, c)
		closed <- struct{}{}
		return false
	}), closed
}

// requireRejected requires that an answer with the head reaches no caller, that nothing in its body is
// taken for an answer, and that the request isn't waited for.
func requireRejected(t *testing.T, head string, ends bool) {
	t.Helper()
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		e, closed := brokenHead(t, head, ends)
		f := newFixture(t, e)
		status, body, err := f.do(t, f.request(t, "POST", path, "pay"))
		require.NoError(t, err, path)
		require.Equal(t, http.StatusBadGateway, status, "%s: %s", path, body)
		require.Contains(t, body, `"ran":"unknown"`, path)
		select {
		case <-closed:
		case <-time.After(raceTimeout):
			require.Fail(t, "the connection stays open")
		}
	}
	e, _ := brokenHead(t, head, ends)
	f := newFixture(t, e, serveRaw(t, respondOK("from the other")))
	status, body, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "from the other", body)
}

// Guards against a status that doesn't exist, or one after which another protocol begins, and that is
// taken for that of an interim answer: the request is waited for, or gets an answer out of the body.
func TestStatusThatIsNoneIsRejectedAtOnce(t *testing.T) {
	for _, status := range []string{"000 Broken", "000", "099 Broken", "+20 Broken", "-00 Broken", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) { t.Parallel(); requireRejected(t, "HTTP/1.1 "+status+"\r\n", false) })
	}
}

// Guards against an answer that stands in the body of an interim answer and is taken for the endpoint's.
func TestInterimAnswerWithABodyIsRejectedAtOnce(t *testing.T) {
	for _, head := range []string{"Content-Length: 90\r\n", "Transfer-Encoding: chunked\r\n"} {
		requireRejected(t, "HTTP/1.1 103 Early Hints\r\n"+head, false)
	}
}

// Guards against sound interim answers, and statuses that few endpoints send, that are rejected.
func TestOtherStatusesArePassedOn(t *testing.T) {
	for head, want := range map[string]int{
		"100 Continue\r\n\r\nHTTP/1.1 200 OK": 200, "103 Early Hints\r\nContent-Length: 0\r\nLink: a\r\n\r\nHTTP/1.1 404 Not Found": 404,
		"418 Teapot": 418, "599 Odd": 599, "600 Odd": 600,
	} {
		e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			_, err := io.WriteString(c, "HTTP/1.1 "+head+strings.TrimPrefix(okResponse(r, "body"), "HTTP/1.1 200 OK"))
			return err == nil
		})
		f := newFixture(t, e)
		status, body, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
		require.NoError(t, err)
		require.Equal(t, want, status)
		require.Equal(t, "body", body)
		require.Len(t, f.pool.idle, 1, "the connection is used again")
	}
}

// Guards against a line whose name is none and that is passed on, left out, or hides where the body
// ends: readers that trim the name take it for another one.
func TestHeadWithANameThatIsNoneIsRejected(t *testing.T) {
	for _, line := range []string{
		"Content-Length : 5", "Transfer-Encoding : chunked", "X Foo: 1", "X-Foo : 1", "X-Foo\t: 1", "X-\x01Foo: 1", "X-Foo\x7f: 1", "X-F\u00f6o: 1", "X-Foo\u00a0: 1", "X[Foo]: 1", ": 1", "no colon",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			requireRejected(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n", true)
			requireRejected(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n", false)
			requireRejected(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n", false)
		})
	}
}

// Guards against a head whose lines others read differently, so that they see another length or other
// values: a line that begins with a blank is joined to the one before it, and chunks in an answer of
// HTTP/1.0 are passed on with their sizes.
func TestHeadWithTwoReadingsIsRejected(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Foo: 1\r\n Content-Length: 5\r\n", "HTTP/1.1 200 OK\r\nX-Foo: 1\r\n\tTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\nX-Foo: 1\n \n",
		"HTTP/1.1 103 Early Hints\r\nX-Foo: 1\r\n Bar: 2\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\nContent-Length: 5\r\n",
	} {
		t.Run(head, func(t *testing.T) { t.Parallel(); requireRejected(t, head, true) })
	}
}

// Guards against sound answers of HTTP/1.0, and bodies that look like broken heads, that are rejected.
func TestBodiesAreNotReadAsHeads(t *testing.T) {
	const body = "a\n b\r\n\tc\r\nTransfer-Encoding: chunked\r\n"
	for _, version := range []string{"1.0", "1.1"} {
		for _, length := range []string{"", "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"} {
			e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/"+version+" 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nTest-Seal: s\r\n"+length+"\r\n"+body)
				return false
			})
			f := newFixture(t, e)
			for range 3 {
				status, got, err := f.do(t, f.request(t, "POST", "/unsafe/x", "pay"))
				require.NoError(t, err)
				require.Equal(t, 200, status, got)
				require.Equal(t, body, got)
			}
		}
	}
}
