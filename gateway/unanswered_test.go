package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// answerStatus reads the head of an answer and returns its status.
func answerStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if !assert.NoError(t, err) {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NoError(t, err)
	return resp.StatusCode
}

// connect opens an in-memory connection to a gateway that serves callers.
func connect(t *testing.T, g *Gateway) net.Conn {
	t.Helper()
	l := newPipeListener()
	srv := serveOn(l, g, g.callerConns)
	t.Cleanup(func() { srv.Close() })
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	l.conns <- far
	return near
}

// newServingGateway returns a gateway with one route that has left its start behind.
func newServingGateway(t *testing.T) *Gateway {
	t.Helper()
	g, clock := newGateway(t)
	g.applyOperators([]forward.OperatorChange{{Config: &forward.Config{Version: 1, Routes: []forward.Route{{Name: "r", Host: "service.test", PathPrefix: "/", Timeout: time.Second, Targets: []forward.Target{{Service: "s", Weight: 1}}}}}}}, clock.read(), true)
	clock.advance(time.Minute) // past the start, in which requests are refused
	g.applyOperators(nil, clock.read(), false)
	return g
}

// Guards against a refusal that the caller doesn't get because the entry closes the connection while
// the body of the request is on its way: closing with unread bytes resets the connection.
func TestRefusedRequestIsReadBeforeItsConnectionIsClosed(t *testing.T) {
	for _, connection := range []string{"keep-alive", "close"} {
		t.Run(connection, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, _ := newGateway(t) // no configuration has been read, so it refuses and closes the connection
				c := connect(t, g)
				const pieces, pieceBytes = 36, 2 << 10
				_, err := fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: service.test\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, pieces*pieceBytes)
				require.NoError(t, err)
				status := make(chan int, 1)
				go func() { status <- answerStatus(t, c) }()
				for range pieces {
					time.Sleep(2 * time.Millisecond) // a link of 10 Mbit/s
					_, err := io.WriteString(c, strings.Repeat("x", pieceBytes))
					require.NoError(t, err, "the connection was closed before the body was read")
				}
				require.Equal(t, http.StatusServiceUnavailable, <-status)
			})
		})
	}
}

// Guards against a request that gets no answer because its body has not arrived whole when its time
// ends.
func TestRequestThatArrivesTooSlowlyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connect(t, newServingGateway(t))
		_, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: service.test\r\nContent-Length: 100\r\n\r\nhalf")
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(2*time.Second)))
		require.Equal(t, http.StatusRequestTimeout, answerStatus(t, c))
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF, "the connection stays open")
	})
}

// deadlineRecorder records the read deadlines that a handler sets.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return nil
}

// Guards against a request that gets no answer because a read deadline passes after it has been read
// whole: net/http then ends its context as if the caller had left.
func TestRequestWithoutABodyHasNoReadDeadline(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	r := httptest.NewRequest("GET", "/safe/x", nil)
	r.Host = "service.test"
	r.Header.Set("Test-Key", "key")
	r.Header.Set("Test-Id", "id")
	f.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code)
	require.Empty(t, w.deadlines)
}

// Guards against a stream that ends before its time because the key with which it was accepted
// can't be checked again when it has to go on at another endpoint.
func TestBegunStreamGoesOnWithoutAnotherKeyCheck(t *testing.T) {
	var f *fixture
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }
	head := func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\nTest-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	breaks := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, head(r)+chunk(event(1)))
		f.clock.advance(4950 * time.Millisecond) // the log has not been readable for longer than keys are accepted
		return false
	})
	goesOn := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, head(r)+chunk(event(2))+"0\r\n\r\n")
		return err == nil
	})
	f = newFixture(t, breaks, goesOn)
	for i := range f.state.table.Config.Routes {
		f.state.table.Config.Routes[i].Timeout = time.Minute
	}
	status, body, err := f.do(t, f.request(t, "GET", "/resumable/x", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, event(1)+event(2), body)
}

// panickingCodec fails on each request of a caller.
type panickingCodec struct{ testHeaderCodec }

func (panickingCodec) ParseRequest(http.Header) (RequestInfo, error) { panic("out of range") }

// Guards against a fault of the program that ends a request without an answer and without a trace.
func TestRequestThatPanicsIsAnswered(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	f.headerCodec = panickingCodec{}
	status, body, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, status)
	require.Contains(t, body, `"ran":"unknown"`)
	require.Zero(t, f.inFlight.Load())
}

