package agent

import (
	"context"
	"sync"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
)

// engineView is what the agent believes an engine's prefix cache to hold. It may
// lack pieces or hold evicted ones; both cost time only.
type engineView struct {
	refreshing sync.Mutex // one refresh at a time

	mu      sync.Mutex
	held    map[prefix.Hash]struct{}
	last    protocol.CacheEvent // the last one applied
	resyncs int
}

func newEngineView() *engineView { return &engineView{held: map[prefix.Hash]struct{}{}} }

// refresh applies the engine's events since the last refresh. The last event is
// asked for again: if it does not come back as it was, events were lost or the
// engine restarted, and the view starts from nothing.
func (v *engineView) refresh(ctx context.Context, e protocol.Engine, address string) error {
	v.refreshing.Lock()
	defer v.refreshing.Unlock()
	v.mu.Lock()
	last := v.last
	v.mu.Unlock()
	events, err := e.CacheEvents(ctx, address, max(1, last.Number)-1)
	if err != nil {
		return err
	}
	if last.Number > 0 && (len(events) == 0 || events[0] != last) {
		v.reset()
		if events, err = e.CacheEvents(ctx, address, 0); err != nil {
			return err
		}
	}
	v.apply(events)
	return nil
}

func (v *engineView) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.resyncs++
	v.held, v.last = map[prefix.Hash]struct{}{}, protocol.CacheEvent{}
}

// apply takes events in their order; at a gap the view forgets what it held.
func (v *engineView) apply(events []protocol.CacheEvent) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, ev := range events {
		if ev.Number <= v.last.Number {
			continue
		}
		if ev.Number != v.last.Number+1 && v.last.Number > 0 {
			v.resyncs++
			v.held = map[prefix.Hash]struct{}{}
		}
		if ev.Evicted {
			delete(v.held, ev.Block)
		} else {
			v.held[ev.Block] = struct{}{}
		}
		v.last = ev
	}
}

// missing returns the indices of the chain's pieces that the engine lacks.
func (v *engineView) missing(chain []prefix.Hash) []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []int
	for i, h := range chain {
		if _, ok := v.held[h]; !ok {
			out = append(out, i)
		}
	}
	return out
}

// add notes a piece that was just imported, before the engine's event comes.
func (v *engineView) add(h prefix.Hash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.held[h] = struct{}{}
}
