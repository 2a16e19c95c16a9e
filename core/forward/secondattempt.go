package forward

import (
	"time"

	"github.com/galenaweir/galenaweir/core/retry"
)

// Bounds on second attempts, see docs/decisions/0020-second-attempts.md.
const (
	// maxOverdueShare is the share of the attempts begun in about a second that may become overdue
	// before second attempts stop. The 95th percentile alone makes 5% overdue; when several times as
	// many are, the endpoints are slow together and a second attempt is no faster than the first.
	maxOverdueShare = 0.15
	// minOverdue lets an entry with a few requests a second make second attempts at all.
	minOverdue = 2.0

	secondShortageTime = time.Second          // after a refusal or a late placement
	minSecondDelay     = 5 * time.Millisecond // about a round trip with a new connection
	minDeadlineShare   = 4                    // at least one part in so many of the request's time must be left
	maxTrackedTargets  = 1024                 // routes and services; a configuration has a few tens
)

// SecondSkip is the reason for which an overdue attempt gets no second one, empty if it gets one.
type SecondSkip string

// Reasons for which no second attempt is made.
const (
	SkipTime        SecondSkip = "time"         // too little time is left
	SkipAttempts    SecondSkip = "attempts"     // the route allows no further attempt
	SkipHeld        SecondSkip = "held"         // the request may be what ends endpoints
	SkipProcessor   SecondSkip = "processor"    // this entry is late itself
	SkipShortage    SecondSkip = "shortage"     // the service has no room
	SkipBurst       SecondSkip = "burst"        // too many attempts are overdue at once
	SkipBudget      SecondSkip = "budget"       // the share of second attempts is used up
	SkipRetryBudget SecondSkip = "retry_budget" // the retry budget is used up
	SkipStale       SecondSkip = "stale"        // the caller's key can't be shown to be valid
	SkipNoEndpoint  SecondSkip = "no_endpoint"  // no other endpoint can answer in time
)

// SecondAttempts decides which requests get a second attempt while the first one has not answered.
// Each entry applies the share to its own requests, so the limit holds for any group of entries.
type SecondAttempts struct {
	share    float64
	window   time.Duration
	services map[string]*secondService
	routes   map[string]*secondRoute
}

type secondService struct {
	budget   *retry.Budget
	wasShort bool // shortAt is set
	shortAt  time.Duration
}

// secondRoute holds what is known of the attempts of one route.
type secondRoute struct {
	lateness       retry.RecentPercentile
	begun, overdue Rate
}

// NewSecondAttempts returns a SecondAttempts that allows the given share of a service's requests
// in the window. With a share of 0 there are none.
func NewSecondAttempts(share float64, window time.Duration) *SecondAttempts {
	return &SecondAttempts{share: share, window: window, services: map[string]*secondService{}, routes: map[string]*secondRoute{}}
}

// Enabled reports whether second attempts are made at all.
func (a *SecondAttempts) Enabled() bool { return a.share > 0 }

func (a *SecondAttempts) service(name string) *secondService {
	v := a.services[name]
	if v == nil {
		if len(a.services) >= maxTrackedTargets {
			clear(a.services)
		}
		v = &secondService{budget: retry.NewBudget(a.share, a.window)}
		a.services[name] = v
	}
	return v
}

func (a *SecondAttempts) route(name string) *secondRoute {
	r := a.routes[name]
	if r == nil {
		if len(a.routes) >= maxTrackedTargets {
			clear(a.routes)
		}
		r = &secondRoute{}
		a.routes[name] = r
	}
	return r
}

// CountRequest counts a request of a service, of whatever route.
func (a *SecondAttempts) CountRequest(service string, now time.Duration) {
	if a.Enabled() {
		a.service(service).budget.CountRequest(now)
	}
}

// RecordShortage records that a request was refused for lack of room, or placed late.
func (a *SecondAttempts) RecordShortage(service string, now time.Duration) {
	if a.Enabled() {
		v := a.service(service)
		v.wasShort, v.shortAt = true, now
	}
}

// Begin counts an attempt that is about to be sent and is expected to answer after the given time.
// It returns false if the request must not be sent twice, or the feature is off. The attempt is
// overdue after the delay, which is 0 until enough answers of the route have been seen.
func (a *SecondAttempts) Begin(r *Route, expected, now time.Duration) (delay time.Duration, ok bool) {
	if !a.Enabled() || !r.Repeatable() {
		return 0, false
	}
	rt := a.route(r.Name)
	rt.begun.Add(now)
	if lateness, known := rt.lateness.Value(); known {
		delay = max(expected+lateness, minSecondDelay)
	}
	return delay, true
}

