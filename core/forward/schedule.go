package forward

import "time"

// lateWaitShare is the share of the time to the deadline that a prompt may be expected to wait behind
// all waiting prefill to be placed late. The rest is for the error of the expectation and the answer.
const lateWaitShare = 0.5

// Outcome is what becomes of a prompt that an endpoint could take.
type Outcome int

// Outcomes of a prompt.
const (
	OnTime      Outcome = iota
	Late                // it can't meet its latency target
	LateByShare         // its customer has placed more than its share
	Refused
)

// Late reports whether the prompt is placed with the last rank.
func (o Outcome) Late() bool { return o == Late || o == LateByShare }

// Schedule decides about a prompt with the choice c for its rank, a latency target and the time left to
// its deadline. overShare says that its customer is the first to be placed late. behindAll returns the
// choice with the last rank, with which a prompt waits behind all prefill; it is nil if no prompt is
// placed late. For a prompt that is refused, Schedule returns the time after which a retry is worthwhile.
//
// Load pattern: a burst of prompts with deadlines of many times their latency targets. All that miss the
// target would be refused, and come back, while engines have capacity before the deadline. With the last
// rank they take only what the prompts in time leave.
func Schedule(c Choice, target, left time.Duration, overShare bool, behindAll func() Choice) (chosen Choice, outcome Outcome, retryAfter time.Duration) {
	misses := ShouldShed(c, target)
	switch {
	case !misses && (!overShare || behindAll == nil):
		return c, OnTime, 0
	case behindAll == nil:
		return c, Refused, c.QueueWait
	}
	late := behindAll()
	limit := time.Duration(lateWaitShare * float64(left))
	switch {
	case late.Index >= 0 && !late.Suspect && late.ExpectedWait <= limit && misses:
		return late, Late, 0
	case late.Index >= 0 && !late.Suspect && late.ExpectedWait <= limit:
		return late, LateByShare, 0
	case !misses:
		return c, OnTime, 0 // late, it might miss its deadline
	case late.Index < 0:
		return c, Refused, c.QueueWait
	}
	return c, Refused, max(late.ExpectedWait-limit, 0)
}
