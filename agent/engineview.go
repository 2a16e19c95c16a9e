package agent

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
)

// engineView is the agent's view of an engine's prefix cache. It may lack pieces or
// contain evicted ones; either only costs time.
type engineView struct {
	refreshMu sync.Mutex // serializes refreshes

	mu        sync.Mutex
	pieces    map[prefix.Hash]struct{}
	lastEvent protocol.CacheEvent // last applied event
	resyncs   int                 // number of times that the view was cleared
}

func newEngineView() *engineView { return &engineView{pieces: map[prefix.Hash]struct{}{}} }

// refresh applies the engine's events since the last refresh and returns the pieces
// that were evicted. It requests the last applied event again: if the engine returns a
// different one, events were lost or the engine restarted, and the view is rebuilt
// from all events that the engine still has.
func (v *engineView) refresh(ctx context.Context, e protocol.Engine, address string) ([]prefix.Hash, error) {
	v.refreshMu.Lock()
	defer v.refreshMu.Unlock()
	v.mu.Lock()
	last := v.lastEvent
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

// reset clears the view.
func (v *engineView) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.resyncs++
	v.pieces, v.lastEvent = map[prefix.Hash]struct{}{}, protocol.CacheEvent{}
}

// apply applies events in order and clears the view at a gap between them. The first
// event that an empty view receives may have any number, because engines drop old
// events. apply returns the pieces that were evicted and not added again.
func (v *engineView) apply(events []protocol.CacheEvent) (evicted []prefix.Hash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	evictedPieces := map[prefix.Hash]struct{}{}
	for _, ev := range events {
		if ev.Number <= v.lastEvent.Number {
			continue
		}
		if ev.Number != v.lastEvent.Number+1 && v.lastEvent.Number > 0 {
			v.resyncs++
			v.pieces = map[prefix.Hash]struct{}{}
		}
		if ev.Evicted {
			delete(v.pieces, ev.Block)
			evictedPieces[ev.Block] = struct{}{}
		} else {
			delete(evictedPieces, ev.Block)
			v.pieces[ev.Block] = struct{}{}
		}
		v.lastEvent = ev
	}
	return slices.Collect(maps.Keys(evictedPieces))
}

// missing returns the indices of the chain's pieces that the engine lacks.
func (v *engineView) missing(chain []prefix.Hash) []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []int
	for i, h := range chain {
		if _, ok := v.pieces[h]; !ok {
			out = append(out, i)
		}
	}
	return out
}

// addPiece adds a piece that was just imported, ahead of the engine's event for it.
func (v *engineView) addPiece(h prefix.Hash) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pieces[h] = struct{}{}
}
