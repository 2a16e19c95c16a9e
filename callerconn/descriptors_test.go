package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/wait"
)

// scarceListener accepts connections in memory while fewer than limit are open, and otherwise fails
// as a process without free descriptors does.
type scarceListener struct {
	limit    int
	dialed   chan net.Conn
	accepted chan struct{} // holds an element for each open connection
	closed   chan struct{}
}

func newScarceListener(limit int) *scarceListener {
	return &scarceListener{limit: limit, dialed: make(chan net.Conn, 1000), accepted: make(chan struct{}, limit), closed: make(chan struct{})}
}

func (l *scarceListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.dialed:
		select {
		case l.accepted <- struct{}{}:
			return &scarceConn{Conn: c, l: l}, nil
		default:
			l.dialed <- c // it waits on
			return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
		}
	}
}

func (l *scarceListener) Close() error   { close(l.closed); return nil }
func (l *scarceListener) Addr() net.Addr { return &net.TCPAddr{} }

type scarceConn struct {
	net.Conn
	l    *scarceListener
	once sync.Once
}

func (c *scarceConn) Close() error {
	c.once.Do(func() { <-c.l.accepted })
	return c.Conn.Close()
}

// caller is a caller with one connection.
type caller struct {
	conn net.Conn
	br   *bufio.Reader
}

func (l *scarceListener) dial() *caller {
	near, far := net.Pipe()
	l.dialed <- far
	return &caller{near, bufio.NewReader(near)}
}

// get sends a request and returns the status of its answer, 0 if there was none.
func (c *caller) get(path string) int {
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// serveScarce serves on a listener with a number of descriptors until the test ends.
func serveScarce(t *testing.T, cs *Conns, limit int, h http.Handler) *scarceListener {
	l := newScarceListener(limit)
	srv := &http.Server{Handler: h, ConnState: cs.State}
	go func() { _ = srv.Serve(cs.Listen(l)) }()
	t.Cleanup(func() { srv.Close(); synctest.Wait() })
	return l
}

func respond(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// Guards against callers whose connections aren't accepted, or wait for up to a second, while idle
// connections of others hold all descriptors.
func TestNewCallersAreServedWhileIdleOnesHoldAllDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 40
		l := serveScarce(t, New(), limit, http.HandlerFunc(respond))
		for i := range 5 * limit {
			startedAt := time.Now()
			require.Equal(t, http.StatusNoContent, l.dial().get("/"), "caller %d", i)
			require.Less(t, time.Since(startedAt), 100*time.Millisecond, "caller %d", i)
		}
	})
}

// Guards against idle connections that take the descriptors for connections to endpoints and to the
// log, and against early closes of those that are in use or were idle only briefly.
func TestConnectionsThatAreIdleLongestMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 10
		cs := New()
		cs.SetMaxOpen(limit)
		release := make(chan struct{})
		l := serveScarce(t, cs, 1000, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-release
			}
			w.WriteHeader(http.StatusNoContent)
		}))
		running := l.dial()
		status := make(chan int)
		go func() { status <- running.get("/wait") }()
		synctest.Wait()
		var callers []*caller
		for range 3 * limit {
			c := l.dial()
			callers = append(callers, c)
			require.Equal(t, http.StatusNoContent, c.get("/"))
			wait.For(t.Context(), 10*lastReadTime) // a connection in memory is read once more before it is closed
			require.LessOrEqual(t, cs.Open(), limit)
		}
		require.Equal(t, limit, cs.Open(), "no more are closed than need be")
		cs.SetTimeouts(time.Hour, 0)
		for i, c := range callers {
			want := 0
			if i > 2*limit {
				want = http.StatusNoContent
			}
			require.Equal(t, want, c.get("/"), "caller %d", i)
		}
		close(release)
		require.Equal(t, http.StatusNoContent, <-status)
	})
}

// Guards against more closes than need be while several callers connect at once, and against a
// change of the idle timeout that keeps connections open which were to make room.
func TestCallersThatConnectAtOnceCloseAsManyIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, more = 10, 4
		cs := New()
		cs.SetMaxOpen(limit)
		l := serveScarce(t, cs, 1000, http.HandlerFunc(respond))
		for range limit {
			require.Equal(t, http.StatusNoContent, l.dial().get("/"))
		}
		synctest.Wait() // a connection becomes idle after its caller has read the response
		for range more {
			l.dial()
		}
		synctest.Wait() // connections in memory are read once more for a millisecond
		require.Equal(t, limit+more, cs.Open())
		cs.SetTimeouts(time.Hour, 0)
		wait.For(t.Context(), 10*lastReadTime)
		require.Equal(t, limit, cs.Open())
	})
}

// Guards against running requests that take all descriptors.
func TestConnectionsInUseBeyondTheLimitAreCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := New()
		cs.SetMaxOpen(2)
		release := make(chan struct{})
		l := serveScarce(t, cs, 1000, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			w.WriteHeader(http.StatusNoContent)
		}))
		for i := range 3 {
			require.False(t, cs.Crowded())
			l.dial()
			synctest.Wait()
			require.False(t, cs.Crowded(), "%d connections, none in use", i+1)
		}
		for range 3 {
			require.False(t, cs.Crowded())
			go l.dial().get("/")
			synctest.Wait()
		}
		require.True(t, cs.Crowded())
		close(release)
		synctest.Wait()
		require.False(t, cs.Crowded())
	})
}

// Guards against a share of the descriptors that leaves none for endpoints, or is none itself.
func TestCallersGetAShareOfTheDescriptors(t *testing.T) {
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	require.GreaterOrEqual(t, maxOpenConns(), minOpenConns)
	require.Less(t, float64(maxOpenConns()), max(float64(limit.Cur)*0.6, minOpenConns+1))
}
