package forward

import (
	"math/rand/v2"
	"time"
)

// Refusals of requests for which the limits leave no room.
const (
	limitYieldTime     = time.Second            // after a refusal, less urgent requests leave what the limits allow to those that are as urgent
	minLimitRetryAfter = 250 * time.Millisecond // about the duration of one answer
	maxLimitRetryAfter = 30 * time.Second
)

// LimitQueue orders the requests of a service beyond the limits of its endpoints: what is allowed
// goes to the most urgent ones, and each refused caller is given a time of its own to come back.
type LimitQueue struct {
	refusedAt map[int]time.Duration // by priority, when one was last refused
	nextAt    time.Duration         // the time that the caller refused last was given
}

// Yields reports whether requests of a priority leave what the limits allow to more urgent ones.
func (q *LimitQueue) Yields(priority int, now time.Duration) bool {
	for p, at := range q.refusedAt {
		if p < priority && now < at+limitYieldTime {
			return true
		}
	}
	return false
}

// Refuse records the refusal of a request and returns after which time its caller should come
// back. perSecond is this process's part of the requests that the limits of the service allow.
func (q *LimitQueue) Refuse(priority int, perSecond float64, now time.Duration, rng *rand.Rand) time.Duration {
	if q.refusedAt == nil {
		q.refusedAt = map[int]time.Duration{}
	}
	q.refusedAt[priority] = now
	spacing := maxLimitRetryAfter
	if perSecond*maxLimitRetryAfter.Seconds() > 1 {
		spacing = time.Duration(float64(time.Second) / perSecond)
	}
	q.nextAt = min(max(q.nextAt, now)+spacing, now+maxLimitRetryAfter)
	delay := max(q.nextAt-now, minLimitRetryAfter)
	if delay == maxLimitRetryAfter { // the queue is longer: its callers are spread over the second half of the time
		delay -= time.Duration(rng.Int64N(int64(maxLimitRetryAfter / 2)))
	}
	return delay
}

// LimitedRate returns one entry's part of what the limits of endpoints allow, given their limits.
func LimitedRate(limits []float64, members int) float64 {
	sum := 0.0
	for _, l := range limits {
		sum += max(l, probeRate)
	}
	return sum / float64(max(members, 1))
}
