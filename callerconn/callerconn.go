// Package callerconn ends the connections of callers that are idle, and all of them in a planned
// stop, without dropping a request of which a byte has arrived.
package callerconn

import (
	"cmp"
	"container/list"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"github.com/galenaweir/galenaweir/wait"
)

const (
	defaultHeadTimeout = 10 * time.Second // applies until SetTimeouts sets another one
	defaultIdleTimeout = time.Minute      // applies until SetTimeouts sets another one

	// IdleTimeoutSlack is how long connections stay open beyond the idle timeout. Callers may go by
	// a raised timeout from its acknowledgement on, before this process has read it.
	IdleTimeoutSlack = 3 * time.Second
	// lastReadTime is how long a connection that isn't a socket is read once more as its idle
	// timeout ends, for bytes that have arrived meanwhile.
	lastReadTime = time.Millisecond
	// closedPollInterval is the pause between two looks whether all connections are closed.
	closedPollInterval = 5 * time.Millisecond
)

// Conns ends caller connections that have been idle for the configured timeout. Unlike
// http.Server.IdleTimeout, the timeout can change while a server runs, also for connections that
// are idle already.
//
// The timeout is a read deadline, so that the goroutine that would read the next request ends the
// connection. A timer or a planned stop that closes it from outside can't know whether a request has
// begun.
//
// HTTP/2 connections are left to net/http: it can tell their callers that it is about to close them.
type Conns struct {
	mu          sync.Mutex
	idleTimeout time.Duration
	headTimeout time.Duration // for the head of a request, from its first byte on
	draining    bool          // idle connections are ended at once
	open        int
	idle        map[*conn]idlePeriod
	idleOrder   idleQueue // without those that are about to be closed as surplus
	maxOpen     int       // open connections from which idle ones are closed early

	surplusLog, acceptLog rateLimitedLog
}

// idlePeriod is the time in which no byte of the next request has been read.
type idlePeriod struct {
	since, until time.Time
	surplus      bool // it was cut short as too many connections are open
}

func New() *Conns {
	return &Conns{idleTimeout: defaultIdleTimeout, headTimeout: defaultHeadTimeout, idle: map[*conn]idlePeriod{}, maxOpen: maxOpenConns()}
}

// changed returns the period of a connection that is idle while the timeout changes at the time
// now. A raise holds from the beginning of the period. After a cut, callers that still go by the
// former timeout get the time to learn of it.
func (p idlePeriod) changed(timeout time.Duration, now time.Time) idlePeriod {
	until := p.since.Add(timeout + IdleTimeoutSlack)
	if until.Before(p.until) {
		until = now.Add(timeout + IdleTimeoutSlack)
		if until.After(p.until) {
			until = p.until
		}
	}
	return idlePeriod{since: p.since, until: until}
}

// SetTimeouts sets the timeouts; 0 stands for the default.
func (cs *Conns) SetTimeouts(idle, head time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.headTimeout = cmp.Or(head, defaultHeadTimeout)
	idle = cmp.Or(idle, defaultIdleTimeout)
	if idle == cs.idleTimeout || cs.draining {
		return
	}
	cs.idleTimeout = idle
	now := time.Now()
	for c, p := range cs.idle {
		if !p.surplus {
			cs.setPeriod(c, p.changed(idle, now))
		}
	}
}

// Drain ends the idle connections, and each other one as it becomes idle. It returns when all
// connections are closed, or with an error when ctx is done.
func (cs *Conns) Drain(ctx context.Context) error {
	cs.mu.Lock()
	cs.draining = true
	now := time.Now()
	for c, p := range cs.idle {
		cs.setPeriod(c, idlePeriod{since: p.since, until: now})
	}
	cs.mu.Unlock()
	for cs.Open() > 0 {
		if !wait.For(ctx, closedPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Open returns the number of open connections, without HTTP/2 ones.
func (cs *Conns) Open() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open
}

// Idle returns the number of idle connections, without HTTP/2 ones.
func (cs *Conns) Idle() int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.idle)
}

// setPeriod sets the idle period of a connection and its read deadline. The caller holds the mutex.
func (cs *Conns) setPeriod(c *conn, p idlePeriod) {
	cs.idle[c] = p
	_ = c.Conn.SetReadDeadline(p.until) // fails only if the connection is closed
}

// beginIdle begins the idle period of a connection.
func (cs *Conns) beginIdle(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	now := time.Now()
	until := now.Add(cs.idleTimeout + IdleTimeoutSlack)
	if cs.draining {
		until = now
	}
	cs.setPeriod(c, idlePeriod{since: now, until: until})
	cs.idleOrder.remove(c)
	cs.idleOrder.push(c)
}

// endIdle ends the idle period of a connection. The caller holds the mutex.
func (cs *Conns) endIdle(c *conn) {
	delete(cs.idle, c)
	cs.idleOrder.remove(c)
}

// beginHead ends the idle period of a connection from which the first bytes of a request have been
// read. It does nothing if the connection is not idle.
func (cs *Conns) beginHead(c *conn) error {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if _, ok := cs.idle[c]; !ok {
		return nil
	}
	cs.endIdle(c)
	c.headUntil = time.Now().Add(cs.headTimeout)
	return c.Conn.SetReadDeadline(c.headUntil)
}

