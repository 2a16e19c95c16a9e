package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Scheduling holds the settings of queueing, refusal and placement. Without the object in the
// settings, requests get the decisions that they got before these settings existed.
type Scheduling struct {
	RankedQueues bool `json:"rankedQueues"` // send ranks, and expect the wait for the same and more urgent ones
	LateRequests bool `json:"lateRequests"` // place prompts that can't meet their latency target with the last rank
	FairShare    bool `json:"fairShare"`    // place prompts of customers with more than their share late first
	WaitingLine  bool `json:"waitingLine"`  // let prompts wait at the entry for room at the endpoints
	RetryRefused int  `json:"retryRefused"` // rejected attempts of a request that don't count towards the route's maximum
}

// maxRetryRefused bounds Scheduling.RetryRefused.
const maxRetryRefused = 2

func (c *Scheduling) validate() (errs []error) {
	if c == nil {
		return nil
	}
	if c.RetryRefused < 0 || c.RetryRefused > maxRetryRefused {
		errs = append(errs, fmt.Errorf("scheduling.retryRefused is %d; want 0 to %d", c.RetryRefused, maxRetryRefused))
	}
	if c.LateRequests && !c.RankedQueues {
		errs = append(errs, errors.New("scheduling.lateRequests is true without rankedQueues; set scheduling.rankedQueues to true, or leave lateRequests out"))
	}
	if c.FairShare && !c.LateRequests && !c.WaitingLine {
		errs = append(errs, errors.New("scheduling.fairShare is true without lateRequests or waitingLine; set one of them to true, or leave fairShare out"))
	}
	return errs
}

// scheduling returns the settings of scheduling, with everything off if there are none.
func (s *state) scheduling() Scheduling {
	if s.settings.Scheduling == nil {
		return Scheduling{}
	}
	return *s.settings.Scheduling
}

// setRank sets the rank of the request by the newest configuration, and the priority to send. The
// caller holds the state's mutex.
func (q *request) setRank(s *state) {
	q.outcome, q.rank, q.sentPriority = forward.OnTime, 0, q.priority()
	if (q.scheduling.RankedQueues || q.scheduling.WaitingLine) && q.call.Prompt != nil {
		q.rank = s.table.Rank(q.route, q.customer)
		q.sentPriority = q.rank
	}
}

// schedulePrompt decides whether a prompt is placed with the choice c, late with another one, or
// refused. The caller holds the state's mutex.
func (q *request) schedulePrompt(s *state, cs []forward.Candidate, c forward.Choice, left, now time.Duration) (forward.Choice, *apierr.Error) {
	takeUps := s.takeUpCredit(q.service.Name)
	if q.takesUp() && forward.ShouldShed(c, q.route.LatencyTarget) && !q.waitsForRoom(s, now) && takeUps.Spend(c, q.route) {
		takeUps.RecordTakeUp(true)
		q.recordOutcome(s, forward.OnTime, now)
		return c, nil
	}
	if q.mayWait(now) && (forward.ShouldShed(c, q.route.LatencyTarget) || !forward.LeavesRoom(c, s.table.UrgentTarget(q.service.Name, q.route))) {
		return c, errMustWait
	}
	var behindAll func() forward.Choice
	if q.scheduling.LateRequests {
		behindAll = func() forward.Choice { return q.chooseRanked(s, cs, forward.LastRank, now) }
	}
	overShare := q.scheduling.FairShare && !q.takesUp() && s.fairShare(q.service.Name).Exceeds(q.customerName(), q.rank, now)
	c, outcome, retryAfter := forward.Schedule(c, q.route.LatencyTarget, left, overShare, behindAll)
	if outcome == forward.Refused && q.waitsForRoom(s, now) {
		return c, errStreamMustWait
	}
	if outcome == forward.Refused {
		if q.takesUp() {
			takeUps.RecordTakeUp(false)
		} else {
			takeUps.RecordRefusal()
		}
		return c, q.noRoom(s, apierr.Overloaded, retryAfter, now, "the latency target can't be met")
	}
	if q.outcome = outcome; outcome.Late() {
		q.sentPriority = forward.LastRank
		q.recordShortage(s, now)
		if q.observer == nil {
			q.g.latePrompts.Add(lateReasons[outcome], 1)
		}
	}
	q.recordOutcome(s, outcome, now)
	if q.takesUp() {
		takeUps.RecordTakeUp(true)
	} else {
		takeUps.RecordPlacement()
	}
	return c, nil
}

// lateReasons are the labels of late prompts in counters and in the access log.
var lateReasons = map[forward.Outcome]string{forward.Late: "target_missed", forward.LateByShare: "over_share"}

// recordOutcome records what became of a prompt for the shares of the customers. The caller holds the
// state's mutex.
func (q *request) recordOutcome(s *state, outcome forward.Outcome, now time.Duration) {
	if q.scheduling.FairShare && q.call.Prompt != nil && q.observer == nil {
		s.fairShare(q.service.Name).RecordPrompt(q.customerName(), q.rank, q.call.Prompt.Tokens, outcome, now)
	}
}

// recordShortage records that the service is short of room, unless the placement is only asked for. The
// caller holds the state's mutex.
func (q *request) recordShortage(s *state, now time.Duration) {
	if q.observer == nil {
		s.secondAttempts.RecordShortage(q.service.Name, now)
	}
}

// customerName returns the name of the customer, "" if there is none.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// fairShare returns the shares of the customers of a service at this entry.
func (s *state) fairShare(service string) *forward.FairShare {
	f := s.fairShares[service]
	if f == nil {
		f = &forward.FairShare{}
		s.fairShares[service] = f
	}
	return f
}

// countedAttempts returns how many attempts count towards the route's maximum.
func (q *request) countedAttempts() int {
	return forward.CountedAttempts(q.sentAttempts, q.notRunAttempts, q.scheduling.RetryRefused)
}
