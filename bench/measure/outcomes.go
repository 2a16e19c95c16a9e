package measure

import (
	"fmt"
	"math"

	"github.com/galenaweir/galenaweir/bench/replay"
	"github.com/galenaweir/galenaweir/bench/trace"
)

// linkUseResolution is the number of steps between 0 and 1 to which link use is rounded.
const linkUseResolution = 1e6

// Verdict compares an expected outcome with the measured value.
type Verdict struct {
	Trace    string  `json:"trace"`
	Text     string  `json:"outcome"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
	Source   string  `json:"source"`
}

func (v Verdict) status() string {
	if v.Met {
		return "met"
	}
	if v.Limit == 0 {
		return fmt.Sprintf("missed by %.4g", v.Measured)
	}
	return fmt.Sprintf("missed by %.0f%%", percent*(v.Measured/v.Limit-1))
}

// evaluateOutcomes compares the product's results with the expected outcomes of the
// traces.
func (r *Report) evaluateOutcomes() error {
	seen := map[string]bool{}
	for _, run := range r.Runs {
		if seen[run.Trace] {
			continue
		}
		seen[run.Trace] = true
		outcomes, err := trace.Outcomes(run.Trace)
		if err != nil {
			return err
		}
		for _, o := range outcomes {
			if v, ok := r.evaluateOutcome(run.Trace, o); ok {
				r.Outcomes = append(r.Outcomes, v)
			}
		}
	}
	return nil
}

// evaluateOutcome compares the product's result on the trace with the outcome. It
// returns false if the replays or the metric that the outcome needs are missing.
func (r *Report) evaluateOutcome(traceName string, o trace.Outcome) (Verdict, bool) {
	result := r.resultOf(traceName, ProductPolicy)
	v := Verdict{Trace: traceName, Text: o.Text, Source: o.Source, Limit: o.Max}
	if result == nil {
		return v, false
	}
	var err error
	if v.Measured, err = metricValue(result, o); err != nil {
		return v, false
	}
	if len(o.ReferencePolicies) > 0 || o.ReferenceTrace != "" {
		baseTrace := traceName
		if o.ReferenceTrace != "" {
			baseTrace = o.ReferenceTrace
		}
		best, found := 0.0, false
		for _, p := range append([]string(nil), policiesOrProduct(o.ReferencePolicies)...) {
			if baseline := r.resultOf(baseTrace, p); baseline != nil {
				if measured, err := metricValue(baseline, o); err == nil && (!found || measured < best) {
					best, found = measured, true
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

func policiesOrProduct(ps []string) []string {
	if len(ps) == 0 {
		return []string{ProductPolicy}
	}
	return ps
}

// metricValue returns the value of the outcome's metric in the result.
func metricValue(result *replay.Result, o trace.Outcome) (float64, error) {
	switch o.Metric {
	case "first_token_p95_ms":
		q, ok := result.FirstTokenByClass[o.Class]
		if !ok {
			return 0, fmt.Errorf("no requests of class %q", o.Class)
		}
		return q.P95, nil
	case "between_tokens_p95_ms":
		return result.BetweenTokens.P95, nil
	case "recomputed_share":
		return result.RecomputedShare, nil
	case "refused_share":
		return result.RefusedShare, nil
	case "missed_share":
		return result.DeadlineMissedShare, nil
	case "retries_per_request":
		return result.RetriesPerRequest, nil
	case "link_peak_use":
		peak := 0.0 // rounded, since the sum of the bytes in a second has rounding errors
		for _, l := range result.Links {
			peak = max(peak, math.Round(l.PeakUse*linkUseResolution)/linkUseResolution)
		}
		return peak, nil
	case "fault_first_token_p95_ms":
		return result.DuringFaults.FirstToken.P95, nil
	case "fault_retries_per_request":
		return result.DuringFaults.RetriesPerRequest, nil
	case "light_first_token_p95_ms":
		return result.LightFirstToken.P95, nil
	}
	return 0, fmt.Errorf("unknown metric %q", o.Metric)
}
