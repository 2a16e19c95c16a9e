package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/galenaweir/galenaweir/callerconn"
	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// pipeListener accepts in-memory connections, whose deadlines follow the virtual time of a test.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// idleFixture serves callers with a configured idle timeout in virtual time.
type idleFixture struct {
	*Gateway
	t        *testing.T
	listener *pipeListener
	server   *callerServer
	clock    *testClock
}

func newIdleFixture(t *testing.T, idleTimeout time.Duration, h http.Handler) *idleFixture {
	t.Helper()
	clock := &testClock{}
	f := &idleFixture{Gateway: New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), Seed: 1, HeaderCodec: testHeaderCodec{}}), t: t, listener: newPipeListener(), clock: clock}
	f.setIdleTimeout(1, idleTimeout)
	f.server = serveOn(f.listener, h, f.callerConns)
	t.Cleanup(func() { f.server.Close() })
	return f
}

func (f *idleFixture) setIdleTimeout(version int64, d time.Duration) {
	f.applyOperators([]forward.OperatorChange{{Config: &forward.Config{Version: version, Limits: forward.Limits{IdleTimeout: d}}}}, f.clock.read(), false)
}

// idleCaller is a caller with one connection that it keeps open.
type idleCaller struct {
	t    *testing.T
	conn net.Conn
	br   *bufio.Reader
}

func (f *idleFixture) connect() *idleCaller {
	f.t.Helper()
	near, far := net.Pipe()
	f.listener.conns <- far
	f.t.Cleanup(func() { near.Close() })
	return &idleCaller{f.t, near, bufio.NewReader(near)}
}

const idleTestRequest = "GET / HTTP/1.1\r\nHost: service.test\r\n\r\n"

// call sends a request and reads the answer.
func (c *idleCaller) call() error {
	if _, err := io.WriteString(c.conn, idleTestRequest); err != nil {
		return err
	}
	return c.readAnswer()
}

func (c *idleCaller) readAnswer() error {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// isClosedWithin reports whether the connection is closed within a time.
func (c *idleCaller) isClosedWithin(d time.Duration) bool {
	c.t.Helper()
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(d)))
	_, err := c.br.Peek(1)
	require.Error(c.t, err, "the entry sent something without a request")
	if ne, isNet := err.(net.Error); !isNet || !ne.Timeout() {
		return true
	}
	require.NoError(c.t, c.conn.SetReadDeadline(time.Time{}))
	return false
}

var answerOK = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// Guards against a request that gets no answer because its head was still arriving when the idle
// timeout ended.
func TestRequestThatBeginsBeforeTheIdleTimeoutIsAnswered(t *testing.T) {
	for _, first := range []int{1, len(idleTestRequest) / 2} {
		t.Run(fmt.Sprintf("%d bytes arrive first", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const timeout = time.Second
				f := newIdleFixture(t, timeout, answerOK)
				c := f.connect()
				require.NoError(t, c.call())
				require.False(t, c.isClosedWithin(timeout+callerconn.IdleTimeoutSlack-time.Millisecond))
				_, err := io.WriteString(c.conn, idleTestRequest[:first])
				require.NoError(t, err)
				require.False(t, c.isClosedWithin(100*time.Millisecond), "the head is on its way")
				_, err = io.WriteString(c.conn, idleTestRequest[first:])
				require.NoError(t, err)
				require.NoError(t, c.readAnswer())
			})
		})
	}
}

// Guards against a connection that is closed for being idle while a request runs on it. The callers
// reuse their connections at the very moment at which the idle timeout ends.
func TestIdleTimeoutEndsNoRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			timeout = time.Second
			callers = 200
		)
		var began, answered atomic.Int64
		f := newIdleFixture(t, timeout, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Test-Again") == "" {
				return
			}
			began.Add(1)
			wait.For(r.Context(), 100*time.Millisecond)
		}))
		var wg sync.WaitGroup
		for range callers {
			c := f.connect()
			wg.Go(func() {
				if c.call() != nil {
					return
				}
				wait.For(t.Context(), timeout+callerconn.IdleTimeoutSlack)
				if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: service.test\r\nTest-Again: 1\r\n\r\n"); err == nil && c.readAnswer() == nil {
					answered.Add(1)
				}
			})
		}
		wg.Wait()
		require.Equal(t, began.Load(), answered.Load(), "requests began and weren't answered")
	})
}

// Guards against idle connections that stay open: one that was used, and one that never was.
func TestIdleConnectionIsClosed(t *testing.T) {
	for _, isUsed := range []bool{true, false} {
		t.Run(fmt.Sprintf("used %v", isUsed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const timeout = time.Second
				c := newIdleFixture(t, timeout, answerOK).connect()
				if isUsed {
					require.NoError(t, c.call())
				}
				require.True(t, c.isClosedWithin(timeout+callerconn.IdleTimeoutSlack+time.Second))
			})
		})
	}
}

// Guards against a request that is cut at the idle timeout because it arrived together with the one
// before, so that the connection never waited for it.
func TestRequestThatArrivesWithTheOneBeforeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = time.Second
		var wasCut atomic.Bool
		f := newIdleFixture(t, timeout, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if !wait.For(r.Context(), 2*(timeout+callerconn.IdleTimeoutSlack)) {
				wasCut.Store(true)
			}
		}))
		c := f.connect()
		_, err := io.WriteString(c.conn, idleTestRequest+idleTestRequest)
		require.NoError(t, err)
		require.NoError(t, c.readAnswer())
		require.NoError(t, c.readAnswer())
		require.False(t, wasCut.Load())
	})
}

