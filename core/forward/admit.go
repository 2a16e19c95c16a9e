package forward

import "time"

// Shares of a route's latency target.
const (
	// hopelessWait leaves room for the usual error of the expected wait. With 1 and
	// with 0.35 fewer callers were served in time at the worst load;
	// docs/decisions/0009-users-machines.md.
	hopelessWait = 0.6
	// freeQueue is the wait by others up to which an endpoint counts as free: a
	// prompt that takes long by itself is not refused there.
	freeQueue = 0.15
)

// Hopeless tells whether a prompt should be refused at once, as even the best
// endpoint would answer too late. Load pattern: more prompts come than the endpoints
// can read, for seconds; when all are accepted, all wait, and nearly every answer
// is late.
func Hopeless(c Choice, target time.Duration) bool {
	t := float64(target)
	return t > 0 && float64(c.Wait) > hopelessWait*t && float64(c.Queue) > freeQueue*t
}
