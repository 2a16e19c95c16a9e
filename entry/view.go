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

// clusterView is the entry's view of the endpoints' load and the stores' links: the
// latest load reports, adjusted by the entry's own routing decisions since then.
type clusterView struct {
	mu            sync.Mutex
	rng           *rand.Rand
	startTime     time.Time
	endpoints     map[string]*endpointState
	links         map[string]*routing.LinkView
	prefillShares *routing.ShareTracker // customers' shares of prefill tokens
}

type endpointState struct {
	load          routing.EndpointView
	weightVersion string
	reportedAt    time.Duration // time of the last report
	leaving       bool
	avoidUntil    time.Duration // the endpoint refused or failed and is avoided until this time
	breaker       retry.Breaker
}

func newClusterView(seed uint64) *clusterView {
	return &clusterView{
		rng: rand.New(rand.NewPCG(seed, 2)), startTime: time.Now(), endpoints: map[string]*endpointState{},
		links: map[string]*routing.LinkView{}, prefillShares: routing.NewShareTracker(),
	}
}

// now returns the time since the entry's start.
func (v *clusterView) now() time.Duration { return time.Since(v.startTime) }

func (v *clusterView) endpoint(id string) *endpointState {
	e := v.endpoints[id]
	if e == nil {
		e = &endpointState{}
		v.endpoints[id] = e
	}
	return e
}

func (v *clusterView) link(store string) *routing.LinkView {
	l := v.links[store]
	if l == nil {
		l = routing.NewLinkView()
		v.links[store] = l
	}
	return l
}

// recordLoad updates the view from an agent's load report.
func (v *clusterView) recordLoad(load *rpc.LoadReport) {
	if load == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	e := v.endpoint(load.Endpoint)
	report := routing.LoadReport{
		Running: int(load.Running), Waiting: int(load.Waiting), QueuedTokens: int(load.QueuedTokens),
		SlotTime: time.Duration(load.SlotTimeUs) * time.Microsecond,
	}
	for i := range min(len(load.AheadTokens), routing.NumClasses) {
		report.AheadTokens[i] = int(load.AheadTokens[i])
	}
	e.load.ApplyReport(report, now)
	e.reportedAt, e.leaving = now, load.Leaving
	if load.WeightVersion != "" {
		e.weightVersion = load.WeightVersion
	}
	for _, l := range load.Links {
		v.link(l.Store).ApplyReport(float64(l.QueuedBytes), float64(l.BehindBytes), float64(l.BytesPerSecond), now)
	}
}

// avoidFor excludes the endpoint from routing for the duration unless no other
// endpoint is available.
func (v *clusterView) avoidFor(endpoint string, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endpoint(endpoint).avoidUntil = v.now() + d
}

// recordResult reports the result of an attempt to the endpoint's circuit breaker.
func (v *clusterView) recordResult(endpoint string, answered bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.endpoint(endpoint).breaker.Done(answered, v.now(), v.rng)
}

// assignment is a request that the entry has routed to an endpoint.
type assignment struct {
	endpoint, customer string
	prefillTokens      int
	prefillRate        float64
	store              string // store to fetch the prefix from; empty for none
	fetchBytes         float64
	weight             float64 // the customer's weight
}

// recordAssignment adds a routed request to the view and reports whether its customer
// exceeds its fair share.
func (v *clusterView) recordAssignment(a assignment) (overShare bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	e := v.endpoint(a.endpoint)
	e.breaker.Allow(now) // if the breaker is open and a probe is due, this request is the probe
	e.load.AddRequest(a.prefillTokens, a.prefillRate, now)
	overShare = v.prefillShares.Record(a.customer, float64(a.prefillTokens)/a.weight, now)
	if a.store != "" && v.link(a.store).AddFetch(a.customer, a.fetchBytes, now) {
		overShare = true
	}
	return overShare
}

// leavingReportTTL is how long an agent's report that it is leaving is trusted. It
// exceeds the 3 s within which members learn that the agent is leaving, and is bounded
// because the agent may restart under the same ID.
const leavingReportTTL = 5 * time.Second

// candidateQuery selects the endpoints that may serve a request.
type candidateQuery struct {
	model         string
	weightVersion string          // empty for any
	excluded      map[string]bool // endpoints that were already tried
	priorityRank  int
	customer      string
	store         string // store that may hold the prefix; empty for none
	prefillRate   float64
}

// isLoadingWeights reports whether the agent has announced that the endpoint is loading
// weights. Such an endpoint reports little load and would attract requests that its
// engine refuses.
func isLoadingWeights(m node.Member, endpoint string) bool {
	for _, e := range m.Endpoints {
		if e.ID == endpoint {
			return e.RolloutStage == uint32(rollout.Loading)
		}
	}
	return false
}

// candidates returns the endpoints that match the query, sorted by ID. Endpoints that
// are avoided, have an open circuit breaker, are loading weights, or whose last load
// report said that the agent is leaving, are excluded unless there are no others: such
// an agent may have restarted, and refuses the request if not. Endpoints of members
// whose state is Leaving or Gone are always excluded.
func (v *clusterView) candidates(ix *endpointIndex, ms node.Members, q candidateQuery) []routing.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	endpoints := ix.byModel[q.model]
	cs := make([]routing.Candidate, 0, len(endpoints))
	var avoided []routing.Candidate
	var wait time.Duration
	var rate float64
	if q.store != "" {
		wait, rate = v.link(q.store).EstimateFetch(q.customer, now)
	}
	for i := range endpoints {
		endpoint := &endpoints[i]
		m, ok := ms.Get(endpoint.agent)
		if q.excluded[endpoint.id] || !ok || m.State == node.Gone || m.State == node.Leaving {
			continue
		}
		e := v.endpoint(endpoint.id)
		if q.weightVersion != "" && e.weightVersion != "" && e.weightVersion != q.weightVersion {
			continue
		}
		c := routing.Candidate{
			Endpoint: endpoint.id, Agent: endpoint.agent, FailureDomain: endpoint.failureDomain, Slots: endpoint.slots, HopLatency: endpoint.oneWayLatency,
			WeightVersion: e.weightVersion, Suspect: m.State == node.Suspect, FetchWait: wait, FetchRate: rate,
		}
		e.load.FillLoad(&c, min(max(q.priorityRank, 0), routing.NumClasses-1), q.prefillRate, now)
		if now < e.avoidUntil || e.breaker.Open(now) || e.leaving && now-e.reportedAt < leavingReportTTL || isLoadingWeights(m, endpoint.id) {
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
