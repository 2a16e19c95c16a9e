package gateway

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// idleTimeoutSlack is how long connections stay open beyond the idle timeout. Callers may go by
	// a raised timeout from its acknowledgement on, before this process has read it.
	idleTimeoutSlack = 3 * time.Second
	// lastReadTime is how long a connection is read once more as its idle timeout ends, for bytes
	// that have arrived meanwhile.
	lastReadTime = time.Millisecond
)

// idleConns ends caller connections that have been idle for the configured timeout. Unlike
// http.Server.IdleTimeout, the timeout can change while a server runs, also for connections that
// are idle already.
//
// The timeout is a read deadline, so that the goroutine that would read the next request ends the
// connection. A timer that closes it from outside can't know whether a request has begun.
type idleConns struct {
	mu      sync.Mutex
	timeout time.Duration
	conns   map[*callerConn]idlePeriod
}

// idlePeriod is the time in which no byte of the next request has been read.
type idlePeriod struct{ since, until time.Time }

func newIdleConns() *idleConns {
	return &idleConns{timeout: defaultCallerIdleTimeout, conns: map[*callerConn]idlePeriod{}}
}

// changed returns the period of a connection that is idle while the timeout changes at the time
// now. A raise holds from the beginning of the period. After a cut, callers that still go by the
// former timeout get the time to learn of it.
func (p idlePeriod) changed(timeout time.Duration, now time.Time) idlePeriod {
	until := p.since.Add(timeout + idleTimeoutSlack)
	if until.Before(p.until) {
		until = now.Add(timeout + idleTimeoutSlack)
		if until.After(p.until) {
			until = p.until
		}
	}
	return idlePeriod{p.since, until}
}

// setTimeout sets the timeout, the default if it is 0.
func (i *idleConns) setTimeout(timeout time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	timeout = cmp.Or(timeout, defaultCallerIdleTimeout)
	if timeout == i.timeout {
		return
	}
	i.timeout = timeout
	now := time.Now()
	for c, p := range i.conns {
		i.conns[c] = p.changed(timeout, now)
		_ = c.Conn.SetReadDeadline(i.conns[c].until) // fails only if the connection is closed
	}
}

// connState follows the state of a connection; see http.Server.ConnState.
func (i *idleConns) connState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
	if s == http.StateIdle {
		now := time.Now()
		i.conns[c] = idlePeriod{now, now.Add(i.timeout + idleTimeoutSlack)}
	}
}

// end ends the idle period of a connection and sets its read deadline. It does nothing and returns
// false if the connection is not idle.
func (i *idleConns) end(c *callerConn, deadline time.Time) (wasIdle bool, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, wasIdle = i.conns[c]; !wasIdle {
		return false, nil
	}
	delete(i.conns, c)
	return true, c.Conn.SetReadDeadline(deadline)
}

// period returns the idle period of a connection, and false if it is not idle.
func (i *idleConns) period(c *callerConn) (idlePeriod, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p, ok := i.conns[c]
	return p, ok
}

// idleListener accepts caller connections whose idle timeout is kept by idle.
type idleListener struct {
	net.Listener
	idle *idleConns
}

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{c, l.idle}, nil
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	idle *idleConns
}

// SetReadDeadline implements net.Conn. net/http clears the deadline of a connection that has become
// idle, and sets one for the head of the next request once it has the first bytes.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		if wasIdle, err := c.idle.end(c, t); wasIdle {
			return err
		}
		return c.Conn.SetReadDeadline(t)
	}
	c.idle.mu.Lock()
	defer c.idle.mu.Unlock()
	return c.Conn.SetReadDeadline(c.idle.conns[c].until) // the zero time if it is not idle
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		period, ok := c.idle.period(c)
		if !ok {
			return 0, err
		}
		now := time.Now()
		if now.Before(period.until) { // a raised timeout
			n, err = c.Conn.Read(p)
			continue
		}
		if n, err = c.readOnceMore(p); n == 0 {
			log.Info().Str("event", "idle_connection_closed").Str("caller", c.RemoteAddr().String()).Dur("idle_ms", now.Sub(period.since)).Msg("a caller sent no request within the idle timeout")
			return 0, err
		}
	}
	if n > 0 {
		if _, derr := c.idle.end(c, time.Now().Add(headerTimeout)); derr != nil && err == nil {
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
