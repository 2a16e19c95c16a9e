package entry

import (
	"sort"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

// view is what the entry knows of the endpoints' load: the reports that came
// with answers, and its own choices since.
type view struct {
	mu    sync.Mutex
	loads map[string]*endpointLoad
}

type endpointLoad struct {
	report    *rpc.LoadReport
	at        time.Time
	ownFlight int
	ownTokens int
	avoid     time.Time // don't choose before, because it refused or failed
}

func newView() *view { return &view{loads: map[string]*endpointLoad{}} }

func (v *view) get(endpoint string) *endpointLoad {
	l := v.loads[endpoint]
	if l == nil {
		l = &endpointLoad{}
		v.loads[endpoint] = l
	}
	return l
}

// report takes a load report unless a later one is known.
func (v *view) report(r *rpc.LoadReport, now time.Time) {
	if r == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.get(r.Endpoint)
	l.report, l.at = r, now
	l.ownFlight, l.ownTokens = 0, 0
}

// chose counts one of the entry's own choices.
func (v *view) chose(endpoint string, tokens int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.get(endpoint)
	l.ownFlight++
	l.ownTokens += tokens
}

// avoidFor keeps the endpoint from being chosen for a while.
func (v *view) avoidFor(endpoint string, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.get(endpoint).avoid = until
}

// leavingHold is how long the word of an agent that it leaves is believed. It is
// longer than members take to learn of it (3 s), and bounded because the agent
// may come back under the same ID.
const leavingHold = 5 * time.Second

// candidateQuery says which endpoints are wanted.
type candidateQuery struct {
	model   string
	version string          // weight version, empty for any
	skip    map[string]bool // endpoints already tried
}

// candidates returns the endpoints that may be chosen, in the order of their IDs.
// Endpoints to avoid, or whose agent said that it leaves, are left out unless
// there are no others: the agent may have restarted, and else refuses by itself.
func (v *view) candidates(doc *config.Document, ms node.Members, q candidateQuery, now time.Time) []routing.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	var cs, avoided []routing.Candidate
	for id, e := range doc.Endpoints {
		if e.Model != q.model || q.skip[id] {
			continue
		}
		m, ok := ms.Get(e.Agent)
		if !ok || m.State == node.Gone || m.State == node.Leaving {
			continue
		}
		l := v.get(id)
		c := routing.Candidate{Endpoint: id, Agent: e.Agent, FailureDomain: e.FailureDomain, Slots: e.Slots,
			OwnInFlight: l.ownFlight, OwnTokens: l.ownTokens, ReportAge: -1, Suspect: m.State == node.Suspect}
		if r := l.report; r != nil {
			c.Running, c.Waiting, c.QueuedTokens = int(r.Running), int(r.Waiting), int(r.QueuedTokens)
			c.ReportAge = now.Sub(l.at)
			c.WeightVersion = r.WeightVersion
		}
		switch {
		case q.version != "" && c.WeightVersion != "" && c.WeightVersion != q.version:
		case now.Before(l.avoid), l.report != nil && l.report.Leaving && now.Sub(l.at) < leavingHold:
			avoided = append(avoided, c)
		default:
			cs = append(cs, c)
		}
	}
	if cs == nil {
		cs = avoided
	}
	sort.Slice(cs, func(i, j int) bool { return cs[i].Endpoint < cs[j].Endpoint })
	return cs
}
