package gateway

import (
	"cmp"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// maxReportedLimits is the number of limits in one load report; further ones follow in the next.
const maxReportedLimits = 32

// reportLimit is what an endpoint's answer to the sender of a report said about its limit.
type reportLimit struct {
	Endpoint      uint32 // hash of the endpoint's ID
	PerSecond     float64
	SentAgoMs     int64 // how long before the report the request was sent
	ReceivedAgoMs int64
}

// maxStatementAgeMs is the largest age of a statement in a report. One from the future would keep
// all later ones from counting.
const maxStatementAgeMs = int64(24 * time.Hour / time.Millisecond)

// statement returns the statement on the clock of this process, and false if it can't be valid. A
// report takes some time to arrive, so the statement appears to be newer by that time.
func (l reportLimit) statement(now time.Duration) (forward.LimitStatement, bool) {
	valid := l.PerSecond >= 0 && l.ReceivedAgoMs >= 0 && l.SentAgoMs >= l.ReceivedAgoMs // NaN is not >= 0
	ago := func(ms int64) time.Duration { return now - milliseconds(min(ms, maxStatementAgeMs)) }
	return forward.LimitStatement{PerSecond: l.PerSecond, SentAt: ago(l.SentAgoMs), ReceivedAt: ago(l.ReceivedAgoMs)}, valid
}

// limitsRequests reports whether a response refuses a request because of the endpoint's limit, so
// that it doesn't count as a failure of the endpoint.
func limitsRequests(status int, r ResponseInfo) bool {
	return r.Limit.Stated && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
}

// observeLimit records what an endpoint's response to a request says about its limit. A response
// to another request may be of any age, so it can name a limit but not end one.
func (g *Gateway) observeLimit(endpoint string, r ResponseInfo, id string, sentAt time.Duration) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	statement := forward.LimitStatement{PerSecond: forward.Unlimited, SentAt: sentAt, ReceivedAt: s.clock()}
	switch {
	case r.Limit.Valid:
		statement.PerSecond = r.Limit.PerSecond
	case r.Limit.Stated:
		log.Warn().Str("event", "endpoint_limit_unreadable").Str("endpoint", endpoint).Msg("the limit in an endpoint's response is no number; the limit known before holds")
		return
	}
	if r.RequestID != "" && r.RequestID != id {
		if !statement.Limited() {
			return
		}
		statement.SentAt = 0
	}
	if s.recordLimit(endpoint, statement, true) {
		g.requestReport()
	}
}

// observeControlLimit records the limit that the answer to a control call names. An answer without
// one ends none, as only requests are known to be answered with it.
func (g *Gateway) observeControlLimit(endpoint string, l NamedLimit, sentAt time.Duration) {
	if !l.Valid {
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordLimit(endpoint, forward.LimitStatement{PerSecond: l.PerSecond, SentAt: sentAt, ReceivedAt: s.clock()}, true) {
		g.requestReport()
	}
}

// recordLimit applies a statement about an endpoint's limit, from its response or from a peer. It
// logs a change of the limit and reports whether there is one.
func (s *state) recordLimit(endpoint string, statement forward.LimitStatement, firstHand bool) bool {
	l := &s.endpointState(endpoint).limit
	before := l.PerSecond()
	if !l.Observe(statement, firstHand, s.clock()) {
		return false
	}
	l.Refresh(endpoint, &s.limitGroup, s.clock())
	source := "response"
	if !firstHand {
		source = "peer"
	}
	e := log.Info().Str("event", "endpoint_limit").Str("endpoint", endpoint).Str("source", source).Dur("age_ms", s.clock()-statement.ReceivedAt)
	if before != forward.Unlimited {
		e = e.Float64("before", before)
	}
	if !statement.Limited() {
		e.Msg("the endpoint names no limit any more")
		return true
	}
	e.Float64("per_second", statement.PerSecond).Int("members", s.limitGroup.Size()).Msg("the endpoint names the requests a second that it takes from all entries together")
	return true
}

// updateLimitGroup updates the entries among which limits are shared. The caller holds the
// state's mutex.
func (g *Gateway) updateLimitGroup() {
	s := g.state
	s.limitGroup.RecordMembers(g.memberID, s.peerLoads.members, slices.Collect(maps.Keys(s.peerLoads.reports)))
}

// limitsToReport returns the limits that the peers are to be told of, those first that they were
// told of the longest ago. It forgets limits that have not been stated for a long time.
func (s *state) limitsToReport(now time.Duration) boundedList[reportLimit] {
	var due []string
	for id, e := range s.endpoints {
		e.limit.Expire(now)
		if _, ok := e.limit.ReportDue(now); ok {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.endpoints[a].limit.ReportedAt(), s.endpoints[b].limit.ReportedAt()), cmp.Compare(a, b))
	})
	var out boundedList[reportLimit]
	for _, id := range due[:min(len(due), maxReportedLimits)] {
		l := &s.endpoints[id].limit
		st, _ := l.ReportDue(now)
		l.RecordReport(now)
		out = append(out, reportLimit{endpointHash(id), st.PerSecond, (now - st.SentAt).Milliseconds(), (now - st.ReceivedAt).Milliseconds()})
	}
	return out
}

