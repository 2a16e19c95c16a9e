package replay

import (
	"encoding/binary"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/placement/value"
	"github.com/galenaweir/galenaweir/core/prefix"
)

// Limits of the state that an agent keeps for its placement policy, as in package
// agent.
const (
	maxTrackedContexts = 4096            // agent/cache.go
	linkUseWindow      = 5 * time.Second // agent/link.go
)

// linkUseTracker measures the share of time in which an agent's own imports use a
// link, as agent/link.go does.
type linkUseTracker struct {
	activeImports int
	busyShare     float64
	updatedAt     time.Duration
}

func (l *linkUseTracker) update(now time.Duration) {
	busy := 0.0
	if l.activeImports > 0 {
		busy = 1
	}
	l.busyShare += min(1, float64(now-l.updatedAt)/float64(linkUseWindow)) * (busy - l.busyShare)
	l.updatedAt = now
}

// add changes the number of active imports by n.
func (l *linkUseTracker) add(n int, now time.Duration) {
	l.update(now)
	l.activeImports += n
}

func (s *sim) newPlacement() placement.Policy {
	id := s.options.Placement
	if id == "" {
		id = value.ID
	}
	p, err := kernel.New[placement.Policy](id)
	if err != nil {
		panic(err) // the caller passed an unknown policy ID
	}
	return p
}

// export announces the context in the engine's cache and exports it to the store
// if the placement policy decides so. The policy's other decisions are not
// replayed: the fake store evicts by itself, and there are no prefetches.
func (a *agent) export(w *workItem, tokens int) {
	k, now, st := w.key, a.sim.clock.now, a.sim.storeFor(w.key.conversation)
	a.sim.directory.announceEngine(k, a.index, tokens)
	var context prefix.Hash
	binary.LittleEndian.PutUint32(context[:], uint32(k.conversation))
	a.returns.RecordEnd(w.customer, context, wallTime(now))
	missing := tokens - st.tokens(k)
	if missing <= 0 || st.link.down {
		return
	}
	l := &a.linkUse[a.sim.storeIndex(k.conversation)]
	l.update(now)
	d := a.placement.Export(&placement.Candidate{
		Bytes: int64(float64(missing) * a.sim.kvBytesPerToken), PrefillTime: seconds(float64(missing) / a.engine.prefillRate),
		Return: a.returns.Estimate(w.customer), Link: placement.Link{BytesPerSecond: st.link.currentRate(), Utilization: l.busyShare},
		Space: placement.TierUsage{MemoryUse: st.memory.utilization(), DiskUse: st.disk.utilization()},
	})
	if !d.Export {
		a.sim.counts.notExported++
		return
	}
	a.sim.counts.exported++
	st.export(k, tokens, d.Tier, func(ok bool) {
		if ok {
			a.sim.directory.announceStore(k, tokens)
		}
	})
}
