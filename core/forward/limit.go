package forward

import (
	"math"
	"time"
)

// Unlimited is the rate of an endpoint that names no limit.
var Unlimited = math.Inf(1)

// LimitStatement is what an answer of an endpoint says about the requests a second that it takes
// from all entries together. The endpoint made the statement between SentAt, when the request was
// sent, and ReceivedAt.
type LimitStatement struct {
	PerSecond          float64 // Unlimited if the answer names no limit
	SentAt, ReceivedAt time.Duration
}

// Limited reports whether the answer names a limit.
func (s LimitStatement) Limited() bool { return !math.IsInf(s.PerSecond, 1) }

// EndpointLimit holds the newest statement of an endpoint about its limit.
type EndpointLimit struct {
	statement LimitStatement
	known     bool
}

// PerSecond returns the limit in force, Unlimited if there is none.
func (l *EndpointLimit) PerSecond() float64 {
	if !l.known {
		return Unlimited
	}
	return l.statement.PerSecond
}

// Observe applies a statement and reports whether it changed the limit. Answers overtake each
// other: of two statements that may have been made in either order, the lower limit holds until
// an answer to a later request ends it.
func (l *EndpointLimit) Observe(s LimitStatement) bool {
	before := l.PerSecond()
	newer := !l.known || s.SentAt >= l.statement.ReceivedAt
	older := l.known && s.ReceivedAt <= l.statement.SentAt
	switch {
	case older:
		return false
	case newer, s.PerSecond < before, s.PerSecond == before && s.ReceivedAt > l.statement.ReceivedAt:
		l.statement, l.known = s, true
	}
	return l.PerSecond() != before
}
