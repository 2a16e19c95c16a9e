package measure

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/bench/replay"
	"github.com/galenaweir/galenaweir/bench/trace"
)

// Guards against an outcome that is never evaluated because its metric, policy or
// trace does not exist.
func TestEveryOutcomeIsEvaluated(t *testing.T) {
	rep := &Report{}
	want := 0
	for _, s := range trace.Specs() {
		result := &replay.Result{FirstTokenByClass: map[string]replay.Quantiles{"all": {}, trace.Interactive: {}, trace.Standard: {}, trace.Batch: {}}}
		for _, p := range policies() {
			rep.Runs = append(rep.Runs, Run{Trace: s.Name, Policy: p, Result: result})
		}
		outcomes, err := trace.Outcomes(s.Name)
		require.NoError(t, err)
		want += len(outcomes)
		for _, o := range outcomes {
			require.Subset(t, policies(), o.ReferencePolicies)
		}
	}
	require.NoError(t, rep.evaluateOutcomes())
	require.Len(t, rep.Outcomes, want)
}

// Guards against an outcome that is evaluated with the comparison reversed, against
// the worst baseline, or against the wrong trace.
func TestEvaluateOutcome(t *testing.T) {
	p95 := func(ms float64) *replay.Result {
		return &replay.Result{FirstTokenByClass: map[string]replay.Quantiles{"all": {P95: ms}}, LightFirstToken: replay.Quantiles{P95: ms}}
	}
	rep := &Report{Runs: []Run{
		{"a", ProductPolicy, p95(120)}, {"a", "x", p95(100)}, {"a", "y", p95(300)}, {"base", ProductPolicy, p95(90)}, {"base", "x", p95(1)},
	}}
	for name, c := range map[string]struct {
		o      trace.Outcome
		limit  float64
		met    bool
		status string
	}{
		"absolute met":      {trace.Outcome{Metric: "first_token_p95_ms", Class: "all", Max: 120}, 120, true, "met"},
		"absolute missed":   {trace.Outcome{Metric: "first_token_p95_ms", Class: "all", Max: 100}, 100, false, "missed by 20%"},
		"best of baselines": {trace.Outcome{Metric: "first_token_p95_ms", Class: "all", Max: 1, ReferencePolicies: []string{"y", "x"}}, 100, false, "missed by 20%"},
		"base trace":        {trace.Outcome{Metric: "light_first_token_p95_ms", Max: 1.5, ReferenceTrace: "base"}, 135, true, "met"},
	} {
		v, ok := rep.evaluateOutcome("a", c.o)
		require.True(t, ok, name)
		require.InDelta(t, c.limit, v.Limit, 1e-9, name)
		require.Equal(t, c.met, v.Met, name)
		require.Equal(t, c.status, v.status(), name)
	}
}

// Guards against tables that differ between runs, and against plots that cannot be
// drawn.
func TestReportIsDeterministic(t *testing.T) {
	var tables []string
	dir := t.TempDir()
	for _, jobs := range []int{1, 6} {
		rep, err := Measure(Options{Traces: []string{"guj-west-returning"}, Jobs: jobs})
		require.NoError(t, err)
		tables = append(tables, rep.Markdown())
		require.NoError(t, rep.Write(dir))
	}
	require.Equal(t, tables[0], tables[1])
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 5, "figures, table and three plots")
	_, err = Measure(Options{Traces: []string{"none"}})
	require.Error(t, err)
}
