package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// lastReadTime is how long a connection is read once more as its idle timeout ends, for bytes that
// have arrived meanwhile.
const lastReadTime = time.Millisecond

// idleListener accepts caller connections and ends those that have been idle for the configured
// timeout. Unlike http.Server.IdleTimeout, the timeout can change while the server runs.
//
// The timeout is a read deadline, so that the goroutine that would read the next request ends the
// connection. A timer that closes it from outside can't know whether a request has begun.
type idleListener struct {
	net.Listener
	timeout func() time.Duration
}

func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, timeout: l.timeout}, nil
}

// connState follows the state of a connection; see http.Server.ConnState.
func (l *idleListener) connState(c net.Conn, s http.ConnState) {
	if cc, ok := c.(*callerConn); ok {
		cc.setIdle(s == http.StateIdle)
	}
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	timeout func() time.Duration

	mu        sync.Mutex
	idle      bool // no byte of the next request has been read
	idleSince time.Time
	idleLimit time.Duration
}

func (c *callerConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle && !c.idle {
		c.idleSince, c.idleLimit = time.Now(), c.timeout()
	}
	c.idle = idle
}

// SetReadDeadline implements net.Conn. net/http clears the deadline of a connection that has become
// idle, and sets one for the head of the next request once it has the first bytes.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle && t.IsZero():
		t = c.idleSince.Add(c.idleLimit)
	case c.idle:
		c.idle = false
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isIdle() {
		if n, err = c.readOnceMore(p); n == 0 {
			c.logIdle()
		}
	}
	if n > 0 && c.isIdle() {
		c.setIdle(false)
		if derr := c.Conn.SetReadDeadline(time.Now().Add(headerTimeout)); derr != nil && err == nil {
			err = derr
		}
	}
	return n, err
}

func (c *callerConn) readOnceMore(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *callerConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle
}

func (c *callerConn) logIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	log.Info().Str("event", "idle_connection_closed").Str("caller", c.RemoteAddr().String()).Dur("idle_ms", time.Since(c.idleSince)).Dur("timeout_ms", c.idleLimit).Msg("a caller sent no request within the idle timeout")
}
