package forward

import (
	"math/rand/v2"
	"time"
)

// MaxPause is the longest pause that an endpoint is given for one answer. A value of more than an
// hour is rather a mistaken unit, and would take the endpoint from this process until its restart;
// one request an hour finds out whether it still holds.
const MaxPause = time.Hour

// maxStatements is the number of endpoints whose statements are kept, the oldest are forgotten first.
const maxStatements = 4096

// endpointStatement is what one start of an endpoint has said in its answers to this process.
type endpointStatement struct {
	started     int64 // StartedUnixMs of the endpoint that the request was placed on
	at          time.Duration
	leaving     bool
	pausedUntil time.Duration
}

// Statements holds which endpoints leave, and which want no requests from this process for some
// time, by what they said in their answers. They hold for one start of an endpoint, whatever the
// list says of it: they survive its removal, its return from an older copy of the log and later
// heartbeats.
type Statements struct{ byID map[string]endpointStatement }

// RecordLeaving records that an endpoint has said that it leaves, and reports whether that is new.
func (s *Statements) RecordLeaving(e *Endpoint, now time.Duration) bool {
	st, ok := s.statement(e, now)
	if !ok || st.leaving {
		return false
	}
	st.leaving = true
	s.byID[e.ID] = st
	return true
}

// RecordPause records that an endpoint wants no requests for some time from now on. It returns the
// end of its pause. An earlier answer that asked for longer stays in force.
func (s *Statements) RecordPause(e *Endpoint, length, now time.Duration) time.Duration {
	st, ok := s.statement(e, now)
	if !ok {
		return 0
	}
	st.pausedUntil = max(st.pausedUntil, now+min(length, MaxPause))
	s.byID[e.ID] = st
	return st.pausedUntil
}

// statement returns what is known of a start of an endpoint, and false if a newer start is known.
func (s *Statements) statement(e *Endpoint, now time.Duration) (endpointStatement, bool) {
	if s.byID == nil {
		s.byID = map[string]endpointStatement{}
	}
	st, known := s.byID[e.ID]
	switch {
	case known && startedLater(st.started, e.StartedUnixMs):
		return st, false
	case !known || startedLater(e.StartedUnixMs, st.started):
		st = endpointStatement{started: e.StartedUnixMs}
	}
	st.at, st.started = now, max(st.started, e.StartedUnixMs)
	if !known && len(s.byID) >= maxStatements {
		s.forgetOldest()
	}
	return st, true
}

func (s *Statements) forgetOldest() {
	oldest := ""
	for id, st := range s.byID {
		if o := s.byID[oldest]; oldest == "" || st.at < o.at || st.at == o.at && id < oldest {
			oldest = id
		}
	}
	delete(s.byID, oldest)
}

// startedLater reports whether start a is known to be later than b. A start of 0 is unknown.
func startedLater(a, b int64) bool { return a > b && b != 0 }

// of returns what an endpoint has said since its start. A record of an earlier start, or without
// one, doesn't undo it.
func (s *Statements) of(e *Endpoint) endpointStatement {
	st, ok := s.byID[e.ID]
	if !ok || startedLater(e.StartedUnixMs, st.started) {
		return endpointStatement{}
	}
	return st
}

// Leaving reports whether the endpoint has said that it leaves.
func (s *Statements) Leaving(e *Endpoint) bool { return s.of(e).leaving }

// PausedUntil returns until when the endpoint wants no requests, 0 if it takes some now.
func (s *Statements) PausedUntil(e *Endpoint, now time.Duration) time.Duration {
	if until := s.of(e).pausedUntil; until > now {
		return until
	}
	return 0
}

// Paused reports whether the candidate wants no requests from this process now.
func (c *Candidate) Paused(now time.Duration) bool { return now < c.PausedUntil }

// PauseEnd returns when the first of the paused candidates takes requests again, and how many slots
// those have that do so by maxReturnSpread later. It returns false unless a pause is all that keeps
// candidates from taking a request: then the time to come back doesn't depend on it. Endpoints that
// the request was tried on count too, as its caller comes back with a new one.
func PauseEnd(cs []Candidate, tried map[string]bool, now time.Duration) (end time.Duration, slots int, paused bool) {
	for i := range cs {
		c := &cs[i]
		switch {
		case c.Excluded && !tried[c.Endpoint.ID]:
			continue
		case !c.Paused(now):
			return 0, 0, false
		case !paused || c.PausedUntil < end:
			end, paused = c.PausedUntil, true
		}
	}
	for i := range cs {
		if c := &cs[i]; (!c.Excluded || tried[c.Endpoint.ID]) && c.PausedUntil <= end+maxReturnSpread {
			slots += max(c.Endpoint.Slots, 1)
		}
	}
	return end, slots, paused
}

// Times at which refused callers come back.
const (
	answerTime      = 250 * time.Millisecond // about the duration of one answer
	maxReturnSpread = 2 * time.Second        // after the earliest time, more callers are spread over this span at random
)

// ReturnQueue gives each refused caller a time of its own to come back.
type ReturnQueue struct{ nextAt time.Duration }

// Refuse returns after which time a caller should come back that can't be served before the given
// time, when endpoints with so many slots take requests.
func (q *ReturnQueue) Refuse(earliest time.Duration, slots int, now time.Duration, rng *rand.Rand) time.Duration {
	at := max(q.nextAt, earliest) + answerTime/time.Duration(max(slots, 1))
	if at > earliest+maxReturnSpread {
		return earliest + time.Duration(rng.Int64N(int64(maxReturnSpread))) - now
	}
	q.nextAt = at
	return at - now
}
