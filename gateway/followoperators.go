package gateway

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Bounds of operatorPollMs. With a longer wait, an entry with usual response times would report not
// ready and could not deny unknown keys (3,200 ms); a shorter one costs more calls than a pause would.
const (
	minOperatorPollMs = 500
	maxOperatorPollMs = 2500
)

// operatorPollWait returns the wait of a long poll for the operators' records.
func (s *Settings) operatorPollWait() time.Duration {
	if s.OperatorPollMs == 0 {
		return operatorPollWait
	}
	return milliseconds(s.OperatorPollMs)
}

func (g *Gateway) followOperators(ctx context.Context) {
	g.operatorReader().run(ctx, g.state)
}

func (g *Gateway) operatorReader() *feedReader[forward.OperatorChange] {
	return &feedReader[forward.OperatorChange]{
		name: "operators", feed: g.operators, clock: g.clock, observeEra: g.observeEra, apply: g.applyOperators,
		pollWait: g.settings.operatorPollWait(), nextWait: g.state.nextOperatorWait, suspendedSince: g.state.suspendedSince, interruptOnResume: g.state.interruptOnResume,
	}
}

// nextOperatorWait returns the wait of the next long poll for the operators' records.
func (s *state) nextOperatorWait(wait, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, known := s.freshness.Age(now)
	if !known || s.catchUp.Pending() {
		return min(wait, operatorPollWait) // no read confirms anything, so the age would soon leave no wait
	}
	return forward.NextPollWait(wait, age)
}

// suspendedSince reports whether the process was suspended after the time t.
func (s *state) suspendedSince(t, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordActivity(now)
	return s.resumedAt > t
}

// interruptOnResume has a long poll cancelled when the process resumes, until release is called. Until
// a read that started after the suspension completes, requests with unknown keys get 503.
func (s *state) interruptOnResume(cancel context.CancelFunc) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptRead = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.interruptRead = nil
	}
}
