// Package prefixcostv1 registers routing.prefix_cost_v1, the first version of the
// product's policy, kept for comparison: the endpoint with
// the lowest estimated time to first token, with the cost put on other requests.
package prefixcostv1

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
)

// ID is the plug-in's name.
const ID kernel.ID = "routing.prefix_cost_v1"

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
	// count as equal. It is of the size of one hop and one decode step, which
	// the estimate can't resolve.
	NearEqual time.Duration
	// OthersWeight scales the cost put on other requests.
	OthersWeight float64
	// NoStore leaves prefixes in stores out of account.
	NoStore bool
}

const (
	defaultReportLifetime = 10 * time.Second
	defaultSuspectPenalty = time.Second
	defaultNearEqual      = 20 * time.Millisecond
	defaultOthersWeight   = 0.5
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
	unknown       float64 // seconds of wait without a usable report
	lifetime      time.Duration
	suspect       float64 // seconds
	others        float64
	store         bool
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
	t := terms{
		prompt: float64(r.PromptTokens), perToken: 1 / r.PrefillRate, bytesPerToken: float64(r.KVBytesPerToken),
		lifetime: p.o.ReportLifetime, suspect: seconds(p.o.SuspectPenalty), others: p.o.OthersWeight, store: !p.o.NoStore,
	}
	var kept [maxKept]float64
	t.limit = math.Inf(1)
	nearEqual, median := seconds(p.o.NearEqual), false
	for i := range cs {
		if !median && !t.known(&cs[i]) {
			t.unknown, median = t.medianWait(cs), true
		}
		e := t.estimate(&cs[i])
		if i < maxKept {
			kept[i] = e.cost
		}
		t.limit = min(t.limit, e.cost+nearEqual)
	}
	var picks [2]int
	near := 0
	for i := range cs {
		if i < maxKept && kept[i] > t.limit || i >= maxKept && t.estimate(&cs[i]).cost > t.limit {
			continue
		}
		near++
		if near <= len(picks) {
			picks[near-1] = i
		} else if j := rng.IntN(near); j < len(picks) {
			picks[j] = i
		}
	}
	if near > 1 && rng.IntN(len(picks)) == 0 { // the sample's places aren't equally likely
		picks[0], picks[1] = picks[1], picks[0]
	}
	index := picks[0]
	best := t.estimate(&cs[index])
	if near > 1 {
		if second := t.estimate(&cs[picks[1]]); second.cost < best.cost {
			best, index = second, picks[1]
		}
	}
	return routing.Choice{Index: index, Estimate: time.Duration(best.firstToken * float64(time.Second)), Fetch: best.fetch}
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
	if t.store && c.StoreTokens > c.EngineTokens && c.FetchRate > 0 {
		rest := max(0, t.prompt-float64(c.StoreTokens)) * t.perToken
		fetched := seconds(c.FetchWait) + float64(c.StoreTokens-c.EngineTokens)*t.bytesPerToken/c.FetchRate + rest
		if fetched < build {
			build, prefill, e.fetch = fetched, rest, true
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

// queueWait is the wait by the last report in seconds: the prefill tokens that
// are left, and for a slot when none is free.
func (t *terms) queueWait(c *routing.Candidate) float64 {
	age := seconds(c.ReportAge)
	wait := max(0, float64(c.QueuedTokens)*t.perToken-age)
	if ahead := c.Running + c.Waiting + c.OwnInFlight - c.Slots + 1; ahead > 0 {
		wait += max(0, float64(ahead)*seconds(c.SlotTime)/float64(max(1, c.Slots))-age)
	}
	return wait
}

// medianSamples bounds the work for the median; an endpoint without a report is
// rare, and the rank of a sample of this size is close enough for it.
const medianSamples = 33

// medianWait returns the median wait of the candidates with a report, for those
// without one. It looks at an even sample and is zero when there is no report.
func (t *terms) medianWait(cs []routing.Candidate) float64 {
	var sorted [medianSamples]float64
	n := 0
	stride := max(1, (len(cs)+medianSamples-1)/medianSamples)
	for i := 0; i < len(cs) && n < medianSamples; i += stride {
		if !t.known(&cs[i]) {
			continue
		}
		w := t.queueWait(&cs[i])
		j := n
		for ; j > 0 && sorted[j-1] > w; j-- {
			sorted[j] = sorted[j-1]
		}
		sorted[j] = w
		n++
	}
	return sorted[n/2]
}
