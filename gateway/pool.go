package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenaweir/galenaweir/stricthttp"
)

// Limits on idle connections to endpoints.
const (
	maxIdlePerEndpoint         = 16
	defaultEndpointIdleTimeout = 4 * time.Second // applies when the endpoint sends no Keep-Alive timeout
	idleTimeoutMargin          = time.Second     // subtracted from the endpoint's timeout, to avoid reuse just before it closes the connection
	connBufferBytes            = 4096
)

// endpointConn is a connection to an endpoint that carries one request at a time.
type endpointConn struct {
	net.Conn
	br          *bufio.Reader
	headLimit   int                  // bytes that may still be read, while a head is read
	inHead      bool                 // a head is read
	headLines   stricthttp.HeadLines // of the head that is read
	idleSince   time.Duration        // clock time at which it became idle
	idleTimeout time.Duration
	reused      bool
	openedAt    time.Duration // clock time at which connecting began
}

// connPool holds idle connections and counts the connections in use, per endpoint.
type connPool struct {
	clock Clock
	mu    sync.Mutex
	idle  map[string][]*endpointConn
	inUse map[string]int
}

func newConnPool(clock Clock) *connPool {
	return &connPool{clock: clock, idle: map[string][]*endpointConn{}, inUse: map[string]int{}}
}

// errConnLimit is returned when all connections that this process may open to an
// endpoint are in use.
var errConnLimit = errors.New("all connections to the endpoint are in use")

// get returns an idle connection to the endpoint, or dials a new one.
func (p *connPool) get(ctx context.Context, key, address string, limit int) (*endpointConn, error) {
	c, err := p.acquire(key, limit)
	if c != nil || err != nil {
		return c, err
	}
	openedAt := p.clock()
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(key)
		return nil, err
	}
	c = newEndpointConn(nc)
	c.openedAt = openedAt
	return c, nil
}

func newEndpointConn(nc net.Conn) *endpointConn {
	c := &endpointConn{Conn: nc, idleTimeout: defaultEndpointIdleTimeout}
	c.br = bufio.NewReaderSize(headReader{c}, connBufferBytes)
	return c
}

// headReader reads from a connection. While a head is read it fails once that is too long.
type headReader struct{ c *endpointConn }

func (r headReader) Read(p []byte) (int, error) {
	if !r.c.inHead {
		return r.c.Conn.Read(p)
	}
	if r.c.headLimit <= 0 {
		return 0, headTooLongError{}
	}
	n, err := r.c.Conn.Read(p[:min(len(p), r.c.headLimit)])
	r.c.headLimit -= n
	r.c.headLines.Scan(p[:n])
	return n, err
}

// readResponse reads the head of a response, and returns an error for one that is broken. net/http
// puts no bound on the length of a head.
func (c *endpointConn) readResponse(method string) (*http.Response, error) {
	buffered, _ := c.br.Peek(c.br.Buffered()) // doesn't read, so it can't fail
	c.inHead, c.headLimit, c.headLines = true, maxResponseHeadBytes, stricthttp.HeadLines{}
	c.headLines.Scan(buffered)
	defer func() { c.inHead = false }()
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := stricthttp.CheckHead(resp); err != nil {
		return nil, err
	}
	return resp, c.headLines.Check(resp)
}

// acquire reserves one of the limit connections and returns an idle connection, or nil
// when the caller has to dial.
func (p *connPool) acquire(key string, limit int) (*endpointConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[key] >= limit {
		return nil, errConnLimit
	}
	p.inUse[key]++
	now := p.clock()
	for list := p.idle[key]; len(list) > 0; list = p.idle[key] {
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		if now-c.idleSince < c.idleTimeout && isReusable(c) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	return nil, nil
}

func (p *connPool) release(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[key]--; p.inUse[key] <= 0 {
		delete(p.inUse, key)
	}
}

// put returns a connection to the pool. It closes the connection unless keep is set
// and no bytes followed the response.
func (p *connPool) put(key string, c *endpointConn, keep bool) {
	p.release(key)
	if !keep || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	c.idleSince = p.clock()
	p.idle[key] = append(p.idle[key], c)
}

// prune closes idle connections that have timed out or whose endpoint is not in alive.
func (p *connPool) prune(alive map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for key, list := range p.idle {
		id, _, _ := strings.Cut(key, "@")
		kept := list[:0]
		for _, c := range list {
			if alive[id] && now-c.idleSince < c.idleTimeout {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// isReusable reports whether an idle connection is open and has no unread bytes: bytes that
// arrive without a request belong to no response.
func isReusable(c *endpointConn) bool {
	return c.checkSocket(func(fd int) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return errors.Is(err, unix.EAGAIN)
	})
}

// hasSentAll reports whether the endpoint's host has acknowledged all that was written.
func (c *endpointConn) hasSentAll() bool {
	return c.checkSocket(func(fd int) bool {
		unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err == nil && unacknowledged == 0
	})
}

// checkSocket returns the result of a check of the connection's socket, true if it is none.
func (c *endpointConn) checkSocket(check func(fd int) bool) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	passed := false
	err = raw.Control(func(fd uintptr) { passed = check(int(fd)) })
	return err == nil && passed
}

// keepAliveTimeout returns how long a connection may stay idle and still be reused, from the
// value of the endpoint's Keep-Alive header.
func keepAliveTimeout(value string) time.Duration {
	for param := range strings.SplitSeq(value, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(v, 64); err == nil && s >= 0 {
			return time.Duration(s*float64(time.Second)) - idleTimeoutMargin
		}
	}
	return defaultEndpointIdleTimeout
}
