package replay

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/galenaweir/galenaweir/core/routing"
)

// Quantiles holds the quantiles of a duration, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// LinkUse describes the traffic of one link.
type LinkUse struct {
	Store   string  `json:"store"`
	Bytes   int64   `json:"bytes"`
	MeanUse float64 `json:"mean_use"` // share of the limit
	PeakUse float64 `json:"peak_use"` // share of the limit in the second with the most traffic
}

// FaultWindow summarizes the requests that arrived while the trace's faults were active.
type FaultWindow struct {
	Requests            int       `json:"requests"`
	FirstToken          Quantiles `json:"first_token"`
	RefusedShare        float64   `json:"refused_share"`
	DeadlineMissedShare float64   `json:"deadline_missed_share"`
	RetriesPerRequest   float64   `json:"retries_per_request"`
}

// faultWindow summarizes the requests that arrived between the start of the first
// fault and the end of the last one. A fault without an end lasts until the end of
// the trace.
func (s *sim) faultWindow(end time.Duration) FaultWindow {
	if len(s.trace.Faults) == 0 {
		return FaultWindow{}
	}
	from, until := end, time.Duration(0)
	for _, f := range s.trace.Faults {
		from = min(from, millis(f.AtMs))
		until = max(until, millis(f.AtMs+f.DurationMs))
		if f.DurationMs == 0 {
			until = end
		}
	}
	var times []time.Duration
	n, refused, deadlineMissed, retries := 0, 0, 0, 0
	for _, r := range s.requests {
		if r.arrivedAt < from || r.arrivedAt >= until {
			continue
		}
		n++
		retries += r.retries
		if r.refused {
			refused++
		}
		if r.deadlineMissed {
			deadlineMissed++
		}
		if r.firstTokenAt > 0 {
			times = append(times, r.firstTokenAt-r.arrivedAt)
		}
	}
	return FaultWindow{n, quantiles(times), ratio(refused, n), ratio(deadlineMissed, n), ratio(retries, n)}
}

// Result holds the measurements of a replay. It excludes requests that arrive
// during the warm-up, except where noted.
type Result struct {
	Requests             int                  `json:"requests"`
	FirstTokenByClass    map[string]Quantiles `json:"first_token"`    // by priority class, and of all classes under "all"
	FirstTokenByCustomer map[string]Quantiles `json:"customers"`      // time to first token by customer
	LightFirstToken      Quantiles            `json:"light"`          // time to first token of all customers except the first
	BetweenTokens        Quantiles            `json:"between_tokens"` // of all classes
	BuiltBeforeTokens    int                  `json:"built_before_tokens"`
	RecomputedShare      float64              `json:"recomputed_share"`  // share of BuiltBeforeTokens that was computed again
	ExportedShare        float64              `json:"exported_share"`    // share of the contexts with new pieces at the end of a response; includes the warm-up
	UnavailableShare     float64              `json:"unavailable_share"` // share of BuiltBeforeTokens that no engine and no store held when needed
	Links                []LinkUse            `json:"links"`             // includes the warm-up
	RefusedShare         float64              `json:"refused_share"`
	LimitedShare         float64              `json:"limited_share"`         // of all requests, refused because of the customer's limit
	LightLimitedShare    float64              `json:"light_limited_share"`   // of all requests, the limited ones of all customers except the first
	DeadlineMissedShare  float64              `json:"deadline_missed_share"` // accepted, but not complete by the deadline
	RetriesPerRequest    float64              `json:"retries_per_request"`   // includes the warm-up
	DuringFaults         FaultWindow          `json:"fault"`                 // requests that arrived during the faults
	EstimateError        Quantiles            `json:"estimate_error"`        // |estimated - actual time to first token| of requests without a retry
}

// maxCustomersShown is the number of customers up to which the result lists each one.
// With more, the result stays small and covers the light customers only together, in
// LightFirstToken.
const maxCustomersShown = 20

// allClasses is the key in Result.FirstTokenByClass for the requests of all classes.
const allClasses = "all"

