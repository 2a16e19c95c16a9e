package metrics

import (
	"encoding/json"
	"expvar"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against output of /debug/vars that can't be parsed, and against quantiles in
// the wrong unit.
func TestRegistry(t *testing.T) {
	r := New()
	r.Counter("resumes").Add(2)
	require.Same(t, r.Counter("resumes"), r.Counter("resumes"))
	r.LabeledCounter("refusals").Add("overloaded", 1)
	r.Gauge("running", func() any { return 7 })
	for i := range 100 {
		r.DurationHistograms("first_token").Observe("batch", time.Duration(i+1)*time.Millisecond)
	}
	r.DurationHistograms("first_token").Observe("standard", time.Hour)
	var out struct {
		Resumes    int                `json:"resumes"`
		Refusals   map[string]int     `json:"refusals"`
		Running    int                `json:"running"`
		FirstToken map[string]Summary `json:"first_token"`
	}
	require.NoError(t, json.Unmarshal([]byte(r.String()), &out))
	require.Equal(t, 2, out.Resumes)
	require.Equal(t, map[string]int{"overloaded": 1}, out.Refusals)
	require.Equal(t, 7, out.Running)
	require.EqualValues(t, 100, out.FirstToken["batch"].Count)
	require.InEpsilon(t, 50, out.FirstToken["batch"].P50Ms, 0.02)
	require.InEpsilon(t, 99, out.FirstToken["batch"].P99Ms, 0.02)
	require.InEpsilon(t, 600_000, out.FirstToken["standard"].P99Ms, 0.02)
	require.NotNil(t, expvar.Get("galenaweir"))
}
