// Package prefixcostv1 registers routing.prefix_cost_v1, the first version of the
// prefix cost policy, kept for comparison: it chooses the endpoint with the lowest
// sum of the estimated time to first token and the delay caused to other requests.
package prefixcostv1

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "routing.prefix_cost_v1"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return New(Options{}) }}) }

// Options sets the weights of the cost estimate. Zero values select the defaults.
type Options struct {
	// MaxReportAge is the age from which a report is replaced by the median
	// of the other candidates' reports (docs/design.md, section 5).
	MaxReportAge time.Duration
	// SuspectPenalty is added to the cost of a suspect member. The default is
	// the silence limit of 2 s, after which an entry drops a stream without frames,
	// times a probability of one half that the member is dead.
	SuspectPenalty time.Duration
	// CostTolerance is the difference from the lowest cost up to which candidates
	// count as equally good. The default is about one hop and one decode step,
	// the resolution of the estimate.
	CostTolerance time.Duration
	// InterferenceWeight scales the delay that a prefill causes to other requests.
	InterferenceWeight float64
	// IgnoreStore ignores prefixes in stores.
	IgnoreStore bool
}

const (
	defaultMaxReportAge       = 10 * time.Second
	defaultSuspectPenalty     = time.Second
	defaultCostTolerance      = 20 * time.Millisecond
	defaultInterferenceWeight = 0.5
)

// Policy implements routing.Policy.
type Policy struct{ opts Options }

// New returns a policy with the given options.
func New(o Options) Policy {
	if o.MaxReportAge == 0 {
		o.MaxReportAge = defaultMaxReportAge
	}
	if o.SuspectPenalty == 0 {
		o.SuspectPenalty = defaultSuspectPenalty
	}
	if o.CostTolerance == 0 {
		o.CostTolerance = defaultCostTolerance
	}
	if o.InterferenceWeight == 0 {
		o.InterferenceWeight = defaultInterferenceWeight
	}
	return Policy{o}
}

// estimate is the estimated cost of one candidate, in seconds.
type estimate struct {
	ttft        float64
	cost        float64 // ttft plus the delay of other requests and penalties
	fetchPrefix bool
}

// scorer holds the terms that are the same for all candidates. Computing the
// divisions once halves the time of a decision among 830 candidates.
type scorer struct {
	promptTokens       float64
	prefillPerToken    float64 // seconds
	kvBytesPerToken    float64
	medianWait         float64 // seconds; used for candidates without a fresh report
	maxAge             time.Duration
	suspectPenalty     float64 // seconds
	interferenceWeight float64
	useStore           bool
	costLimit          float64 // seconds; the estimate of a candidate above it may stop early
}

const secondsPerNanosecond = 1e-9

func seconds(d time.Duration) float64 { return float64(d) * secondsPerNanosecond }

// maxCachedCosts is the number of candidates whose cost is stored between the two
// passes, in an array of fixed size to avoid an allocation. The costs of further
// candidates are computed twice.
const maxCachedCosts = 1024

// Choose picks two random candidates among those with a cost close to the lowest
// and returns the cheaper one, so that several entries with the same load data
// choose different endpoints.
func (p Policy) Choose(r *routing.Request, cs []routing.Candidate, rng *rand.Rand) routing.Choice {
	if len(cs) == 0 {
		return routing.Choice{Index: -1}
	}
	s := scorer{
		promptTokens: float64(r.PromptTokens), prefillPerToken: 1 / r.PrefillRate, kvBytesPerToken: float64(r.KVBytesPerToken),
		maxAge: p.opts.MaxReportAge, suspectPenalty: seconds(p.opts.SuspectPenalty), interferenceWeight: p.opts.InterferenceWeight, useStore: !p.opts.IgnoreStore,
	}
	var costs [maxCachedCosts]float64
	s.costLimit = math.Inf(1)
	costTolerance, medianKnown := seconds(p.opts.CostTolerance), false
	for i := range cs {
		if !medianKnown && !s.fresh(&cs[i]) {
			s.medianWait, medianKnown = s.sampleMedianWait(cs), true
		}
		e := s.estimate(&cs[i])
		if i < maxCachedCosts {
			costs[i] = e.cost
		}
		s.costLimit = min(s.costLimit, e.cost+costTolerance)
	}
	var picks [2]int
	nearCount := 0
	for i := range cs {
		if i < maxCachedCosts && costs[i] > s.costLimit || i >= maxCachedCosts && s.estimate(&cs[i]).cost > s.costLimit {
			continue
		}
		nearCount++
		if nearCount <= len(picks) {
			picks[nearCount-1] = i
		} else if j := rng.IntN(nearCount); j < len(picks) {
			picks[j] = i
		}
	}
	if nearCount > 1 && rng.IntN(len(picks)) == 0 { // reservoir sampling doesn't randomize the order of the picks
		picks[0], picks[1] = picks[1], picks[0]
	}
	index := picks[0]
	best := s.estimate(&cs[index])
	if nearCount > 1 {
		if second := s.estimate(&cs[picks[1]]); second.cost < best.cost {
			best, index = second, picks[1]
		}
	}
	return routing.Choice{Index: index, EstimatedTTFT: time.Duration(best.ttft * float64(time.Second)), FetchPrefix: best.fetchPrefix}
}

