package gateway

import (
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Retry-After delays sent to refused callers.
const (
	notReadyRetryAfter = 300 * time.Millisecond // a starting process reads its configuration within a second
	staleRetryAfter    = 50 * time.Millisecond  // another entry can serve the request immediately
	overloadRetryAfter = 250 * time.Millisecond // about the duration of one response of an endpoint
	busyRetryAfter     = time.Second            // this entry lacks connections or processor time, and others may too
	maxRetryAfter      = 2 * time.Second
)

// placement is the assignment of a request to an endpoint.
type placement struct {
	endpoint        forward.Endpoint
	work            forward.RequestLoad
	maxConns        int // maximum connections of this process to the endpoint
	choice          forward.Choice
	outcome         forward.Outcome
	placedAt        time.Duration
	limit           float64              // limit of the endpoint that was known, forward.Unlimited if none
	outdatedFor     time.Duration        // longest time for which a newer weight version may have been set, 0 if none is
	fetchDeadlineMs int64                // deadline of fetches, on the stores' clock
	headArrived     bool                 // the head of the response has arrived
	events          int                  // complete events that have arrived
	probe           *forward.HeldRequest // set if the request is sent to find out whether a held part is sound
	saves           []orderedSave        // that the endpoint carries out as it begins, nil once it has begun
	warmUp          bool                 // counted against the bound of a warming endpoint
	second          bool                 // a second attempt, sent while the first one was under way
}

// orderedSave is a part that a prompt's endpoint saves to a store.
type orderedSave struct {
	store *forward.StoreView
	key   uint64
}

// endSaves records that the endpoint carries out the orders to save parts, or won't. The caller holds
// the state's mutex.
func (p *placement) endSaves(now time.Duration) {
	for _, o := range p.saves {
		o.store.EndOrder(o.key, now)
	}
	p.saves = nil
}

// place chooses an endpoint and adds the request to its load.
func (q *request) place() (*placement, *apierr.Error) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return q.placeLocked(s, s.clock())
}

// placeLocked is place for callers that hold the state's mutex. A placement with an observer stops
// before it is carried out, and returns no placement.
func (q *request) placeLocked(s *state, now time.Duration) (*placement, *apierr.Error) {
	q.scheduling = s.scheduling()
	q.setRank(s)
	if q.keyExpired(s, now) {
		return nil, q.placementError(s.staleConfigError("a key may have been taken away since the configuration was read"))
	}
	if err := q.stopError(now); err != nil {
		return nil, err
	}
	left := remaining(q.deadline, now)
	if left < minUsefulBudget {
		return nil, q.placementError(apierr.NewRetryable(apierr.DeadlineUnmet, apierr.NotRun, overloadRetryAfter, "no time is left", "send the request with a longer deadline"))
	}
	if q.linePlace == nil && q.mayWait(now) && s.lines.mustWait(q.service.Name, q.rank) {
		return nil, errMustWait
	}
	cs, c := q.choose(s, left, now)
	q.accessLog.countCandidates(cs, q.tried)
	if q.bound {
		q.accessLog.countBuild(cs, q.build)
	}
	q.accessLog.bestWait = c.ExpectedWait
	if c.Index < 0 && q.accessLog.held > 0 && !slices.ContainsFunc(cs, func(c forward.Candidate) bool { return !c.Excluded }) {
		return nil, q.placementError(q.heldError(now))
	}
	if c.Index < 0 {
		if err := q.statementError(s, cs, now); err != nil {
			return nil, q.placementError(err)
		}
	}
	if c.Index < 0 && slices.ContainsFunc(cs, func(c forward.Candidate) bool { return c.OverLimit && !c.Excluded && !c.Paused(now) }) {
		return nil, q.placementError(q.limitError(s, now))
	}
	if c.Index < 0 && q.waitsForRoom(s, now) {
		return nil, errStreamMustWait
	}
	if c.Index < 0 && q.bound {
		after := forward.TakeUpRetryAfter(buildGoneRetry, left, s.rng.Float64())
		return nil, q.placementError(apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, after, "no endpoint of the build that began the stream can take the request", "send the request again later"))
	}
	if c.Index < 0 {
		return nil, q.noRoom(s, apierr.NoEndpoint, 0, now, "no endpoint of the service can take the request")
	}
	if c.ExpectedWait > left {
		return nil, q.noRoom(s, apierr.DeadlineUnmet, c.ExpectedWait-left, now, "the expected wait is longer than the deadline")
	}
	if q.call.Prompt != nil {
		var err *apierr.Error
		if c, err = q.schedulePrompt(s, cs, c, left, now); err != nil {
			return nil, err
		}
	}
	if q.observer != nil {
		q.observer.chosen = &c
		return nil, nil
	}
	s.shedder.Service(q.service.Name).RecordPlacement(false, now)
	return q.assign(s, cs, c, now), nil
}

