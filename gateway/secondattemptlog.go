package gateway

import (
	"expvar"
	"fmt"
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/metrics"
)

// secondAttemptMetrics counts second attempts.
type secondAttemptMetrics struct {
	outcomes *expvar.Map // sent, won and lost
	skipped  *expvar.Map // overdue attempts without a second one, by reason
	tokens   *expvar.Int // prompt tokens that second attempts were expected to have prefilled
}

func newSecondAttemptMetrics() secondAttemptMetrics {
	return secondAttemptMetrics{
		outcomes: metrics.Default.LabeledCounter("second_attempts"),
		skipped:  metrics.Default.LabeledCounter("second_attempts_skipped"),
		tokens:   metrics.Default.Counter("second_attempt_tokens"),
	}
}

// secondAttemptLog holds what the access log states about the second attempt of a request.
type secondAttemptLog struct {
	overdue      bool          // an attempt of the request was
	overdueAfter time.Duration // from its placement
	placed, won  bool          // by the newest of several second attempts
	skip         forward.SecondSkip
}

func (l *secondAttemptLog) write(e *log.Entry) *log.Entry {
	if !l.overdue {
		return e
	}
	result := "skipped"
	switch {
	case l.won:
		result = "won"
	case l.placed:
		result = "lost"
	}
	e = e.Str("second_attempt", result).Dur("overdue_ms", l.overdueAfter)
	if l.skip != "" {
		e = e.Str("second_skipped", string(l.skip))
	}
	return e
}

// recordOutcome counts the outcome of the second attempt, if there was one.
func (r *race) recordOutcome(winner *racingAttempt) {
	if !r.second {
		return
	}
	l := &r.q.accessLog.second
	outcome := "lost"
	if l.won = winner.p.second && winner.err == nil; l.won {
		outcome = "won"
	}
	r.q.g.secondAttempts.outcomes.Add(outcome, 1)
}

// newTimer returns a channel that receives a value after the given time, and a function that stops it.
func newTimer(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}

// readAhead holds the bytes of a body that were read before the response was delivered, and the error
// that came after them.
type readAhead struct {
	bytes []byte
	err   error
}

func (a *readAhead) remains() bool { return len(a.bytes) > 0 || a.err != nil }

func (a *readAhead) read(p []byte) (int, error) {
	if len(a.bytes) == 0 {
		return 0, a.err
	}
	n := copy(p, a.bytes)
	a.bytes = a.bytes[n:]
	return n, nil
}

// awaitFirstEvent reads a stream up to its first complete event, or to its end if it has none. What
// it has read is returned again by Read.
func (r *response) awaitFirstEvent(held *responseBuffer) error {
	events := eventBuffer{held: held}
	defer held.release() // the response is delivered or discarded next
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := r.Read(buf)
		complete, full := events.add(buf[:n])
		switch {
		case full != nil:
			return full
		case len(complete) > 0 || err == io.EOF && len(events.pending) == 0:
			r.ahead = readAhead{events.pending, err}
			return nil
		case err == io.EOF:
			r.bodyComplete = false
			return errTruncatedEvent
		case err != nil:
			return err
		case len(events.pending) > maxEventBytes:
			return fmt.Errorf("an event is longer than %d bytes", maxEventBytes)
		}
	}
}
