package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Times of a request for a stream.
const (
	maxRecordWait     = 90 * time.Millisecond  // an event is forwarded after this wait also if its stream is not recorded: one that is held for longer than 120 ms counts as late
	unknownBuildRetry = 200 * time.Millisecond // Retry-After if the records can't be read
	buildGoneRetry    = time.Second            // Retry-After if no endpoint of the build is left; one may come back
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

// bindTo binds the stream, before its first event is forwarded, to the build of an endpoint. It
// waits until the log holds the record of the stream if it needs one, but not for long: an event
// is not held back if the log is slow.
func (q *request) bindTo(p *placement) {
	if q.bound {
		return
	}
	q.build, q.bound = forward.BuildKey(p.endpoint.Build), true
	if !q.mayBeTakenUp() {
		return
	}
	s := q.g.state
	s.mu.Lock()
	now := s.clock()
	r, must := s.streams.Begin(q.service.Name, q.call.ID, p.endpoint.Build, now)
	if !must {
		s.mu.Unlock()
		return
	}
	recorded, failing := s.streamLog.add(r, now), s.streamLog.failing
	s.mu.Unlock()
	wait := maxRecordWait
	if failing {
		wait = 0
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	select {
	case <-recorded:
	case <-limit.C:
		log.Warn().Str("event", "stream_record_late").Str("request", q.call.ID).Bool("failing", failing).Msg("an event is forwarded before the build of its stream is recorded")
	case <-q.r.Context().Done():
	}
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
