package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/retry"
	"github.com/galenaweir/galenaweir/core/rollout"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

// view is what the entry knows of the endpoints and of the stores' links: the
// reports that came with answers, corrected by its own choices since.
type view struct {
	mu        sync.Mutex
	rng       *rand.Rand
	start     time.Time
	endpoints map[string]*endpointView
	links     map[string]*routing.LinkView
	shares    *routing.ShareTracker // of the engines' prefill tokens
}

type endpointView struct {
	load    routing.EndpointView
	version string
	at      time.Duration // of the last report
	leaving bool
	avoid   time.Duration // don't choose before, because it refused or failed
	breaker retry.Breaker
}

func newView(seed uint64) *view {
	return &view{
		rng: rand.New(rand.NewPCG(seed, 2)), start: time.Now(), endpoints: map[string]*endpointView{},
		links: map[string]*routing.LinkView{}, shares: routing.NewShareTracker(),
	}
}

// now returns the time as the decisions count it, from the entry's start.
func (v *view) now() time.Duration { return time.Since(v.start) }

func (v *view) endpoint(id string) *endpointView {
	e := v.endpoints[id]
	if e == nil {
		e = &endpointView{}
		v.endpoints[id] = e
	}
	return e
}

func (v *view) link(store string) *routing.LinkView {
	l := v.links[store]
	if l == nil {
		l = routing.NewLinkView()
		v.links[store] = l
	}
	return l
}

// report takes a load report.
func (v *view) report(r *rpc.LoadReport) {
	if r == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	e := v.endpoint(r.Endpoint)
	report := routing.LoadReport{
		Running: int(r.Running), Waiting: int(r.Waiting), QueuedTokens: int(r.QueuedTokens),
		SlotTime: time.Duration(r.SlotTimeUs) * time.Microsecond,
	}
	for i := range min(len(r.AheadTokens), routing.NumClasses) {
		report.AheadTokens[i] = int(r.AheadTokens[i])
	}
	e.load.ApplyReport(report, now)
	e.at, e.leaving = now, r.Leaving
	if r.WeightVersion != "" {
		e.version = r.WeightVersion
	}
	for _, l := range r.Links {
		v.link(l.Store).ApplyReport(float64(l.QueuedBytes), float64(l.BehindBytes), float64(l.BytesPerSecond), now)
	}
}

// avoidFor keeps the endpoint from being chosen for a while.
func (v *view) avoidFor(endpoint string, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endpoint(endpoint).avoid = v.now() + d
}

// done takes the result of an attempt for the endpoint's breaker.
func (v *view) done(endpoint string, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endpoint(endpoint).breaker.Done(answered, v.now(), v.rng)
}

// chosen is one of the entry's own choices.
type chosen struct {
	endpoint, customer string
	prefill            int // tokens
	prefillRate        float64
	store              string // to fetch from, empty for none
	fetchBytes         float64
	weight             float64 // of the customer
}

// chose counts a choice and tells whether its customer is above its share.
func (v *view) chose(c chosen) (overShare bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	e := v.endpoint(c.endpoint)
	e.breaker.Allow(now)
	e.load.AddRequest(c.prefill, c.prefillRate, now)
	overShare = v.shares.Record(c.customer, float64(c.prefill)/c.weight, now)
	if c.store != "" && v.link(c.store).AddFetch(c.customer, c.fetchBytes, now) {
		overShare = true
	}
	return overShare
}

// leavingHold is how long the word of an agent that it leaves is believed. It is
// longer than members take to learn of it (3 s), and bounded because the agent
// may come back under the same ID.
const leavingHold = 5 * time.Second

// candidateQuery says which endpoints are wanted.
type candidateQuery struct {
	model       string
	version     string          // weight version, empty for any
	skip        map[string]bool // endpoints already tried
	class       int             // rank of the priority class
	customer    string
	store       string // that may hold the prefix, empty for none
	prefillRate float64
}

// loading reports whether the agent has announced that the endpoint loads weights.
// Such an endpoint reports little load, and would attract requests that its
// engine refuses.
func loading(m node.Member, endpoint string) bool {
	for _, e := range m.Endpoints {
		if e.ID == endpoint {
			return e.RolloutStage == uint32(rollout.Loading)
		}
	}
	return false
}

// candidates returns the endpoints that may be chosen, in the order of their IDs.
// Endpoints to avoid, or whose agent said that it leaves, are left out unless
// there are no others: the agent may have restarted, and else refuses by itself.
func (v *view) candidates(ix *index, ms node.Members, q candidateQuery) []routing.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	places := ix.models[q.model]
	cs := make([]routing.Candidate, 0, len(places))
	var avoided []routing.Candidate
	var wait time.Duration
	var rate float64
	if q.store != "" {
		wait, rate = v.link(q.store).EstimateFetch(q.customer, now)
	}
	for i := range places {
		p := &places[i]
		m, ok := ms.Get(p.agent)
		if q.skip[p.id] || !ok || m.State == node.Gone || m.State == node.Leaving {
			continue
		}
		e := v.endpoint(p.id)
		if q.version != "" && e.version != "" && e.version != q.version {
			continue
		}
		c := routing.Candidate{
			Endpoint: p.id, Agent: p.agent, FailureDomain: p.failureDomain, Slots: p.slots, HopLatency: p.hop,
			WeightVersion: e.version, Suspect: m.State == node.Suspect, FetchWait: wait, FetchRate: rate,
		}
		e.load.FillLoad(&c, min(max(q.class, 0), routing.NumClasses-1), q.prefillRate, now)
		if now < e.avoid || e.breaker.Open(now) || e.leaving && now-e.at < leavingHold || loading(m, p.id) {
			avoided = append(avoided, c)
		} else {
			cs = append(cs, c)
		}
	}
	if len(cs) == 0 {
		return avoided
	}
	return cs
}
