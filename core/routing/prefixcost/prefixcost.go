// Package prefixcost registers the policy routing.prefix_cost: the endpoint with
// the lowest estimated time to first token, with the cost put on other requests.
package prefixcost

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
)

// ID is the plug-in's name.
const ID kernel.ID = "routing.prefix_cost"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return New(Options{}) }}) }

// Options are the weights of the estimate. Zero values stand for the defaults.
type Options struct {
	// ReportLifetime is the age at which a report says no more than the median
	// of the others (design 5).
	ReportLifetime time.Duration
	// SuspectPenalty is added for a suspect member: the silence limit of 2 s,
	// weighted with an even chance that the member is dead.
	SuspectPenalty time.Duration
	// NearEqual is the difference to the lowest cost below which candidates
	// count as equal. It is of the size of a few hops, which the estimate can't
	// resolve.
	NearEqual time.Duration
	// Reversion is the age at which a report's wait says no more than the mean
	// of all candidates: other entries' choices since then are unknown.
	Reversion time.Duration
	// OthersWeight scales the cost put on other requests.
	OthersWeight float64
	FetchSlack   float64
	// NoStore leaves prefixes in stores out of account.
	NoStore bool
}

const (
	defaultReportLifetime = 10 * time.Second
	defaultSuspectPenalty = time.Second
	defaultNearEqual      = 5 * time.Millisecond
	defaultReversion      = 300 * time.Millisecond
	defaultOthersWeight   = 0.25
	defaultFetchSlack     = 1.3
)

// Policy implements routing.Policy.
type Policy struct{ o Options }

// New returns the policy.
func New(o Options) Policy {
	if o.ReportLifetime == 0 {
		o.ReportLifetime = defaultReportLifetime
	}
	if o.SuspectPenalty == 0 {
		o.SuspectPenalty = defaultSuspectPenalty
	}
	if o.NearEqual == 0 {
		o.NearEqual = defaultNearEqual
	}
	if o.Reversion == 0 {
		o.Reversion = defaultReversion
	}
	if o.FetchSlack == 0 {
		o.FetchSlack = defaultFetchSlack
	}
	if o.OthersWeight == 0 {
		o.OthersWeight = defaultOthersWeight
	}
	return Policy{o}
}

// estimate is the cost of one candidate, in seconds.
type estimate struct {
	firstToken float64
	cost       float64 // with the cost put on others and penalties
	fetch      bool
}

// terms are the parts of the estimate that all candidates share; divisions are
// done once, which halves the time of a decision at 830 candidates.
type terms struct {
	prompt        float64 // tokens
	perToken      float64 // seconds of prefill
	bytesPerToken float64
	lifetime      time.Duration
	reversion     float64 // per second of a report's age
	mean          float64 // seconds of wait by the reports of all candidates
	unknown       float64 // seconds of wait without a usable report: their median
	suspect       float64 // seconds
	others        float64
	store         bool
	fetchSlack    float64 // factor on the time to recompute
	limit         float64 // seconds; the estimate of a costlier candidate may be cut short
}

const secondsPerNanosecond = 1e-9

func seconds(d time.Duration) float64 { return float64(d) * secondsPerNanosecond }

// maxKept is the number of candidates whose cost is kept between the two passes.
// Those beyond are estimated twice.
const maxKept = 1024

// Choose takes two random candidates among those whose cost is nearly the lowest
// and returns the better one. Several entries with the same view thus don't all
// choose the same endpoint.
func (p Policy) Choose(r *routing.Request, cs []routing.Candidate, rng *rand.Rand) routing.Choice {
	if len(cs) == 0 {
		return routing.Choice{Index: -1}
	}
	t := p.terms(r, cs)
	var kept [maxKept]float64
	for i := range cs {
		cost := t.estimate(&cs[i]).cost
		if i < maxKept {
			kept[i] = cost
		}
		t.limit = min(t.limit, cost+seconds(p.o.NearEqual))
	}
	first, second := t.twoNearLowest(cs, kept[:min(len(cs), maxKept)], rng)
	index, best := first, t.estimate(&cs[first])
	if e := t.estimate(&cs[second]); e.cost < best.cost {
		index, best = second, e
	}
	return routing.Choice{Index: index, Estimate: time.Duration(best.firstToken * float64(time.Second)), Fetch: best.fetch}
}