// assign adds the request to the load of the endpoint that was chosen for it. The caller holds the
// state's mutex.
func (q *request) assign(s *state, cs []forward.Candidate, c forward.Choice, now time.Duration) *placement {
	p := &placement{endpoint: cs[c.Index].Endpoint, work: c.Load, choice: c, outcome: q.outcome, placedAt: now, maxConns: s.connLimit(q.service, cs[c.Index].Endpoint.ID)}
	if chosen := &cs[c.Index]; chosen.Outdated {
		p.outdatedFor = now - chosen.OutdatedSince
	}
	if q.held != nil {
		if q.held.BeginProbe(placeOf(&p.endpoint, c.Version), now) {
			p.probe = q.held
			log.Info().Str("event", "part_probed").Str("request", q.call.ID).Str("endpoint", p.endpoint.ID).Str("part", q.held.Parts[0].Name).Msg("a request with a held part is sent to find out whether the part is sound")
		}
	}
	st := s.endpointState(p.endpoint.ID)
	p.limit = st.limit.PerSecond()
	st.limit.Spend(p.endpoint.ID, &s.limitGroup, now)
	p.warmUp = s.spendWarmUp(st, p.endpoint.ID, q.service, now)
	st.health.Allow(now)
	st.load.Add(p.work)
	if pr := q.call.Prompt; pr != nil {
		capacity := int(cacheMemoryShare * float64(q.service.Engine.CapacityTokens))
		for i, part := range pr.Parts {
			key := forward.PartKey(c.Salt, part.ID)
			st.residency.RecordUse(key, part.Tokens, capacity, now+c.ExpectedWait+prefillMargin)
			s.peerLoads.recordUse(p.endpoint.ID, key, part.Tokens)
			if i < len(c.Plan.Save) && c.Plan.Save[i] != nil {
				c.Plan.Save[i].OrderSave(key, part.Tokens, now)
				p.saves = append(p.saves, orderedSave{c.Plan.Save[i], key})
				s.peerLoads.recordSave(c.Plan.Save[i].Name, key, part.Tokens)
			}
		}
		p.fetchDeadlineMs = s.fetchDeadline(c.Plan, now)
		s.promptRate.Add(now)
		if s.peerLoads.isUrgent(p.work.PrefillTokens) {
			q.g.requestReport()
		}
	}
	q.tried[p.endpoint.ID] = true
	return p
}

// choose chooses an endpoint among the service's candidates, which it returns too. A stream that
// can't be recorded goes to the default build unless that can't serve it in time.
func (q *request) choose(s *state, left, now time.Duration) ([]forward.Candidate, forward.Choice) {
	cs := s.candidates(q.service.Name, q.call.Prompt, q.priority(), q.tried, now)
	q.excludeHeld(s, cs, now)
	if q.bound {
		forward.KeepBuild(cs, q.build)
	} else if build, ok := q.buildWithoutRecord(s, now); ok {
		preferred := slices.Clone(cs)
		forward.KeepBuild(preferred, build)
		c := q.chooseFrom(s, preferred, now)
		if c.Index >= 0 && !c.Suspect && c.ExpectedWait <= left && (q.call.Prompt == nil || !forward.ShouldShed(c, q.route.LatencyTarget)) {
			return preferred, c
		}
	}
	return cs, q.chooseFrom(s, cs, now)
}

// unseenPrompts returns how many prompts the peers have placed, on average, of which this process has
// not heard yet. The balancer spreads callers evenly enough for its own rate to stand for theirs.
func (s *state) unseenPrompts(now time.Duration) float64 {
	peers := float64(max(len(s.peerLoads.members)-1, 0))
	return s.promptRate.PerSecond(now) * peers * loadReportDelay.Seconds()
}

func (q *request) chooseFrom(s *state, cs []forward.Candidate, now time.Duration) forward.Choice {
	return q.chooseRanked(s, cs, q.rank, now)
}