// period returns the idle period of a connection, and false if it is not idle.
func (cs *Conns) period(c *conn) (idlePeriod, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	p, ok := cs.idle[c]
	return p, ok
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ConnContext adds a connection to the contexts of its requests; see http.Server.ConnContext.
func (cs *Conns) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	return context.WithValue(ctx, connKey{}, nc)
}

// Left reports whether the caller has closed the connection of a request with the given context.
// net/http finds that out in another goroutine, which may run only after the request has been sent
// on if the caller left before the request was read.
func Left(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	return ok && peek(sc) == peekEnd
}

// State follows the states of a connection; see http.Server.ConnState. It is called by the
// goroutine that reads the connection.
func (cs *Conns) State(nc net.Conn, s http.ConnState) {
	isHTTP2 := false
	if t, ok := nc.(*tls.Conn); ok {
		nc, isHTTP2 = t.NetConn(), t.ConnectionState().NegotiatedProtocol == "h2"
	}
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	if isHTTP2 {
		c.release()
		return
	}
	switch s {
	case http.StateIdle:
		cs.beginIdle(c)
	case http.StateActive: // the head has been read
		cs.mu.Lock()
		cs.endIdle(c) // it may have arrived together with the request before
		cs.mu.Unlock()
		c.headUntil = time.Time{}
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Listen returns a listener whose connections the Conns ends. The server that accepts from it must
// have State as its ConnState, and must set neither ReadTimeout nor ReadHeaderTimeout.
func (cs *Conns) Listen(l net.Listener) net.Listener { return listener{l, cs} }

// listener accepts caller connections.
type listener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		l.conns.observeAcceptError(err)
		return nil, err
	}
	c := &conn{Conn: nc, conns: l.conns}
	l.conns.mu.Lock()
	l.conns.open++
	l.conns.closeSurplus()
	l.conns.mu.Unlock()
	l.conns.beginIdle(c)
	return c, nil
}

// conn is a connection from a caller.
type conn struct {
	net.Conn
	conns     *Conns
	headUntil time.Time // read deadline while the head of a request is read; used by the reading goroutine
	untracked sync.Once
	queued    *list.Element // in the idle queue, nil if it isn't; guarded by the mutex of conns

	hasWriteDeadline atomic.Bool // the server or a handler has set one
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.untrack()
	return c.Conn.Close()
}

// untrack takes the connection out of its Conns.
func (c *conn) untrack() {
	c.untracked.Do(func() {
		c.conns.mu.Lock()
		defer c.conns.mu.Unlock()
		c.conns.open--
		c.conns.endIdle(c)
	})
}

// release leaves the connection to net/http.
func (c *conn) release() {
	c.untrack()
	c.headUntil = time.Time{}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}

// SetReadDeadline implements net.Conn. net/http changes the deadline when a connection becomes idle
// and clears it when it begins to read a head; the deadlines of this package then stay.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if p, ok := c.conns.idle[c]; ok {
		return c.Conn.SetReadDeadline(p.until)
	}
	if t.IsZero() {
		t = c.headUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the connection for writing, if it can be. net/http uses it so that a refusal of
// its own isn't overtaken by a reset.
func (c *conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn. The end of the idle period, or of the time for a head, ends the
// connection only if nothing has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		period, idle := c.conns.period(c)
		if !idle && c.headUntil.IsZero() { // a deadline of the handler or of net/http
			return 0, err
		}
		now := time.Now()
		if idle && now.Before(period.until) { // a raised timeout
			n, err = c.Conn.Read(p)
			continue
		}
		n, err = c.readArrived(p)
		if n == 0 && idle && !period.surplus {
			log.Info().Str("event", "idle_connection_closed").Str("caller", c.RemoteAddr().String()).Dur("idle_ms", now.Sub(period.since)).Msg("a caller sent no request within the idle timeout")
		}
		if n == 0 {
			return 0, err
		}
	}
	if n > 0 {
		if derr := c.conns.beginHead(c); derr != nil && err == nil {
			err = derr
		}
	}
	return n, err
}

// readArrived reads what has arrived at a connection whose read deadline has passed. A read with a
// deadline, however late, could fail with bytes unread: the process may be held up before it begins.
func (c *conn) readArrived(p []byte) (int, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.readOnceMore(p)
	}
	if !hasArrived(sc) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.conns.beginHead(c); err != nil { // from here on nothing else sets a deadline
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if derr := c.Conn.SetReadDeadline(c.headUntil); err == nil {
		err = derr
	}
	return n, err
}

// hasArrived reports whether a read from a socket would return at once.
func hasArrived(sc syscall.Conn) bool { return peek(sc) != peekNothing }

// peekResult says what a read from a socket would return.
type peekResult int

const (
	peekNothing peekResult = iota // it would wait
	peekBytes
	peekEnd // the end of the connection, or an error
)

// peek finds out what a read from a socket would return, without reading.
func peek(sc syscall.Conn) peekResult {
	raw, err := sc.SyscallConn()
	if err != nil {
		return peekEnd
	}
	result := peekEnd
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, err := 0, error(unix.EINTR)
		for errors.Is(err, unix.EINTR) {
			n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		}
		switch {
		case errors.Is(err, unix.EAGAIN):
			result = peekNothing
		case err == nil && n > 0:
			result = peekBytes
		}
	}) // after an error the connection is closed
	return result
}

// readOnceMore reads from a connection in memory.
func (c *conn) readOnceMore(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}
