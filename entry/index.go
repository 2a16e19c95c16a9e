package entry

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/galenaweir/galenaweir/node"
)

// index lists the endpoints of a configuration by model, so that a decision
// doesn't walk through the whole document.
type index struct {
	state  *node.ConfigState
	models map[string][]place // in the order of the endpoints' IDs
}

// place is an endpoint as this entry reaches it.
type place struct {
	id, agent, failureDomain string
	slots                    int
	hop                      time.Duration // one way
}

// defaultHop is the one-way time to a failure domain without a link in the
// configuration.
const defaultHop = 2 * time.Millisecond

// localHop is the one-way time within a failure domain.
const localHop = 200 * time.Microsecond

func newIndex(st *node.ConfigState, failureDomain string) *index {
	ix := &index{state: st, models: map[string][]place{}}
	hops := map[string]time.Duration{}
	for _, l := range st.Doc.Links {
		d := time.Duration(l.OneWayMs * float64(time.Millisecond))
		switch failureDomain {
		case l.From:
			hops[l.To] = d
		case l.To:
			hops[l.From] = d
		}
	}
	hops[failureDomain] = localHop
	for id, e := range st.Doc.Endpoints {
		hop, ok := hops[e.FailureDomain]
		if !ok {
			hop = defaultHop
		}
		ix.models[e.Model] = append(ix.models[e.Model], place{id, e.Agent, e.FailureDomain, e.Slots, hop})
	}
	for _, ps := range ix.models {
		sort.Slice(ps, func(i, j int) bool { return ps[i].id < ps[j].id })
	}
	return ix
}

// indexCache keeps the index of the latest configuration that was asked for.
type indexCache struct{ latest atomic.Pointer[index] }

func (c *indexCache) of(st *node.ConfigState, failureDomain string) *index {
	ix := c.latest.Load()
	if ix == nil || ix.state != st {
		ix = newIndex(st, failureDomain)
		c.latest.Store(ix)
	}
	return ix
}
