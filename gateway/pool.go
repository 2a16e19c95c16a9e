package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of idle connections to endpoints.
const (
	maxIdlePerEndpoint = 16
	defaultIdle        = 4 * time.Second // kept when the endpoint states no timeout
	idleMargin         = time.Second     // not used that shortly before the stated timeout
	connBufferBytes    = 4096
)

// endpointConn is a connection that carries one request at a time.
type endpointConn struct {
	net.Conn
	br      *bufio.Reader
	idle    time.Duration // since when
	keepFor time.Duration
	reused  bool
}

// connPool keeps idle connections by endpoint.
type connPool struct {
	clock Clock
	mu    sync.Mutex
	idle  map[string][]*endpointConn
	inUse map[string]int
}

func newConnPool(clock Clock) *connPool {
	return &connPool{clock: clock, idle: map[string][]*endpointConn{}, inUse: map[string]int{}}
}

// errConnLimit means that this process's share of the endpoint's connections is in use.
var errConnLimit = errors.New("all connections to the endpoint are in use")

// get returns an idle connection of the endpoint or a new one.
func (p *connPool) get(ctx context.Context, key, address string, limit int) (*endpointConn, error) {
	c, err := p.take(key, limit)
	if c != nil || err != nil {
		return c, err
	}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(key)
		return nil, err
	}
	return &endpointConn{Conn: nc, br: bufio.NewReaderSize(nc, connBufferBytes), keepFor: defaultIdle}, nil
}

func (p *connPool) take(key string, limit int) (*endpointConn, error) {
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
		if now-c.idle < c.keepFor && quiet(c) {
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

// put takes a connection back. It is kept when its answer was complete and nothing
// followed it.
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
	c.idle = p.clock()
	p.idle[key] = append(p.idle[key], c)
}

// retain closes the connections of endpoints that are gone, and those idle too long.
func (p *connPool) retain(alive map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if alive[key] && now-c.idle < c.keepFor {
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

// quiet tells whether an idle connection is open and has nothing to read: bytes
// that come without a request belong to none.
func quiet(c *endpointConn) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// keepAlive returns how long an idle connection may be used by the value of the
// endpoint's Keep-Alive header.
func keepAlive(value string) time.Duration {
	for param := range strings.SplitSeq(value, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(v, 64); err == nil && s >= 0 {
			return time.Duration(s*float64(time.Second)) - idleMargin
		}
	}
	return defaultIdle
}
