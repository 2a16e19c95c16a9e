package gateway

import (
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Times after which a refused caller should come back.
const (
	startRetry      = 300 * time.Millisecond // a process reads its configuration within a second
	otherEntryRetry = 50 * time.Millisecond  // another entry takes the request at once
	overloadRetry   = 250 * time.Millisecond // about one answer of an endpoint
	maxRetryAfter   = 2 * time.Second
)

// placement is one request on one endpoint.
type placement struct {
	endpoint forward.Endpoint
	work     forward.RequestLoad
	limit    int // connections that this process may have to the endpoint
	choice   forward.Choice
	began    time.Duration
	untilMs  int64 // on the stores' clock: a fetch ends by then
}

// place chooses an endpoint and counts the request there.
func (q *request) place() (*placement, *apierr.Error) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if q.customer != nil && !q.route.Public && !s.fresh.KeysValid(now) {
		return nil, q.unplaced(stale("a key may have been taken away since the configuration was read"))
	}
	left := remaining(q.deadline, now)
	if left < minUsefulBudget {
		return nil, q.unplaced(apierr.Retry(apierr.DeadlineUnmet, apierr.NotRun, overloadRetry, "no time is left", "send the request with a longer deadline"))
	}
	cs := s.candidates(q.service.Name, q.call.Prompt, q.tried, now)
	c := forward.Choose(forward.PlacementRequest{
		Prompt: q.call.Prompt, FailureDomain: s.settings.FailureDomain, Engine: q.service.Engine, SharingGroup: q.group,
		StartIndex: s.rng.IntN(len(cs) + 1),
		Stores:     s.fetchableStores(now), Now: now,
		Fetchable: func(model string, version int64) bool { return s.rollout.Fetchable(model, version, now) },
	}, cs)
	q.line.count(cs, q.tried)
	if c.Index < 0 {
		return nil, q.unplaced(apierr.Retry(apierr.NoEndpoint, apierr.NotRun, q.retryAfter(0), "no endpoint of the service can take the request", "send the request again"))
	}
	if c.ExpectedWait > left {
		return nil, q.unplaced(apierr.Retry(apierr.DeadlineUnmet, apierr.NotRun, q.retryAfter(c.ExpectedWait-left), "the expected wait is longer than the deadline", "send the request again later"))
	}
	if q.call.Prompt != nil && forward.ShouldShed(c, q.route.LatencyTarget) {
		return nil, q.unplaced(apierr.Retry(apierr.Overloaded, apierr.NotRun, q.retryAfter(c.QueueWait), "the latency target can't be met", "send the request again later"))
	}
	p := &placement{endpoint: cs[c.Index].Endpoint, work: c.Load, choice: c, began: now, limit: s.connLimit(q.service)}
	st := s.endpoint(p.endpoint.ID)
	st.health.Allow(now)
	st.load.Add(p.work)
	if pr := q.call.Prompt; pr != nil {
		capacity := int(residentShare * float64(q.service.Engine.CapacityTokens))
		for i, part := range pr.Parts {
			key := forward.PartKey(c.Salt, part.ID)
			st.cached.RecordUse(key, part.Tokens, capacity, now+c.ExpectedWait+readMargin)
			s.peers.used(p.endpoint.ID, key, part.Tokens)
			if i < len(c.Plan.Save) && c.Plan.Save[i] != nil {
				c.Plan.Save[i].RecordSave(key, part.Tokens, now)
				s.peers.saved(c.Plan.Save[i].Name, key, part.Tokens)
			}
		}
		p.untilMs = s.fetchUntil(c.Plan, now)
		if p.work.PrefillTokens >= promptReport {
			q.g.reportSoon()
		}
	}
	q.tried[p.endpoint.ID] = true
	return p, nil
}

// unplaced is the refusal of a request that can't be placed: once it was sent
// somewhere, whether it ran may be unknown.
func (q *request) unplaced(err *apierr.Error) *apierr.Error {
	if q.notRun() {
		return err
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.Unknown, err.Message, "find out whether it took effect before sending it again")
}

// connLimit is this process's share of an endpoint's connections; a spare share
// covers processes that are not known yet.
func (s *state) connLimit(sv *forward.Service) int {
	if sv.MaxConns <= 0 {
		return 64 // no limit is stated
	}
	return max(sv.MaxConns/(s.peers.count()+2), 4)
}

// retryAfter is the time after which a refused caller may find room.
func (q *request) retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, overloadRetry), maxRetryAfter)
}

// done takes a placed request off the endpoint and judges the endpoint by it.
func (q *request) done(p *placement, x *exchangeError) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	st := s.endpoint(p.endpoint.ID)
	st.load.Remove(&p.work)
	q.line.attempts = append(q.line.attempts, attemptLine{p, x, now - p.began})
	if x == nil || q.r.Context().Err() != nil {
		return
	}
	switch {
	case x.moved && p.choice.Version == 0:
		st.health.RecordRefusal(now + movedFor) // with a version, the endpoint may only have other weights
	case x.notRun:
		st.health.RecordRefusal(now + refusingFor)
	case !x.sent && x.err != errConnLimit && x.err != errKeyOutdated:
		st.health.RecordRefusal(now + unreachedFor)
		st.health.RecordFailure(now, s.rng)
	case x.sent && remaining(q.deadline, now) > 0:
		st.health.RecordFailure(now, s.rng)
	}
}
