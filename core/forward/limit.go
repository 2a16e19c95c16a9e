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

// Times of what is known about a limit.
const (
	limitRepeat  = time.Second      // an entry that was told by the endpoint repeats it to its peers this often
	limitEndTime = 30 * time.Second // and that a limit has ended for this long
	limitMaxAge  = time.Minute      // a limit that no endpoint and no peer has stated for this long is forgotten
)

// EndpointLimit holds the newest statement of an endpoint about its limit, and this process's part
// of it.
type EndpointLimit struct {
	statement  LimitStatement
	known      bool
	firstHand  bool          // the statement was made in an answer to this process
	statedAt   time.Duration // when the statement was last received, from the endpoint or a peer
	changedAt  time.Duration
	reportedAt time.Duration // when the peers were last told
	ignored    time.Duration // statements received before are of an earlier incarnation
	bucket     limitBucket
	bucketFor  bucketInputs
}

// Restart forgets the limit, as after a restart of the endpoint.
func (l *EndpointLimit) Restart(now time.Duration) { *l = EndpointLimit{ignored: now} }

// Expire forgets a limit that has not been stated for a long time.
func (l *EndpointLimit) Expire(now time.Duration) {
	if l.known && now >= l.statedAt+limitMaxAge {
		*l = EndpointLimit{ignored: l.ignored}
	}
}

// ReportDue returns the statement if the peers are to be told of it.
func (l *EndpointLimit) ReportDue(now time.Duration) (LimitStatement, bool) {
	due := l.known && l.firstHand && (l.reportedAt <= l.changedAt || now >= l.reportedAt+limitRepeat)
	return l.statement, due && (l.statement.Limited() || now < l.changedAt+limitEndTime)
}

// RecordReport records that the peers are told of the statement.
func (l *EndpointLimit) RecordReport(now time.Duration) { l.reportedAt = now }

// PerSecond returns the limit in force, Unlimited if there is none.
func (l *EndpointLimit) PerSecond() float64 {
	if !l.known {
		return Unlimited
	}
	return l.statement.PerSecond
}

// Observe applies a statement, made in an answer to this process or passed on by a peer, and
// reports whether it changed the limit. Answers overtake each other: of two statements that may
// have been made in either order, the lower limit holds until an answer to a later request ends it.
func (l *EndpointLimit) Observe(s LimitStatement, firstHand bool, now time.Duration) bool {
	before := l.PerSecond()
	older := l.known && s.ReceivedAt <= l.statement.SentAt
	if older || s.ReceivedAt < l.ignored {
		return false
	}
	if !l.known && !s.Limited() {
		return false // most endpoints name none; nothing needs to be kept for them
	}
	newer := !l.known || s.SentAt >= l.statement.ReceivedAt
	if newer || s.PerSecond <= before {
		l.statement, l.known = s, true
	}
	if s.PerSecond == l.PerSecond() {
		l.statedAt = now
		l.firstHand = l.firstHand && l.PerSecond() == before || firstHand
	}
	if l.PerSecond() == before {
		return false
	}
	l.changedAt = now
	return true
}

// ReportedAt returns when the peers were last told of the limit.
func (l *EndpointLimit) ReportedAt() time.Duration { return l.reportedAt }
