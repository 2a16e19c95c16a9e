package gateway

import (
	"context"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// errStreamMustWait asks a request to wait for room for the stream that it takes up.
var errStreamMustWait = apierr.New(apierr.Overloaded, apierr.NotRun, "the stream waits for room at the endpoints of its build", "")

// takesUp reports whether the caller, or this process, takes up a stream that has begun.
func (q *request) takesUp() bool { return q.bound && (q.headerSent || q.call.LastEventID != "") }

// waitsForRoom reports whether a request that finds no room waits for it, as it takes up a stream whose
// build has endpoints. The caller holds the state's mutex.
func (q *request) waitsForRoom(s *state, now time.Duration) bool {
	if !q.takesUp() || q.headerSent || q.accessLog.ofBuild == 0 {
		return false
	}
	waits := s.takeUpWaitsOf(q.service.Name)
	if q.observer != nil {
		return !waits.Full()
	}
	if q.roomWaitEnd == 0 {
		q.roomWaitEnd = now + forward.TakeUpWait(q.route.LatencyTarget, remaining(q.deadline, now))
	}
	if !q.waitsInTakeUp && now < q.roomWaitEnd && waits.Begin() {
		q.roomWaitSince, q.waitsInTakeUp = now, true
	}
	return q.waitsInTakeUp && now < q.roomWaitEnd
}

// awaitRoom waits until the request tries again. It returns the error to refuse it with if it may not:
// its caller has left, this entry ends, or the caller's key is no longer valid.
func (q *request) awaitRoom(ctx context.Context) *apierr.Error {
	s := q.g.state
	s.mu.Lock()
	now := s.clock()
	pause := min(forward.TakeUpPause(s.rng.Float64()), q.roomWaitEnd-now)
	s.mu.Unlock()
	due, stop := q.g.after(pause)
	defer stop()
	select {
	case <-due:
	case <-ctx.Done():
		if q.r.Context().Err() != nil {
			return apierr.New(apierr.Cancelled, apierr.RanUnknown, "the caller has left", "")
		}
		return q.placementError(apierr.NewRetryable(apierr.Draining, apierr.NotRun, staleRetryAfter, "this entry stops before there is room for the stream", "send the request again on a new connection; it reaches another entry"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.clock()
	age, _ := s.freshness.Age(now)
	asNew := *q // authenticate would change what the request was admitted as
	if err := asNew.authenticate(s, now, age); err != nil {
		return q.placementError(err)
	}
	return nil
}

// endRoomWait records that the request no longer waits, as it was placed or refused.
func (q *request) endRoomWait(refusal *apierr.Error) {
	if !q.waitsInTakeUp {
		return
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	q.waitsInTakeUp = false
	s.takeUpWaitsOf(q.service.Name).End()
	q.accessLog.waited += now - q.roomWaitSince
	switch {
	case refusal == nil:
		q.g.takeUpWaits.Add("placed", 1)
	case now >= q.roomWaitEnd:
		q.g.takeUpWaits.Add("in_vain", 1)
	default:
		q.g.takeUpWaits.Add("ended", 1)
	}
}

// takeUpWaitsOf returns the streams of a service that wait for room. The caller holds the mutex.
func (s *state) takeUpWaitsOf(service string) *forward.TakeUpWaits {
	t := s.takeUpWaits[service]
	if t == nil {
		t = &forward.TakeUpWaits{}
		s.takeUpWaits[service] = t
	}
	return t
}

// takeUpCredit returns the credit for streams of a service that are taken up.
func (s *state) takeUpCredit(service string) *forward.TakeUpCredit {
	t := s.takeUps[service]
	if t == nil {
		t = &forward.TakeUpCredit{}
		s.takeUps[service] = t
	}
	return t
}