// Guards against requests that are refused although they are within limits which a configuration has
// raised.
func TestRaisedHeaderLimitIsInForce(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	config := *f.state.table.Config
	config.Version, config.Limits.HeaderBytes = 2, 128<<10
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, f.clock.read(), false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := serveOn(l, f.Gateway, f.callerConns)
	t.Cleanup(func() { srv.Close() })
	f.srv.URL = "http://" + l.Addr().String()
	r := f.request(t, "GET", "/safe/x", "")
	r.Header.Set("X-Other", strings.Repeat("x", 100<<10))
	status, _, err := f.do(t, r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// Guards against a caller that is cut although its head arrives within the time that a configuration
// has raised, and against one that holds a connection beyond that time.
func TestConfiguredTimeoutOfAHeadIsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newIdleFixture(t, time.Minute, answerOK)
		f.applyOperators([]forward.OperatorChange{{Config: &forward.Config{Version: 2, Limits: forward.Limits{IdleTimeout: time.Minute, HeaderTimeout: 40 * time.Second}}}}, f.clock.read(), false)
		whole, late, lateAgain := f.connect(), f.connect(), f.connect()
		require.NoError(t, lateAgain.call())
		for _, c := range []*idleCaller{whole, late, lateAgain} {
			_, err := io.WriteString(c.conn, idleTestRequest[:10])
			require.NoError(t, err)
		}
		require.False(t, whole.isClosedWithin(39*time.Second))
		_, err := io.WriteString(whole.conn, idleTestRequest[10:])
		require.NoError(t, err)
		require.NoError(t, whole.readAnswer())
		for _, c := range []*idleCaller{late, lateAgain} {
			require.NoError(t, c.conn.SetReadDeadline(time.Now().Add(2*time.Second)))
			_, err = io.ReadAll(c.br)
			require.NoError(t, err, "the connection is still open")
		}
	})
}

// Guards against a refusal that the caller doesn't get as long as the rest of its request stays out:
// net/http reads the rest without a time limit before it sends an answer or closes the connection.
func TestRefusalDoesNotWaitForARequestThatStalls(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100", "Transfer-Encoding: chunked", "Content-Length: 400000"} {
		t.Run(framing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connect(t, newServingGateway(t))
				_, err := io.WriteString(c, "POST /unknown HTTP/1.1\r\nHost: other.test\r\n"+framing+"\r\n\r\n4\r\nhalf\r\n")
				require.NoError(t, err)
				require.NoError(t, c.SetReadDeadline(time.Now().Add(2*maxDiscardTime)))
				require.Equal(t, http.StatusNotFound, answerStatus(t, c))
				_, err = c.Read(make([]byte, 1))
				require.ErrorIs(t, err, io.EOF, "the connection stays open")
			})
		})
	}
}

// Guards against a request that gets no answer because its body is no body in the protocol, while its
// caller waits.
func TestMalformedBodyIsRefused(t *testing.T) {
	for name, body := range map[string]string{
		"no length of a chunk": "zz\r\n",
		"a long trailer":       "0\r\nX-Other: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := connect(t, newServingGateway(t))
				go func() {
					_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: service.test\r\nTransfer-Encoding: chunked\r\n\r\n"+body) // the refusal may come first
				}()
				require.Equal(t, http.StatusBadRequest, answerStatus(t, c))
			})
		})
	}
}

// Guards against a caller that reuses a connection as a planned stop ends it: an answer that is sent
// while the stop is under way says that the connection is closed, also if its request came before.
func TestAnswerDuringAPlannedStopClosesItsConnection(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/x", "/unsafe/refused"} {
		t.Run(path, func(t *testing.T) {
			arrived, release := make(chan struct{}), make(chan struct{})
			f := newFixture(t, serveRaw(t, func(r *http.Request, c net.Conn) bool {
				close(arrived)
				<-release
				if r.URL.Path == "/unsafe/refused" {
					return false
				}
				return respondOK("id: 1\n\n")(r, c)
			}))
			closes := make(chan bool, 1)
			go func() {
				resp, err := f.srv.Client().Do(f.request(t, "POST", path, "pay"))
				if assert.NoError(t, err) {
					closes <- resp.Close
					resp.Body.Close()
				}
			}()
			<-arrived
			f.draining.Store(true)
			close(release)
			require.True(t, <-closes)
		})
	}
}

// Guards against a refusal that a caller gets only after it has been told to send its body.
func TestRefusalComesInPlaceOfALeaveToSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connect(t, newServingGateway(t))
		_, err := io.WriteString(c, "POST /unknown HTTP/1.1\r\nHost: other.test\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, answerStatus(t, c))
	})
}
