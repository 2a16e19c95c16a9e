package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// idleCloser closes caller connections that have been idle for the configured timeout. Unlike
// http.Server.IdleTimeout, the timeout can change while the server runs.
type idleCloser struct {
	timeout func() time.Duration
	mu      sync.Mutex
	timers  map[net.Conn]*time.Timer
}

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, timers: map[net.Conn]*time.Timer{}}
}

func (i *idleCloser) connState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if s == http.StateIdle {
		timeout := i.timeout()
		i.timers[c] = time.AfterFunc(timeout, func() {
			c.Close()
			log.Info().Str("event", "idle_connection_closed").Str("caller", c.RemoteAddr().String()).Dur("timeout_ms", timeout).Dur("timeout_now_ms", i.timeout()).Msg("a caller sent no request within the idle timeout")
		})
	}
}
