package entry

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/galenaweir/galenaweir/node"
)

// endpointIndex groups the endpoints of a configuration by model, so that routing
// doesn't scan the whole document for each request.
type endpointIndex struct {
	config  *node.ConfigState
	byModel map[string][]indexedEndpoint // sorted by endpoint ID
}

// indexedEndpoint is an endpoint with the latency to it from this entry.
type indexedEndpoint struct {
	id, agent, failureDomain string
	slots                    int
	oneWayLatency            time.Duration
}

// defaultOneWayLatency is used for failure domains without a link in the
// configuration.
const defaultOneWayLatency = 2 * time.Millisecond

// localOneWayLatency is the one-way latency within a failure domain.
const localOneWayLatency = 200 * time.Microsecond

func newEndpointIndex(st *node.ConfigState, failureDomain string) *endpointIndex {
	ix := &endpointIndex{config: st, byModel: map[string][]indexedEndpoint{}}
	latencies := map[string]time.Duration{}
	for _, l := range st.Doc.Links {
		latency := time.Duration(l.OneWayMs * float64(time.Millisecond))
		switch failureDomain {
		case l.From:
			latencies[l.To] = latency
		case l.To:
			latencies[l.From] = latency
		}
	}
	latencies[failureDomain] = localOneWayLatency
	for id, e := range st.Doc.Endpoints {
		latency, ok := latencies[e.FailureDomain]
		if !ok {
			latency = defaultOneWayLatency
		}
		ix.byModel[e.Model] = append(ix.byModel[e.Model], indexedEndpoint{id, e.Agent, e.FailureDomain, e.Slots, latency})
	}
	for _, endpoints := range ix.byModel {
		sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].id < endpoints[j].id })
	}
	return ix
}

// endpointIndexCache caches the index of the most recently used configuration.
type endpointIndexCache struct{ latest atomic.Pointer[endpointIndex] }

func (c *endpointIndexCache) get(st *node.ConfigState, failureDomain string) *endpointIndex {
	ix := c.latest.Load()
	if ix == nil || ix.config != st {
		ix = newEndpointIndex(st, failureDomain)
		c.latest.Store(ix)
	}
	return ix
}
