package agent

import (
	"context"
	"maps"
	"slices"
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
// engine restarted, and the view starts from nothing. It returns the pieces that
// were evicted.
func (v *engineView) refresh(ctx context.Context, e protocol.Engine, address string) ([]prefix.Hash, error) {
	v.refreshing.Lock()
	defer v.refreshing.Unlock()
	v.mu.Lock()
	last := v.last
	v.mu.Unlock()
	events, err := e.CacheEvents(ctx, address, max(1, last.Number)-1)
	if err != nil {
		return nil, err
	}
	if last.Number > 0 && (len(events) == 0 || events[0] != last) {
		v.reset()
		if events, err = e.CacheEvents(ctx, address, 0); err != nil {
			return nil, err
		}
	}
	return v.apply(events), nil
}

func (v *engineView) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.resyncs++
	v.held, v.last = map[prefix.Hash]struct{}{}, protocol.CacheEvent{}
}

// apply takes events in their order; at a gap the view forgets what it held. It
// returns the pieces that the events evict and don't bring back.
func (v *engineView) apply(events []protocol.CacheEvent) (evicted []prefix.Hash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	gone := map[prefix.Hash]struct{}{}
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
			gone[ev.Block] = struct{}{}
		} else {
			delete(gone, ev.Block)
			v.held[ev.Block] = struct{}{}
		}
		v.last = ev
	}
	return slices.Collect(maps.Keys(gone))
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
