package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Times of a request for a stream.
const (
	maxRecordWait     = 90 * time.Millisecond  // limit for holding back the first event until its stream is recorded: one that is held for longer than 120 ms counts as late
	slowLogPause      = 2 * time.Second        // no stream that needs a record begins for this long after an append was too slow
	unknownBuildRetry = 200 * time.Millisecond // Retry-After if the records can't be read
	buildGoneRetry    = time.Second            // least Retry-After if no endpoint of the build is left; one may come back
)

// buildWithoutRecord returns the key of the build whose streams need no record, if a record would
// not reach the log in time. The caller holds the state's mutex.
func (q *request) buildWithoutRecord(s *state, now time.Duration) (build uint64, ok bool) {
	standard, known := s.streams.Default(q.service.Name, now)
	return forward.BuildKey(standard), known && q.mayBeTakenUp() && s.streamLog.unwritable(now, s.appendSpacing())
}

// mayBeTakenUp reports whether the caller may later take up the stream of this request.
func (q *request) mayBeTakenUp() bool {
	return q.route.Kind == forward.Stream && q.route.Resumable && q.g.streamStore != nil
}

// errUnrecorded is the end of an attempt whose stream could not be recorded, before its first
// event was forwarded.
var errUnrecorded = errors.New("the build of the stream could not be recorded in time")

// bindTo binds the stream, before its first event is forwarded, to the build of an endpoint. If
// the stream needs a record that does not reach the log in time, it returns errUnrecorded where
// the stream can begin anew at the default build; otherwise the event is not held back.
func (q *request) bindTo(p *placement) error {
	if q.bound {
		return nil
	}
	if q.mayBeTakenUp() && !q.record(p) && q.mayMoveToDefault(p) {
		return errUnrecorded
	}
	q.build, q.bound = forward.BuildKey(p.endpoint.Build), true
	return nil
}

// record records which build makes the first event of the stream. It reports whether the log
// holds that, or need not hold it.
func (q *request) record(p *placement) bool {
	s := q.g.state
	s.mu.Lock()
	now := s.clock()
	r, must := s.streams.Begin(q.service.Name, q.call.ID, p.endpoint.Build, q.sentAttempts, now)
	if !must {
		s.mu.Unlock()
		return true
	}
	limit := maxRecordWait
	if s.streamLog.unwritable(now, s.appendSpacing()) {
		limit = 0
	}
	recorded := s.streamLog.add(r, now)
	s.mu.Unlock()
	late := time.NewTimer(limit)
	defer late.Stop()
	select {
	case <-recorded:
		return true
	case <-q.r.Context().Done():
		return true
	case <-late.C:
		s.mu.Lock()
		if s.appendSpacing() <= maxRecordWait {
			s.streamLog.slowUntil = s.clock() + slowLogPause
		}
		s.mu.Unlock()
		log.Warn().Str("event", "stream_record_late").Str("request", q.call.ID).Str("build", p.endpoint.Build).Msg("the build of a stream is not recorded when its first event arrives")
		return false
	}
}

// mayMoveToDefault reports whether a further attempt is allowed and the default build has an
// endpoint for it.
func (q *request) mayMoveToDefault(p *placement) bool {
	if q.sentAttempts >= max(q.route.MaxAttempts, 1) || remaining(q.deadline, q.g.clock()) < q.route.LatencyTarget/4 {
		return false
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.appendSpacing() > maxRecordWait {
		return false // in a group of this size, most records are late
	}
	now := s.clock()
	standard, known := s.streams.Default(q.service.Name, now)
	if !known || standard == p.endpoint.Build || !s.retryBudget(q.service.Name).CanSpend(now) {
		return false
	}
	return slices.ContainsFunc(s.candidates(q.service.Name, q.call.Prompt, q.priority(), q.tried, now), func(c forward.Candidate) bool {
		return c.Usable && !c.Excluded && !c.OverLimit && c.Endpoint.Build == standard
	})
}

// bindResumption binds the request to the build that began the stream that its caller takes
// up again.
func (q *request) bindResumption(ctx context.Context) *apierr.Error {
	if q.call.LastEventID == "" || !q.mayBeTakenUp() {
		return nil
	}
	s := q.g.state
	s.mu.Lock()
	now := s.clock()
	q.build, q.bound = s.streams.BuildOf(q.service.Name, q.call.Resumes, false, now)
	s.mu.Unlock()
	if q.bound {
		return nil
	}
	err := q.g.readStreams(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.clock()
	incomplete := s.streamLog.incompleteUntil - now
	q.build, q.bound = s.streams.BuildOf(q.service.Name, q.call.Resumes, err == nil && incomplete <= 0, now)
	if q.bound {
		return nil
	}
	return apierr.NewRetryable(apierr.StaleReplica, apierr.NotRun, max(unknownBuildRetry, incomplete), "the build that began the stream is not known", "send the request again").WithCause(err)
}
