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
	maxRecordWait     = 200 * time.Millisecond // an event is forwarded after this wait also if its stream is not recorded
	unknownBuildRetry = 200 * time.Millisecond // Retry-After if the records can't be read
	buildGoneRetry    = time.Second            // Retry-After if no endpoint of the build is left; one may come back
)

// buildWithoutRecord returns the key of the build whose streams need no record, if a record would
// not reach the log in time. The caller holds the state's mutex.
func (q *request) buildWithoutRecord(s *state, now time.Duration) (build uint64, ok bool) {
	standard, known := s.streams.Default(q.service.Name)
	return forward.BuildKey(standard), known && q.mayBeTakenUp() && s.streamLog.unwritable(now, s.appendSpacing())
}

// mayBeTakenUp reports whether the caller may later take up the stream of this request.
func (q *request) mayBeTakenUp() bool {
	return q.route.Kind == forward.Stream && q.route.Resumable && q.g.streamStore != nil
}

// beginStream has the build recorded that a stream is sent to, if necessary. The caller holds
// the state's mutex.
func (q *request) beginStream(s *state, p *placement, now time.Duration) {
	if q.bound || !q.mayBeTakenUp() {
		return
	}
	q.recorded = nil
	if r, must := s.streams.Begin(q.service.Name, q.call.ID, p.endpoint.Build, now); must {
		q.recorded = s.streamLog.add(r, now)
	}
}

// bindTo binds the stream, before its first event is forwarded, to the build of an endpoint.
func (q *request) bindTo(p *placement) {
	if q.bound {
		return
	}
	q.build, q.bound = forward.BuildKey(p.endpoint.Build), true
	q.awaitRecord()
}

// awaitRecord waits until the log holds the record of the stream whose first event follows. An
// event is not held back for long if the log is slow.
func (q *request) awaitRecord() {
	if q.recorded == nil {
		return
	}
	recorded := q.recorded
	q.recorded = nil
	select {
	case <-recorded:
		return
	default:
	}
	s := q.g.state
	s.mu.Lock()
	failing := s.streamLog.failing
	s.streamLog.urgent = true
	s.streamLog.notify()
	s.mu.Unlock()
	if failing {
		return
	}
	limit := time.NewTimer(maxRecordWait)
	defer limit.Stop()
	select {
	case <-recorded:
	case <-limit.C:
		log.Warn().Str("event", "stream_record_late").Str("request", q.call.ID).Msg("an event is forwarded before the build of its stream is recorded")
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
	q.build, q.bound = s.streams.Recorded(q.service.Name, q.call.Resumes)
	s.mu.Unlock()
	if q.bound {
		return nil
	}
	err := q.g.readStreams(ctx)
	s.mu.Lock()
	now := s.clock()
	complete := err == nil && now >= s.streamLog.unreadableAt+streamCatchUpTime+s.appendSpacing()
	q.build, q.bound = s.streams.BuildOf(q.service.Name, q.call.Resumes, complete, now)
	s.mu.Unlock()
	if q.bound {
		return nil
	}
	return apierr.NewRetryable(apierr.StaleReplica, apierr.NotRun, unknownBuildRetry, "the build that began the stream is not known", "send the request again").WithCause(err)
}
