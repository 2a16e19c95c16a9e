package replay

import (
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/galenaweir/galenaweir/core/routing"
)

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// LinkUse is what one link carried.
type LinkUse struct {
	Store string  `json:"store"`
	Bytes int64   `json:"bytes"`
	Mean  float64 `json:"mean_use"` // of the limit
	Peak  float64 `json:"peak_use"` // in the second with the highest use
}

// Window is what a part of the requests met with.
type Window struct {
	Requests   int       `json:"requests"`
	FirstToken Quantiles `json:"first_token"`
	Refused    float64   `json:"refused_share"`
	Missed     float64   `json:"deadline_missed_share"`
	Retries    float64   `json:"retries_per_request"`
}

// window measures the requests from the first fault's begin to the last one's
// end. A fault without an end counts until the trace's.
func (s *sim) window(end time.Duration) Window {
	if len(s.t.Faults) == 0 {
		return Window{}
	}
	from, until := end, time.Duration(0)
	for _, f := range s.t.Faults {
		from = min(from, millis(f.AtMs))
		until = max(until, millis(f.AtMs+f.ForMs))
		if f.ForMs == 0 {
			until = end
		}
	}
	var times []time.Duration
	n, refused, missed, retries := 0, 0, 0, 0
	for _, r := range s.requests {
		if r.at < from || r.at >= until {
			continue
		}
		n++
		retries += r.retries
		if r.refused {
			refused++
		}
		if r.missed {
			missed++
		}
		if r.firstAt > 0 {
			times = append(times, r.firstAt-r.at)
		}
	}
	return Window{n, quantiles(times), share(refused, n), share(missed, n), share(retries, n)}
}

// Result is what a replay measured, without the warm-up.
type Result struct {
	Requests      int                  `json:"requests"`
	FirstToken    map[string]Quantiles `json:"first_token"`    // by class, and "all"
	Customers     map[string]Quantiles `json:"customers"`      // first token by customer
	Light         Quantiles            `json:"light"`          // first token of all customers but the first
	BetweenTokens Quantiles            `json:"between_tokens"` // all classes
	BuiltBefore   int                  `json:"built_before_tokens"`
	Recomputed    float64              `json:"recomputed_share"`  // of the tokens that had been built before
	Exported      float64              `json:"exported_share"`    // of the contexts with new pieces at an answer's end, whole trace
	Unavailable   float64              `json:"unavailable_share"` // of these, held nowhere any more
	Links         []LinkUse            `json:"links"`
	Refused       float64              `json:"refused_share"`
	Limited       float64              `json:"limited_share"`         // of all, refused by the customer's limit
	LightLimited  float64              `json:"light_limited_share"`   // of all, by a limit of another than the first customer
	Missed        float64              `json:"deadline_missed_share"` // accepted, but not whole in time
	Retries       float64              `json:"retries_per_request"`
	Fault         Window               `json:"fault"`          // the requests that arrived during the faults
	EstimateError Quantiles            `json:"estimate_error"` // |estimate - first token| of requests without a retry
}

// maxCustomersShown bounds the result; beyond, only the light ones are measured
// together.
const maxCustomersShown = 20

// all is the key of the requests of all classes.
const all = "all"

func quantiles(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	xs := make([]float64, len(times))
	for i, t := range times {
		xs[i] = float64(t) / float64(time.Millisecond)
	}
	slices.Sort(xs)
	q := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, xs, nil) }
	return Quantiles{len(xs), q(0.5), q(0.95), q(0.99)}
}

func (s *sim) result(end time.Duration) *Result {
	res := &Result{FirstToken: map[string]Quantiles{}, Customers: map[string]Quantiles{}}
	first, customers := map[string][]time.Duration{}, map[string][]time.Duration{}
	var between, errs, light []time.Duration
	refused, missed, limited, lightLimited := 0, 0, 0, 0
	for _, r := range s.requests {
		if r.at < s.warmup {
			continue
		}
		res.Requests++
		if r.refused {
			refused++
		}
		if r.limited {
			limited++
			if r.customer != s.t.Deployment.Customers[0] {
				lightLimited++
			}
		}
		if r.missed {
			missed++
		}
		if r.firstAt == 0 {
			continue
		}
		took := r.firstAt - r.at
		first[r.priority] = append(first[r.priority], took)
		first[all] = append(first[all], took)
		customers[r.customer] = append(customers[r.customer], took)
		if r.customer != s.t.Deployment.Customers[0] {
			light = append(light, took)
		}
		if r.output > 1 {
			between = append(between, r.interval)
		}
		if r.tries == 1 {
			errs = append(errs, (took - r.estimated).Abs())
		}
	}
	for k, v := range first {
		res.FirstToken[k] = quantiles(v)
	}
	if len(customers) <= maxCustomersShown {
		for k, v := range customers {
			res.Customers[k] = quantiles(v)
		}
	}
	res.Light = quantiles(light)
	res.BetweenTokens, res.EstimateError = quantiles(between), quantiles(errs)
	res.Fault = s.window(end)
	res.BuiltBefore = s.count.had
	res.Recomputed = share(s.count.recomputed, s.count.had)
	res.Exported = share(s.count.exported, s.count.exported+s.count.kept)
	res.Unavailable = share(s.count.unavailable, s.count.had)
	res.Limited, res.LightLimited = share(limited, res.Requests), share(lightLimited, res.Requests)
	res.Refused, res.Missed = share(refused, res.Requests), share(missed, res.Requests)
	res.Retries = share(s.retries, len(s.requests))
	for _, st := range s.stores {
		mean, peak := st.link.use(end)
		res.Links = append(res.Links, LinkUse{st.id, int64(st.link.moved), mean, peak})
	}
	return res
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Decision is a line of the decision log, in the shape of the entry's.
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

func decision(e *entry, r *request, c routing.Choice, cs []routing.Candidate) Decision {
	return Decision{
		AtMs: float64(e.s.c.now) / float64(time.Millisecond), Decision: "route", Request: r.index, Customer: r.customer,
		PromptTokens: r.prompt, Endpoint: cs[c.Index].Endpoint, EstimateMs: float64(c.EstimatedTTFT) / float64(time.Millisecond),
		Fetch: c.FetchPrefix, Candidates: slices.Clone(cs), Message: "routed",
	}
}
