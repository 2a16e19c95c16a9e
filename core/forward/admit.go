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

// ShouldShed reports whether a prompt should be refused immediately because even the
// best endpoint would answer too late. It handles bursts of several seconds in which
// prompts arrive faster than the endpoints can prefill them: if all were accepted,
// nearly every answer would be late.
func ShouldShed(c Choice, target time.Duration) bool {
	t := float64(target)
	return t > 0 && float64(c.ExpectedWait) > maxWaitShare*t && float64(c.QueueWait) > idleQueueShare*t
}
