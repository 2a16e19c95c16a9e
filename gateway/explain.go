package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Explanation states where a request would be placed now, and why.
type Explanation struct {
	Entry      string              `json:"entry"`
	Route      string              `json:"route"`
	Customer   string              `json:"customer,omitempty"`
	CacheGroup string              `json:"cache_group,omitempty"` // of a prompt: the customers whose cached parts it may use
	Service    string              `json:"service"`
	Candidates []ExplainedEndpoint `json:"candidates"` // in the order of the list
	LeftOut    []LeftOutEndpoint   `json:"left_out"`
	Choice     *ExplainedChoice    `json:"choice,omitempty"`
	Refusal    *ExplainedRefusal   `json:"refusal,omitempty"`
}

// ExplainedEndpoint is a candidate with the parts of its cost, of which the lowest wins.
type ExplainedEndpoint struct {
	Endpoint   string              `json:"endpoint"`
	CostMs     float64             `json:"cost_ms"`
	ExpectedMs float64             `json:"expected_ms"`
	Parts      []forward.CostShare `json:"parts"`
}

// LeftOutEndpoint is an endpoint of the service that can't get the request.
type LeftOutEndpoint struct {
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
}

// ExplainedChoice is the endpoint that would get the request.
type ExplainedChoice struct {
	Endpoint         string  `json:"endpoint"`
	ExpectedMs       float64 `json:"expected_ms"`
	QueueMs          float64 `json:"queue_ms"`                  // part of it that other requests cause
	RefusedFromMs    float64 `json:"refused_from_ms,omitempty"` // expected wait from which a prompt is refused: the error of the estimate is allowed for by a fixed share of the latency target
	CachedTokens     int     `json:"cached_tokens"`
	FetchedTokens    int     `json:"fetched_tokens"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	WeightVersion    int64   `json:"weights,omitempty"`
}

// ExplainedRefusal is the error with which the request would be refused.
type ExplainedRefusal struct {
	Kind         apierr.Kind `json:"kind"`
	Message      string      `json:"message"`
	RetryAfterMs int64       `json:"retry_after_ms"`
}

// placementObserver records a placement that is only asked for: place stops before it changes the
// state. A nil *placementObserver records nothing.
type placementObserver struct {
	request    forward.PlacementRequest
	candidates []forward.Candidate
	costs      map[int]float64
	choices    map[int]forward.Choice
	chosen     *forward.Choice
}

// observe has the costs of the candidates recorded.
func (o *placementObserver) observe(t forward.PlacementRequest, cs []forward.Candidate) forward.PlacementRequest {
	if o == nil {
		return t
	}
	*o = placementObserver{request: t, candidates: cs, costs: map[int]float64{}, choices: map[int]forward.Choice{}}
	t.Observe = func(i int, cost float64, c forward.Choice) { o.costs[i], o.choices[i] = cost, c }
	return t
}

// keepState returns a function that takes back what a placement that stops before it is carried out
// changes in the state. The caller holds the mutex during the calls and between them.
func (s *state) keepState(q *request) (restore func()) {
	service, rng := q.service.Name, s.rng
	if s.rngSource != nil {
		source := *s.rngSource
		s.rng = rand.New(&source)
	}
	undo := []func(){func() { s.rng = rng }, forward.KeepTransfers(s.stores), s.parts.KeepUse(q.suspectKeys()), s.shedder.KeepService(service), s.streams.KeepService(service), keepEntry(s.takeUps, service), keepEntry(s.takeUpWaits, service), keepEntry(s.statements.returns, service)}
	if queue := s.limitQueues[service]; queue != nil {
		kept := queue.Clone()
		undo = append(undo, func() { *queue = *kept })
	} else {
		undo = append(undo, func() { delete(s.limitQueues, service) })
	}
	for _, st := range maps.Clone(s.endpoints) {
		limit, share, warmUp := st.limit, st.connShare, st.warmUp
		undo = append(undo, func() { st.limit, st.connShare, st.warmUp = limit, share, warmUp })
	}
	return func() {
		for _, f := range undo {
			f()
		}
	}
}

// keepEntry returns a function that restores the value of an entry of a map.
func keepEntry[V any](m map[string]*V, key string) (restore func()) {
	p := m[key]
	if p == nil {
		return func() { delete(m, key) }
	}
	kept := *p
	return func() { *p = kept }
}

// explain states where a request would be placed at this time, by placing it up to the point at which
// the state changes. The caller holds the state's mutex.
func (q *request) explain(s *state, now time.Duration) Explanation {
	q.observer = &placementObserver{}
	restore := s.keepState(q)
	defer restore()
	_, err := q.placeLocked(s, now)
	o := q.observer
	x := Explanation{Entry: q.g.settings.ID, Route: q.route.Name, Service: q.service.Name, Candidates: []ExplainedEndpoint{}, LeftOut: q.leaving(s, now)}
	if q.customer != nil {
		x.Customer = q.customer.Name
	}
	if q.call.Prompt != nil {
		x.CacheGroup = s.table.CacheGroup(q.customerName())
	}
	for i := range o.candidates {
		c := &o.candidates[i]
		cost, isCandidate := o.costs[i]
		if !isCandidate {
			x.LeftOut = append(x.LeftOut, LeftOutEndpoint{c.Endpoint.ID, q.leftOutReason(s, c, now)})
			continue
		}
		ch := o.choices[i]
		x.Candidates = append(x.Candidates, ExplainedEndpoint{c.Endpoint.ID, cost, inMs(ch.ExpectedWait), o.request.CostShares(c, &ch, cost)})
	}
	if err != nil {
		x.Refusal = &ExplainedRefusal{err.Kind, err.Message, err.RetryAfter.Milliseconds()}
		return x
	}
	ch := o.chosen
	x.Choice = &ExplainedChoice{
		Endpoint: o.candidates[ch.Index].Endpoint.ID, ExpectedMs: inMs(ch.ExpectedWait), QueueMs: inMs(ch.QueueWait),
		CachedTokens: ch.CachedTokens, FetchedTokens: ch.FetchedTokens, RecomputedTokens: ch.RecomputedTokens, WeightVersion: ch.Version,
	}
	if q.call.Prompt != nil {
		x.Choice.RefusedFromMs = forward.MaxWait(q.route)
	}
	return x
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// leaving returns the endpoints of the service that are listed but leave.
func (q *request) leaving(s *state, now time.Duration) []LeftOutEndpoint {
	out := []LeftOutEndpoint{}
	s.endpointList.Each(now, func(e forward.Endpoint) {
		if e.Service == q.service.Name && s.statements.Leaving(&e) {
			out = append(out, LeftOutEndpoint{e.ID, "draining: it has said that it leaves"})
		}
	})
	return out
}

// leftOutReason returns why a listed endpoint is no candidate. The caller holds the state's mutex.
func (q *request) leftOutReason(s *state, c *forward.Candidate, now time.Duration) string {
	switch {
	case q.tried[c.Endpoint.ID]:
		return "tried before for this request"
	case s.evacuations.Active(c.Endpoint.FailureDomain):
		return "evacuated: the operators evacuate its failure domain"
	case c.Paused(now):
		return fmt.Sprintf("paused: it wants no requests from this entry for %d ms", (c.PausedUntil - now).Milliseconds())
	case c.OverLimit:
		if st := s.endpointState(c.Endpoint.ID); st.warmUp.Bounded(s.warmUpBounds(q.service), now) {
			return fmt.Sprintf("warming up for %d ms: this entry's share of its bound is used up, or is for more urgent requests", max(st.warmUp.Until()-now, 0).Milliseconds())
		}
		return "over its limit of requests a second"
	case c.Outdated && now >= c.ExpiresAt:
		return "older weights than were named, for too long"
	case s.connLimit(q.service, c.Endpoint.ID) == 0:
		return "no room: this entry has no share of its connections"
	case q.held != nil && !q.held.Allows(placeOf(&c.Endpoint, q.weightsAt(&c.Endpoint))):
		return "held part: endpoints ended under a part of the prompt"
	case q.bound && forward.BuildKey(c.Endpoint.Build) != q.build:
		return "other build than the one that began the stream"
	case c.Excluded:
		return "another build takes the streams that can't be recorded"
	case c.Outdated:
		return "older weights than were named, until the prompt would begin"
	}
	return "no room"
}

// isFromOwnHost reports whether a request comes from the entry's own host: the metrics port is open to
// all.
func (g *Gateway) isFromOwnHost(r *http.Request) bool {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	ip := net.ParseIP(from)
	return err == nil && ip != nil && (from == g.settings.Host || ip.IsLoopback())
}