// Guards against idle connections that are closed at an older, shorter idle timeout while their
// callers rely on the one in force.
func TestRaisedIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newIdleFixture(t, 300*time.Millisecond, answerOK)
		c := f.connect()
		require.NoError(t, c.call())
		require.False(t, c.isClosedWithin(200*time.Millisecond))
		f.setIdleTimeout(2, 10*time.Second)
		require.False(t, c.isClosedWithin(7800*time.Millisecond), "callers reuse connections for up to four fifths of the timeout")
		require.NoError(t, c.call())
	})
}

// Guards against idle connections that stay open under an older, longer idle timeout.
func TestLoweredIdleTimeoutHoldsForIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newIdleFixture(t, time.Minute, answerOK)
		c := f.connect()
		require.NoError(t, c.call())
		require.False(t, c.isClosedWithin(200*time.Millisecond))
		f.setIdleTimeout(2, time.Second)
		require.True(t, c.isClosedWithin(10*time.Second))
	})
}

// Guards against a request that is dropped because its head is still arriving as a planned stop
// closes idle connections.
func TestDrainAnswersRequestsThatHaveBegun(t *testing.T) {
	for _, first := range []int{1, len(idleTestRequest) / 2, len(idleTestRequest) - 1} {
		t.Run(fmt.Sprintf("%d bytes arrive first", first), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newIdleFixture(t, time.Minute, answerOK)
				reused, unused, begun := f.connect(), f.connect(), f.connect()
				require.NoError(t, reused.call())
				require.NoError(t, begun.call())
				for _, c := range []*idleCaller{reused, unused} {
					_, err := io.WriteString(c.conn, idleTestRequest[:first])
					require.NoError(t, err)
				}
				stopped := make(chan struct{})
				start := time.Now()
				go func() {
					f.drain(f.server)
					close(stopped)
				}()
				require.False(t, begun.isClosedWithin(drainDelay-time.Millisecond))
				require.True(t, begun.isClosedWithin(time.Second), "no request has begun on this connection")
				for _, c := range []*idleCaller{reused, unused} {
					require.False(t, c.isClosedWithin(100*time.Millisecond), "the head is on its way")
					_, err := io.WriteString(c.conn, idleTestRequest[first:])
					require.NoError(t, err)
					require.NoError(t, c.readAnswer())
				}
				<-stopped
				require.Less(t, time.Since(start), drainDelay+time.Second, "the stop waits although all connections are closed")
				require.Zero(t, f.callerConns.Idle())
			})
		})
	}
}

// heldUpConn is a connection of a process that is held up each time after it has set a read deadline:
// the deadline has passed before the read begins.
type heldUpConn struct{ *net.TCPConn }

func (c heldUpConn) SetReadDeadline(d time.Time) error {
	if !d.IsZero() {
		d = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(d)
}

// awaitUnread waits until bytes have arrived at a connection.
func awaitUnread(t *testing.T, c *net.TCPConn, n int) {
	t.Helper()
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		unread := 0
		require.NoError(t, raw.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }))
		return unread >= n
	}, 10*time.Second, time.Millisecond)
}

// Guards against a request that is dropped although it has arrived, because the process was held up
// while it read it: a read with a deadline that has passed fails even if there are bytes to be read.
func TestRequestThatHasArrivedIsReadAfterAHoldUp(t *testing.T) {
	for _, headBytes := range []int{100, 20 << 10} {
		t.Run(fmt.Sprintf("a head of %d bytes", headBytes), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			accepted, err := l.Accept()
			require.NoError(t, err)
			request := "GET / HTTP/1.1\r\nHost: service.test\r\nConnection: close\r\nX-Other: " + strings.Repeat("x", headBytes) + "\r\n\r\n"
			_, err = io.WriteString(c, request)
			require.NoError(t, err)
			awaitUnread(t, accepted.(*net.TCPConn), len(request))
			conns := callerconn.New()
			require.NoError(t, conns.Drain(t.Context())) // the idle period of the connection ends at once
			listener := newPipeListener()
			srv := serveOn(listener, answerOK, conns)
			defer srv.Close()
			listener.conns <- heldUpConn{accepted.(*net.TCPConn)}
			require.Equal(t, http.StatusOK, answerStatus(t, c))
		})
	}
}

// closeWriteConn records whether its side has been closed for writing.
type closeWriteConn struct {
	net.Conn
	closed *atomic.Bool
}

func (c closeWriteConn) CloseWrite() error {
	c.closed.Store(true)
	return nil
}

// Guards against an answer that the caller takes for unfinished, or that a reset overtakes: where
// net/http refuses a request by itself, it ends the answer by closing its side of the connection and
// waits before it closes the other.
func TestAnswerOfNetHTTPEndsByClosingForWriting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		srv := serveOn(listener, answerOK, callerconn.New())
		defer srv.Close()
		near, far := net.Pipe()
		defer near.Close()
		var closed atomic.Bool
		listener.conns <- closeWriteConn{far, &closed}
		go func() {
			_, _ = io.WriteString(near, "GET / HTTP/1.1\r\nX-Other: "+strings.Repeat("x", 2*maxHeaderBytes)+"\r\n\r\n") // the refusal comes first
		}()
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, answerStatus(t, near))
		require.True(t, closed.Load())
	})
}
