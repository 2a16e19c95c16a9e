// Package inflight tracks operations in progress: it rejects new ones once a
// process drains and waits until the running ones have finished.
package inflight

import (
	"context"
	"sync"
)

// Group counts running operations. Unlike with sync.WaitGroup, operations may be
// added while another goroutine waits. The zero value accepts operations.
type Group struct {
	mu     sync.Mutex
	count  int
	closed bool
	idle   chan struct{} // closed when count reaches zero; nil when no goroutine waits
}

// TryAdd adds an operation, which must be ended with Done. After Close it adds
// nothing and returns false.
func (g *Group) TryAdd() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.count++
	return true
}

// Add adds an operation even after Close. It is meant for the continuation of
// work that was accepted before Close, such as a resumed stream.
func (g *Group) Add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

// Done ends one operation.
func (g *Group) Done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Close makes all later calls of TryAdd return false.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Closed reports whether Close has been called.
func (g *Group) Closed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// Count returns the number of running operations.
func (g *Group) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}

// Wait blocks until no operation is running and returns nil. It returns the cause
// of ctx when ctx ends first.
func (g *Group) Wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		if g.count == 0 {
			g.mu.Unlock()
			return nil
		}
		if g.idle == nil {
			g.idle = make(chan struct{})
		}
		idle := g.idle
		g.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
