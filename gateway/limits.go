package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

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
	s.recordLimit(endpoint, statement, "response")
}

// recordLimit applies a statement about an endpoint's limit and logs a change.
func (s *state) recordLimit(endpoint string, statement forward.LimitStatement, source string) {
	l := &s.endpointState(endpoint).limit
	before := l.PerSecond()
	if !l.Observe(statement) {
		return
	}
	e := log.Info().Str("event", "endpoint_limit").Str("endpoint", endpoint).Str("source", source).Dur("age_ms", s.clock()-statement.SentAt)
	if before != forward.Unlimited {
		e = e.Float64("before", before)
	}
	if !statement.Limited() {
		e.Msg("the endpoint names no limit any more")
		return
	}
	e.Float64("per_second", statement.PerSecond).Msg("the endpoint names the requests a second that it takes from all entries together")
}
