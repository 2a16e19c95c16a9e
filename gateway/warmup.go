package gateway

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

// maxReportedWarmUps is the number of warming endpoints in one load report; further ones follow in
// the next.
const maxReportedWarmUps = 32

// reportWarmUp says that an endpoint is warming up.
type reportWarmUp struct {
	Endpoint  uint32 // hash of the endpoint's ID
	Started   int64  // StartedUnixMs of its entry
	Heartbeat int64  // of the record that says so, 0 if something else does
	LeftMs    int64
}

// errWarmingUp is returned when the endpoint that a request was placed on is warming up and this
// process's part of its bound doesn't cover the request.
var errWarmingUp = errors.New("the endpoint is warming up and takes no further request from this entry now")

// warmUpBounds returns the bounds on requests to a warming endpoint of a service.
func (s *state) warmUpBounds(sv *forward.Service) forward.WarmUpBounds {
	if sv == nil || s.settings.WarmUpRatio <= 0 && s.settings.WarmUpRequests <= 0 {
		return forward.WarmUpBounds{}
	}
	return forward.WarmUpBounds{PerSecond: sv.WarmUpPerS, Ratio: s.settings.WarmUpRatio, Requests: s.settings.WarmUpRequests, Length: sv.WarmUpLength}
}

// serviceWarmUpBounds is warmUpBounds for a service by its name.
func (s *state) serviceWarmUpBounds(service string) forward.WarmUpBounds {
	if s.table == nil {
		return forward.WarmUpBounds{}
	}
	return s.warmUpBounds(s.table.Service(service))
}

// overWarmUpBound reports whether a request of the given priority must not be sent to an endpoint
// because it is warming up. What the bounds allow goes to the most urgent requests.
func (s *state) overWarmUpBound(st *endpointState, e *forward.Endpoint, sv *forward.Service, priority int, now time.Duration) bool {
	b := s.warmUpBounds(sv)
	if !st.warmUp.Bounded(b, now) {
		return false
	}
	return !st.warmUp.Allows(e.ID, b, &s.warmUpGroup, now) || s.limitQueue(e.Service).Yields(priority, now)
}

// spendWarmUp counts a request that is placed on an endpoint. It reports whether it counts against
// the bound of a warming endpoint.
func (s *state) spendWarmUp(st *endpointState, endpoint string, sv *forward.Service, now time.Duration) bool {
	b := s.warmUpBounds(sv)
	return st.warmUp.Bounded(b, now) && st.warmUp.Spend(endpoint, b, &s.warmUpGroup, now)
}

// checkWarmUp returns an error if a placed request may not be sent because its failure domain is
// evacuated, or because its endpoint is warming up and the request isn't counted, or was counted so
// long ago that it would arrive together with later ones. The caller holds the state's mutex.
func (s *state) checkWarmUp(p *placement, sv *forward.Service) error {
	if s.evacuations.Active(p.endpoint.FailureDomain) {
		return errEvacuated
	}
	st, now := s.endpointState(p.endpoint.ID), s.clock()
	b := s.warmUpBounds(sv)
	if !st.warmUp.Bounded(b, now) || p.warmUp && now < p.placedAt+forward.MaxWarmUpSendDelay {
		return nil
	}
	if !st.warmUp.Spend(p.endpoint.ID, b, &s.warmUpGroup, now) {
		return errWarmingUp
	}
	return nil
}

// observeWarmUpRecord records what a change of the endpoint list says about the endpoint's warm-up.
// The caller holds the state's mutex.
func (s *state) observeWarmUpRecord(c forward.EndpointChange, now time.Duration) {
	if c.Endpoint == nil || !s.serviceWarmUpBounds(c.Endpoint.Service).Limited() {
		return
	}
	s.resetIfRestarted(*c.Endpoint)
	if s.endpointState(c.ID).warmUp.ObserveRecord(c.Endpoint.WarmUpRemaining, c.Endpoint.Heartbeat, true, now) {
		s.logWarmUp(c.Endpoint, "record", now)
	}
}