// overLimit reports whether a request of the given priority must not be sent to an endpoint
// because of the limit that it names.
func (s *state) overLimit(st *endpointState, e *forward.Endpoint, priority int, now time.Duration) bool {
	if st.limit.PerSecond() == forward.Unlimited {
		return false
	}
	return !st.limit.Allows(e.ID, &s.limitGroup, now) || s.limitQueue(e.Service).Yields(priority, now)
}

func (s *state) limitQueue(service string) *forward.LimitQueue {
	q := s.limitQueues[service]
	if q == nil {
		q = &forward.LimitQueue{}
		s.limitQueues[service] = q
	}
	return q
}

// limitError returns the refusal of a request for which the limits of the endpoints leave no room.
func (q *request) limitError(s *state, now time.Duration) *apierr.Error {
	var limits []float64
	for _, e := range s.listedEndpoints(now) {
		if e.Service != q.service.Name {
			continue
		}
		st := s.endpointState(e.ID)
		if l := st.limit.PerSecond(); !math.IsInf(l, 1) {
			limits = append(limits, l)
		} else if b := s.warmUpBounds(q.service); st.warmUp.Bounded(b, now) {
			limits = append(limits, b.PerSecond)
		}
	}
	s.secondAttempts.RecordShortage(q.service.Name, now)
	after := s.limitQueue(q.service.Name).Refuse(q.priority(), forward.LimitedRate(limits, s.limitGroup.Size()), now, s.rng)
	return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, after, "the limits of the endpoints that could take the request are used up", "send the request again at the stated time")
}

// mayReadState reports whether an endpoint's state may be read for a rollout, and counts the read.
// An endpoint that loads weights gets no requests, so the reads may use its whole limit.
func (g *Gateway) mayReadState(endpoint string) bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	st, now := s.endpointState(endpoint), s.clock()
	if st.limit.PerSecond() == forward.Unlimited {
		return true
	}
	if now < st.nextStateRead {
		return false
	}
	st.nextStateRead = now + st.limit.MinInterval()
	st.limit.Spend(endpoint, &s.limitGroup, now)
	return true
}

// countOrder counts a load order, which doesn't wait for a limit. The next read of the endpoint's
// state makes up for it.
func (s *state) countOrder(endpoint string, now time.Duration) {
	st := s.endpointState(endpoint)
	if st.limit.PerSecond() == forward.Unlimited {
		return
	}
	st.nextStateRead = max(st.nextStateRead, now) + st.limit.MinInterval()
	st.limit.Spend(endpoint, &s.limitGroup, now)
}