// RecordAnswer records by how much the first event or the head of a response came later than
// expected.
func (a *SecondAttempts) RecordAnswer(route string, lateness time.Duration) {
	a.route(route).lateness.Observe(lateness)
}

// RecordUnanswered records an attempt that ended without an answer when it was that late. It is a
// sample if it is above the percentile: the percentile doesn't depend on how much later the answer
// would have come, and without these samples it would fall with each second attempt that wins.
func (a *SecondAttempts) RecordUnanswered(route string, lateness time.Duration) {
	rt := a.route(route)
	if p, known := rt.lateness.Value(); known && lateness >= p {
		rt.lateness.Observe(lateness)
	}
}

// OverdueAttempt describes a request whose attempt is overdue.
type OverdueAttempt struct {
	Route          *Route
	Service        string
	Sent           int           // attempts of the request so far, with the overdue one
	Left           time.Duration // until the deadline
	Total          time.Duration // from the arrival to the deadline
	Held           bool
	ProcessorShort bool
}

// Overdue counts an attempt as overdue and returns why it gets no second one. It spends nothing.
func (a *SecondAttempts) Overdue(o OverdueAttempt, retries *retry.Budget, now time.Duration) SecondSkip {
	rt, v := a.route(o.Route.Name), a.service(o.Service)
	rt.overdue.Add(now)
	least := o.Total / minDeadlineShare
	if o.Route.LatencyTarget > 0 {
		least = min(least, o.Route.LatencyTarget)
	}
	switch {
	case o.Left < least:
		return SkipTime
	case o.Sent >= max(o.Route.MaxAttempts, 1):
		return SkipAttempts
	case o.Held:
		return SkipHeld
	case o.ProcessorShort:
		return SkipProcessor
	case v.wasShort && now < v.shortAt+secondShortageTime:
		return SkipShortage
	case rt.overdue.PerSecond(now) > max(minOverdue, maxOverdueShare*rt.begun.PerSecond(now)):
		return SkipBurst
	case !v.budget.CanSpend(now):
		return SkipBudget
	case !retries.CanSpend(now):
		return SkipRetryBudget
	}
	return ""
}

// Spend takes a second attempt that Overdue allowed from both budgets.
func (a *SecondAttempts) Spend(service string, retries *retry.Budget, now time.Duration) {
	a.service(service).budget.TrySpend(now)
	retries.TrySpend(now)
}

// SecondAttemptUse is the use of a service's limit in the window that ends now.
type SecondAttemptUse struct {
	Requests int `json:"requests"`
	Limit    int `json:"limit"` // second attempts that the share allows for these requests
	Used     int `json:"used"`
}

// Use returns the use of the limit by service, nil if the feature is off.
func (a *SecondAttempts) Use(now time.Duration) map[string]SecondAttemptUse {
	if !a.Enabled() {
		return nil
	}
	out := map[string]SecondAttemptUse{}
	for name, v := range a.services {
		requests, used := v.budget.Use(now)
		out[name] = SecondAttemptUse{requests, int(a.share * float64(requests)), used}
	}
	return out
}

// SuitsSecondAttempt reports whether a placement is good enough for a second attempt: one on a
// suspect endpoint, or one that would be refused or late, is no remedy for a slow first one.
func SuitsSecondAttempt(c Choice, cs []Candidate, p *Prompt, target, left time.Duration) bool {
	switch {
	case c.Index < 0 || c.Suspect || c.ExpectedWait > left:
		return false
	case p == nil:
		return true
	}
	return !ShouldShed(c, target) && !(cs[c.Index].AvoidLongRunning && p.LongRunning())
}

// RecordTransfers adds the fetches of a tentative choice that is used after all to the queues of
// their stores.
func (c *Choice) RecordTransfers(cand *Candidate, p *Prompt, now time.Duration) {
	if p == nil {
		return
	}
	parts := p.SharedParts()
	keys := make([]uint64, len(parts))
	for i, part := range parts {
		keys[i] = PartKey(c.Salt, part.ID)
	}
	c.recordTransfers(cand, parts, keys, now)
}