// observeWarmUp records what a response says about the endpoint's warm-up.
func (g *Gateway) observeWarmUp(e forward.Endpoint, r ResponseInfo) {
	if r.WarmUp <= 0 {
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock(); s.endpointState(e.ID).warmUp.Observe(r.WarmUp, true, now) {
		s.logWarmUp(&e, "response", now)
		g.requestReport()
	}
}

// presumeWarmUp records that an endpoint may warm up from a time on, until its record says
// otherwise. The caller holds the state's mutex.
func (s *state) presumeWarmUp(e *forward.Endpoint, source string, from time.Duration) {
	b := s.serviceWarmUpBounds(e.Service)
	if !b.Limited() || b.Length <= 0 {
		return
	}
	now := s.clock()
	if s.endpointState(e.ID).warmUp.Presume(from-now+b.Length, e.Heartbeat, now) {
		s.logWarmUp(e, source, now)
	}
}

func (s *state) logWarmUp(e *forward.Endpoint, source string, now time.Duration) {
	log.Info().Str("event", "endpoint_warming_up").Str("endpoint", e.ID).Str("service", e.Service).Str("source", source).Dur("left_ms", s.endpointState(e.ID).warmUp.Until()-now).Msg("the endpoint gets requests only within the bound of its service for warming endpoints")
}

// warmUpsToReport returns the warming endpoints that the peers are to be told of, those first that
// they were told of the longest ago.
func (s *state) warmUpsToReport(now time.Duration) boundedList[reportWarmUp] {
	var due []*endpointState
	for _, e := range s.endpoints {
		if _, ok := e.warmUp.ReportDue(now); ok {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(a.warmUp.ReportedAt(), b.warmUp.ReportedAt()), cmp.Compare(a.hash, b.hash))
	})
	var out boundedList[reportWarmUp]
	for _, e := range due[:min(len(due), maxReportedWarmUps)] {
		left, _ := e.warmUp.ReportDue(now)
		e.warmUp.RecordReport(now)
		out = append(out, reportWarmUp{e.hash, e.started, e.warmUp.Heartbeat(), left.Milliseconds()})
	}
	return out
}

// applyWarmUps applies what a peer's report says about warming endpoints. The caller holds the
// state's mutex.
func (s *state) applyWarmUps(list []reportWarmUp, now time.Duration) {
	for _, w := range list {
		id, known := s.endpointsByHash[w.Endpoint]
		if !known || w.LeftMs <= 0 || w.LeftMs > maxStatementAgeMs {
			continue
		}
		e, listed := s.endpointList.Get(id, now)
		st := s.endpointState(id)
		if !listed || e.StartedUnixMs != w.Started || !s.serviceWarmUpBounds(e.Service).Limited() {
			continue
		}
		begun := false
		if w.Heartbeat > 0 {
			begun = st.warmUp.ObserveRecord(milliseconds(w.LeftMs), w.Heartbeat, false, now)
		} else {
			begun = st.warmUp.Observe(milliseconds(w.LeftMs), false, now)
		}
		if begun {
			s.logWarmUp(&e, "peer", now)
		}
	}
}

// WarmingEndpoint is an endpoint that is warming up, with this process's part of its bound.
type WarmingEndpoint struct {
	Endpoint  string  `json:"endpoint"`
	LeftMs    int64   `json:"left_ms"`
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"` // requests that this process may send at once
}

// warmingUp returns the endpoints whose requests are limited because they are warming up or have
// just done so. The caller holds the state's mutex.
func (s *state) warmingUp(now time.Duration) []WarmingEndpoint {
	out := []WarmingEndpoint{}
	for _, e := range s.listedEndpoints(now) {
		w, b := &s.endpointState(e.ID).warmUp, s.serviceWarmUpBounds(e.Service)
		if w.Bounded(b, now) {
			share := w.Share(e.ID, b, &s.warmUpGroup, now)
			out = append(out, WarmingEndpoint{e.ID, max(w.Until()-now, 0).Milliseconds(), share.PerSecond, share.Burst})
		}
	}
	return out
}