func quantiles(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	values := make([]float64, len(times))
	for i, t := range times {
		values[i] = float64(t) / float64(time.Millisecond)
	}
	slices.Sort(values)
	q := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, values, nil) }
	return Quantiles{len(values), q(0.5), q(0.95), q(0.99)}
}

func (s *sim) result(end time.Duration) *Result {
	res := &Result{FirstTokenByClass: map[string]Quantiles{}, FirstTokenByCustomer: map[string]Quantiles{}}
	byClass, byCustomer := map[string][]time.Duration{}, map[string][]time.Duration{}
	var between, estimateErrors, light []time.Duration
	refused, deadlineMissed, limited, lightLimited := 0, 0, 0, 0
	for _, r := range s.requests {
		if r.arrivedAt < s.warmup {
			continue
		}
		res.Requests++
		if r.refused {
			refused++
		}
		if r.limited {
			limited++
			if r.customer != s.trace.Deployment.Customers[0] {
				lightLimited++
			}
		}
		if r.deadlineMissed {
			deadlineMissed++
		}
		if r.firstTokenAt == 0 {
			continue
		}
		firstToken := r.firstTokenAt - r.arrivedAt
		byClass[r.priority] = append(byClass[r.priority], firstToken)
		byClass[allClasses] = append(byClass[allClasses], firstToken)
		byCustomer[r.customer] = append(byCustomer[r.customer], firstToken)
		if r.customer != s.trace.Deployment.Customers[0] {
			light = append(light, firstToken)
		}
		if r.outputTokens > 1 {
			between = append(between, r.tokenInterval)
		}
		if r.attempts == 1 {
			estimateErrors = append(estimateErrors, (firstToken - r.estimatedFirstToken).Abs())
		}
	}
	for k, v := range byClass {
		res.FirstTokenByClass[k] = quantiles(v)
	}
	if len(byCustomer) <= maxCustomersShown {
		for k, v := range byCustomer {
			res.FirstTokenByCustomer[k] = quantiles(v)
		}
	}
	res.LightFirstToken = quantiles(light)
	res.BetweenTokens, res.EstimateError = quantiles(between), quantiles(estimateErrors)
	res.DuringFaults = s.faultWindow(end)
	res.BuiltBeforeTokens = s.counts.builtBefore
	res.RecomputedShare = ratio(s.counts.recomputed, s.counts.builtBefore)
	res.ExportedShare = ratio(s.counts.exported, s.counts.exported+s.counts.notExported)
	res.UnavailableShare = ratio(s.counts.unavailable, s.counts.builtBefore)
	res.LimitedShare, res.LightLimitedShare = ratio(limited, res.Requests), ratio(lightLimited, res.Requests)
	res.RefusedShare, res.DeadlineMissedShare = ratio(refused, res.Requests), ratio(deadlineMissed, res.Requests)
	res.RetriesPerRequest = ratio(s.retryCount, len(s.requests))
	for _, st := range s.stores {
		mean, peak := st.link.utilization(end)
		res.Links = append(res.Links, LinkUse{st.id, int64(st.link.movedBytes), mean, peak})
	}
	return res
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Decision is a line of the decision log, in the format of the entry's log.
type Decision struct {
	AtMs         float64             `json:"at_ms"`
	Decision     string              `json:"decision"`
	Request      int                 `json:"request"`
	Customer     string              `json:"customer"`
	PromptTokens int                 `json:"prompt_tokens"`
	Endpoint     string              `json:"endpoint"`
	EstimateMs   float64             `json:"estimate"`
	Fetch        bool                `json:"fetch"`
	Candidates   []routing.Candidate `json:"candidates"`
	Message      string              `json:"message"`
}

func newDecision(e *entry, r *request, c routing.Choice, cs []routing.Candidate) Decision {
	return Decision{
		AtMs: float64(e.sim.clock.now) / float64(time.Millisecond), Decision: "route", Request: r.index, Customer: r.customer,
		PromptTokens: r.promptTokens, Endpoint: cs[c.Index].Endpoint, EstimateMs: float64(c.EstimatedTTFT) / float64(time.Millisecond),
		Fetch: c.FetchPrefix, Candidates: slices.Clone(cs), Message: "routed",
	}
}
