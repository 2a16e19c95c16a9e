package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that were idle for the configured limit,
// which changes while the server runs.
type idleCloser struct {
	limit  func() time.Duration
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

func (i *idleCloser) connState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if s == http.StateIdle {
		i.timers[c] = time.AfterFunc(i.limit(), func() { c.Close() })
	}
}