// chooseRanked chooses an endpoint for the request as one of the given rank.
func (q *request) chooseRanked(s *state, cs []forward.Candidate, rank int, now time.Duration) forward.Choice {
	return forward.Choose(q.observer.observe(forward.PlacementRequest{
		Prompt: q.call.Prompt, FailureDomain: s.settings.FailureDomain, Engine: q.service.Engine, CacheGroup: s.table.CacheGroup(q.customerName()),
		StartIndex: s.rng.IntN(len(cs) + 1),
		Stores:     s.fetchableStores(now), Now: now, Unseen: s.unseenPrompts(now), Ranked: q.scheduling.RankedQueues, Rank: rank,
		Fetchable: func(model string, version int64) bool { return s.rollout.Fetchable(model, version, now) },
		Tentative: q.tentative,
	}, cs), cs)
}

// placementError returns the error for a request that cannot be placed: err, or an unknown
// outcome when an earlier attempt may have run.
func (q *request) placementError(err *apierr.Error) *apierr.Error {
	if q.notRun() {
		return err
	}
	return apierr.New(apierr.OutcomeUnknown, apierr.RanUnknown, err.Message, "find out whether it took effect before sending it again")
}

// connLimit returns this process's share of an endpoint's connections.
func (s *state) connLimit(sv *forward.Service, endpoint string) int {
	if sv == nil || sv.MaxConns <= 0 {
		return 64 // the service sets no limit
	}
	return s.endpointState(endpoint).connShare.Share(endpoint, sv.MaxConns, &s.limitGroup)
}

// noRoom records and returns the refusal of a request for lack of room at the endpoints, in which
// the caller learns to come back after the time by which the wait is too long, or after that which
// spreads all that are refused. The caller holds the state's mutex.
func (q *request) noRoom(s *state, kind apierr.Kind, excess, now time.Duration, message string) *apierr.Error {
	s.shedder.Service(q.service.Name).RecordPlacement(true, now)
	q.recordOutcome(s, forward.Refused, now)
	q.recordShortage(s, now)
	return q.placementError(apierr.NewRetryable(kind, apierr.NotRun, q.returnAfter(s, excess, now), message, "send the request again later"))
}

// returnAfter returns the time after which the caller comes back when the endpoints that could take
// the request have no room or are gone. Callers that take up streams come at times of their own: they
// try only a few times, and have the endpoints of one build. The caller holds the state's mutex.
func (q *request) returnAfter(s *state, excess, now time.Duration) time.Duration {
	after := s.retryAfter(q.service.Name, excess, now)
	if q.bound && !q.headerSent {
		after = max(after, forward.TakeUpRetryAfter(overloadRetryAfter, remaining(q.deadline, now), s.rng.Float64()))
	}
	return after
}

// retryAfter returns the time after which a caller comes back that was refused for lack of room.
func (s *state) retryAfter(service string, excess, now time.Duration) time.Duration {
	return min(max(excess, s.shedder.Spread(service, overloadRetryAfter, now)), maxRetryAfter)
}

// finishAttempt removes a request from its endpoint's load, logs the attempt and updates the
// endpoint's health. A nil error means success.
func (q *request) finishAttempt(p *placement, x *exchangeError) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	st := s.endpointState(p.endpoint.ID)
	st.load.Remove(&p.work)
	s.endWait(p)
	p.endSaves(now)
	if p.probe != nil {
		p.probe.EndProbe()
	}
	q.accessLog.attempts = append(q.accessLog.attempts, attemptLog{p, x, now - p.placedAt})
	if x != nil && !x.sent {
		st.limit.Refund()
	}
	if x == nil || q.r.Context().Err() != nil || q.g.ending.Err() != nil || q.excusesEndpoint(x) {
		return
	}
	switch {
	case x.misdirected && q.addressReused(s, p, x, now):
		q.g.pauseReusedAddress(s, &p.endpoint, now)
	case x.limited: // what it named decides when it gets further requests
	case x.err == errSuperseded: // another attempt answered first
	case x.err == errWeightsExpired: // newer weights were named, and other prompts were before it
	case x.notRun:
		st.health.RecordRefusal(now + refusalPause)
	case !x.sent && !withheld(x.err):
		st.health.RecordRefusal(now + unreachablePause)
		s.presumeWarmUp(&p.endpoint, "unreachable", now+unreachablePause)
		st.health.RecordFailure(now, s.rng)
	case x.sent && x.err != errUnrecorded && remaining(q.deadline, now) > 0:
		st.health.RecordFailure(now, s.rng)
	}
}
