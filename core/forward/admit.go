package forward

import "time"

// Thresholds as shares of a route's latency target.
const (
	// maxWaitShare is the expected wait above which a prompt is refused. It is below
	// 1 because the estimate of the wait has an error. See
	// docs/decisions/0009-users-machines.md.
	maxWaitShare = 0.4
	// idleQueueShare is the wait caused by other requests up to which an endpoint
	// counts as idle. An idle endpoint does not refuse a prompt that is slow only
	// because of its own length.
	idleQueueShare = 0.15
)

// Callers that take up a stream and are refused.
const (
	// takeUpWaitShare is the part of the time left for which callers wait at the most.
	takeUpWaitShare = 3
	maxTakeUpWait   = 5 * time.Second
)

// TakeUpRetryAfter returns the time after which a caller comes back that could not take up its
// stream, by a random number from 0 to 1: at a time of its own between base and what callers wait.
// Streams that break off together are taken up together, by callers that try only a few times.
func TakeUpRetryAfter(base, left time.Duration, random float64) time.Duration {
	longest := min(left/takeUpWaitShare, maxTakeUpWait)
	return base + time.Duration(random*float64(max(longest-base, 0)))
}

// ShouldShed reports whether a prompt should be refused immediately because even the
// best endpoint would answer too late. It handles bursts of several seconds in which
// prompts arrive faster than the endpoints can prefill them: if all were accepted,
// nearly every answer would be late.
func ShouldShed(c Choice, target time.Duration) bool {
	t := float64(target)
	return t > 0 && float64(c.ExpectedWait) > maxWaitShare*t && float64(c.QueueWait) > idleQueueShare*t
}
