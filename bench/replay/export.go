package replay

import (
	"encoding/binary"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/placement/value"
	"github.com/galenaweir/galenaweir/core/prefix"
)

// Limits of what an agent remembers for its placement, as in agent.
const (
	maxContexts = 4096            // agent/cache.go
	useWindow   = 5 * time.Second // agent/link.go
)

// linkUse is the share of time in which an agent's own imports use a link, as
// agent/link.go measures it.
type linkUse struct {
	active int
	use    float64
	at     time.Duration
}

func (l *linkUse) advance(now time.Duration) {
	busy := 0.0
	if l.active > 0 {
		busy = 1
	}
	l.use += min(1, float64(now-l.at)/float64(useWindow)) * (busy - l.use)
	l.at = now
}

// add counts imports that begin or end.
func (l *linkUse) add(n int, now time.Duration) {
	l.advance(now)
	l.active += n
}

func (s *sim) newPlacement() placement.Policy {
	id := s.o.Placement
	if id == "" {
		id = value.ID
	}
	p, err := kernel.New[placement.Policy](id)
	if err != nil {
		panic(err) // a wrong name in the calling code
	}
	return p
}

// export announces what the engine holds and exports it, if the policy says so.
// Of the policy's decisions, drops are not replayed: the fake store makes room
// by itself. Nor are prefetches.
func (a *agent) export(w *work, tokens int) {
	k, now, st := w.key, a.s.c.now, a.s.storeOf(w.key.conversation)
	a.s.dir.engineHas(k, a.index, tokens)
	var context prefix.Hash
	binary.LittleEndian.PutUint32(context[:], uint32(k.conversation))
	a.returns.RecordEnd(w.customer, context, at(now))
	missing := tokens - st.tokens(k)
	if missing <= 0 || st.link.down {
		return
	}
	l := &a.links[a.s.storeIndex(k.conversation)]
	l.advance(now)
	d := a.placement.Export(&placement.Candidate{
		Bytes: int64(float64(missing) * a.s.perToken), PrefillTime: seconds(float64(missing) / a.engine.rate),
		Return: a.returns.Estimate(w.customer), Link: placement.Link{BytesPerSecond: st.link.speed(), Utilization: l.use},
		Space: placement.TierUsage{MemoryUse: st.memory.use(), DiskUse: st.disk.use()},
	})
	if !d.Export {
		a.s.count.kept++
		return
	}
	a.s.count.exported++
	st.export(k, tokens, d.Tier, func(ok bool) {
		if ok {
			a.s.dir.storeHas(k, tokens)
		}
	})
}
