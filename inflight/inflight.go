// Package inflight counts running work, refuses new work once a process is
// leaving, and waits until the running work has ended.
package inflight

import (
	"context"
	"sync"
)

// Group counts pieces of running work. Unlike a sync.WaitGroup, work may be
// added while another goroutine waits. The zero value is open.
type Group struct {
	mu      sync.Mutex
	n       int
	closed  bool
	changed chan struct{} // closes when n reaches zero; nil when nobody waits
}

// Enter counts one piece of work, to be ended with Leave. It returns false and
// counts nothing after Close.
func (g *Group) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.n++
	return true
}

// Continue counts work that belongs to work accepted before Close, such as a
// resumed stream; it is counted even after Close.
func (g *Group) Continue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

// Leave ends one piece of work.
func (g *Group) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 && g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// Close refuses new work from now on.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Closed reports whether new work is refused.
func (g *Group) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Count returns the number of running pieces of work.
func (g *Group) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

// Wait returns nil when no work runs, or the cause of ctx when it ends first.
func (g *Group) Wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		if g.n == 0 {
			g.mu.Unlock()
			return nil
		}
		if g.changed == nil {
			g.changed = make(chan struct{})
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