func (p Policy) terms(r *routing.Request, cs []routing.Candidate) terms {
	t := terms{
		prompt: float64(r.PromptTokens), perToken: 1 / r.PrefillRate, bytesPerToken: float64(r.KVBytesPerToken),
		lifetime: p.o.ReportLifetime, reversion: 1 / seconds(p.o.Reversion), suspect: seconds(p.o.SuspectPenalty),
		others: p.o.OthersWeight, store: !p.o.NoStore, fetchSlack: p.o.FetchSlack, limit: math.Inf(1),
	}
	t.sample(cs)
	return t
}

// twoNearLowest returns two random candidates of those below the limit, by
// reservoir sampling; the same one twice when there is only one.
func (t *terms) twoNearLowest(cs []routing.Candidate, kept []float64, rng *rand.Rand) (int, int) {
	var picks [2]int
	near := 0
	for i := range cs {
		if i < len(kept) && kept[i] > t.limit || i >= len(kept) && t.estimate(&cs[i]).cost > t.limit {
			continue
		}
		near++
		if near <= len(picks) {
			picks[near-1] = i
		} else if j := rng.IntN(near); j < len(picks) {
			picks[j] = i
		}
	}
	if near == 1 {
		return picks[0], picks[0]
	}
	if rng.IntN(len(picks)) == 0 { // the sample's places aren't equally likely
		return picks[1], picks[0]
	}
	return picks[0], picks[1]
}

// estimate adds up the terms of design section 9.4. It stops when hop and wait
// alone exceed the limit.
func (t *terms) estimate(c *routing.Candidate) (e estimate) {
	wait := t.unknown
	if t.known(c) {
		wait = t.queueWait(c)
	}
	wait += float64(c.OwnTokens) * t.perToken
	if early := wait + seconds(c.Hop); early > t.limit {
		return estimate{firstToken: early, cost: early}
	}
	prefill := max(0, t.prompt-float64(c.EngineTokens)) * t.perToken
	build := prefill
	if t.store && c.StoreTokens > c.EngineTokens { // at a rate of zero the import takes for ever
		rest := max(0, t.prompt-float64(c.StoreTokens)) * t.perToken
		fetched := seconds(c.FetchWait) + float64(c.StoreTokens-c.EngineTokens)*t.bytesPerToken/c.FetchRate + rest
		e.fetch = fetched < t.fetchSlack*build
		if fetched < build {
			build, prefill = fetched, rest
		}
	}
	e.firstToken = seconds(c.Hop) + wait + build
	e.cost = e.firstToken
	if busy := c.Running + c.Waiting + c.OwnInFlight; busy > 0 {
		e.cost += t.others * prefill * float64(busy) / float64(max(1, c.Slots))
	}
	if c.Suspect {
		e.cost += t.suspect
	}
	return e
}

func (t *terms) known(c *routing.Candidate) bool { return c.ReportAge >= 0 && c.ReportAge < t.lifetime }

// queueWait is the wait by the last report in seconds, drawn towards the mean of
// all candidates the older the report is, since other entries add work meanwhile.
func (t *terms) queueWait(c *routing.Candidate) float64 {
	age := seconds(c.ReportAge)
	old := min(1, age*t.reversion)
	return (1-old)*max(0, t.reportedWait(c)-age) + old*t.mean
}

// reportedWait is the wait at the time of the report: the prefill tokens, and the
// wait for a slot when none is free.
func (t *terms) reportedWait(c *routing.Candidate) float64 {
	wait := float64(c.QueuedTokens) * t.perToken
	if ahead := c.Running + c.Waiting + c.OwnInFlight - c.Slots + 1; ahead > 0 {
		wait += float64(ahead) * seconds(c.SlotTime) / float64(max(1, c.Slots))
	}
	return wait
}

// samples bounds the work for mean and median.
const samples = 33

// sample sets the mean and the median wait by the reports of an even sample of
// the candidates; both are zero when there is no report.
func (t *terms) sample(cs []routing.Candidate) {
	var sorted [samples]float64
	n, sum := 0, 0.0
	stride := max(1, (len(cs)+samples-1)/samples)
	for i := 0; i < len(cs) && n < samples; i += stride {
		if !t.known(&cs[i]) {
			continue
		}
		w := t.reportedWait(&cs[i])
		sum += w
		j := n
		for ; j > 0 && sorted[j-1] > w; j-- {
			sorted[j] = sorted[j-1]
		}
		sorted[j] = w
		n++
	}
	t.unknown = sorted[n/2]
	t.mean = sum / float64(max(1, n))
}