// estimate returns the cost of a candidate as defined in docs/design.md, section
// 9.4. It stops early when network latency and wait alone exceed the limit.
func (s *scorer) estimate(c *routing.Candidate) (e estimate) {
	wait := s.medianWait
	if s.fresh(c) {
		wait = s.queueWait(c)
	}
	wait += float64(c.OwnTokens) * s.prefillPerToken
	if lowerBound := wait + seconds(c.HopLatency); lowerBound > s.costLimit {
		return estimate{ttft: lowerBound, cost: lowerBound}
	}
	prefillTime := max(0, s.promptTokens-float64(c.EnginePrefixTokens)) * s.prefillPerToken
	kvTime := prefillTime
	if s.useStore && c.StorePrefixTokens > c.EnginePrefixTokens && c.FetchRate > 0 {
		remainingPrefill := max(0, s.promptTokens-float64(c.StorePrefixTokens)) * s.prefillPerToken
		fetchTime := seconds(c.FetchWait) + float64(c.StorePrefixTokens-c.EnginePrefixTokens)*s.kvBytesPerToken/c.FetchRate + remainingPrefill
		if fetchTime < kvTime {
			kvTime, prefillTime, e.fetchPrefix = fetchTime, remainingPrefill, true
		}
	}
	e.ttft = seconds(c.HopLatency) + wait + kvTime
	e.cost = e.ttft
	if busy := c.Running + c.Waiting + c.OwnInFlight; busy > 0 {
		e.cost += s.interferenceWeight * prefillTime * float64(busy) / float64(max(1, c.Slots))
	}
	if c.Suspect {
		e.cost += s.suspectPenalty
	}
	return e
}

func (s *scorer) fresh(c *routing.Candidate) bool { return c.ReportAge >= 0 && c.ReportAge < s.maxAge }

// queueWait returns the expected wait in seconds from the last report: for the
// remaining prefill tokens, and for a slot when none is free.
func (s *scorer) queueWait(c *routing.Candidate) float64 {
	age := seconds(c.ReportAge)
	wait := max(0, float64(c.QueuedTokens)*s.prefillPerToken-age)
	if slotsNeeded := c.Running + c.Waiting + c.OwnInFlight - c.Slots + 1; slotsNeeded > 0 {
		wait += max(0, float64(slotsNeeded)*seconds(c.SlotTime)/float64(max(1, c.Slots))-age)
	}
	return wait
}

// maxWaitSamples is the maximum number of candidates in the sample for the median,
// which bounds the work of a decision. An approximate median is sufficient, since
// endpoints without a report are rare.
const maxWaitSamples = 33

// sampleMedianWait returns the median wait over an evenly spaced sample of the
// candidates, skipping those without a fresh report. It returns zero when no
// sampled candidate has one.
func (s *scorer) sampleMedianWait(cs []routing.Candidate) float64 {
	var sorted [maxWaitSamples]float64
	n := 0
	stride := max(1, (len(cs)+maxWaitSamples-1)/maxWaitSamples)
	for i := 0; i < len(cs) && n < maxWaitSamples; i += stride {
		if !s.fresh(&cs[i]) {
			continue
		}
		w := s.queueWait(&cs[i])
		j := n
		for ; j > 0 && sorted[j-1] > w; j-- {
			sorted[j] = sorted[j-1]
		}
		sorted[j] = w
		n++
	}
	return sorted[n/2]
}
