package measure

import (
	"fmt"
	"math"

	"github.com/galenaweir/galenaweir/bench/replay"
	"github.com/galenaweir/galenaweir/bench/trace"
)

const linkResolution = 1e6

// Verdict compares one stated outcome with what was measured.
type Verdict struct {
	Trace    string  `json:"trace"`
	Text     string  `json:"outcome"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
	Source   string  `json:"source"`
}

func (v Verdict) verdict() string {
	if v.Met {
		return "met"
	}
	if v.Limit == 0 {
		return fmt.Sprintf("missed by %.4g", v.Measured)
	}
	return fmt.Sprintf("missed by %.0f%%", percent*(v.Measured/v.Limit-1))
}

// judge compares the product's results with the traces' stated outcomes.
func (r *Report) judge() error {
	seen := map[string]bool{}
	for _, run := range r.Runs {
		if seen[run.Trace] {
			continue
		}
		seen[run.Trace] = true
		os, err := trace.Outcomes(run.Trace)
		if err != nil {
			return err
		}
		for _, o := range os {
			if v, ok := r.verdict(run.Trace, o); ok {
				r.Outcomes = append(r.Outcomes, v)
			}
		}
	}
	return nil
}

// verdict is false when a replay that the outcome refers to wasn't run.
func (r *Report) verdict(name string, o trace.Outcome) (Verdict, bool) {
	x := r.find(name, Product)
	v := Verdict{Trace: name, Text: o.Text, Source: o.Source, Limit: o.Max}
	if x == nil {
		return v, false
	}
	var err error
	if v.Measured, err = value(x, o); err != nil {
		return v, false
	}
	if len(o.Policies) > 0 || o.BaseTrace != "" {
		other := name
		if o.BaseTrace != "" {
			other = o.BaseTrace
		}
		best, found := 0.0, false
		for _, p := range append([]string(nil), orProduct(o.Policies)...) {
			if y := r.find(other, p); y != nil {
				if w, err := value(y, o); err == nil && (!found || w < best) {
					best, found = w, true
				}
			}
		}
		if !found {
			return v, false
		}
		v.Limit = o.Max * best
	}
	v.Met = v.Measured <= v.Limit
	return v, true
}

func orProduct(ps []string) []string {
	if len(ps) == 0 {
		return []string{Product}
	}
	return ps
}

// value reads the figure that an outcome is about.
func value(x *replay.Result, o trace.Outcome) (float64, error) {
	switch o.Metric {
	case "first_token_p95_ms":
		q, ok := x.FirstToken[o.Class]
		if !ok {
			return 0, fmt.Errorf("no request of class %q", o.Class)
		}
		return q.P95, nil
	case "between_tokens_p95_ms":
		return x.BetweenTokens.P95, nil
	case "recomputed_share":
		return x.Recomputed, nil
	case "refused_share":
		return x.Refused, nil
	case "missed_share":
		return x.Missed, nil
	case "retries_per_request":
		return x.Retries, nil
	case "link_peak_use":
		peak := 0.0 // rounded, since bytes of a second add up with rounding errors
		for _, l := range x.Links {
			peak = max(peak, math.Round(l.Peak*linkResolution)/linkResolution)
		}
		return peak, nil
	case "fault_first_token_p95_ms":
		return x.Fault.FirstToken.P95, nil
	case "fault_retries_per_request":
		return x.Fault.Retries, nil
	case "light_first_token_p95_ms":
		return x.Light.P95, nil
	}
	return 0, fmt.Errorf("no metric is called %q", o.Metric)
}
