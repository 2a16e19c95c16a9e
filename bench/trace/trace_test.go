package trace

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against traces that differ between runs or lose data when they are written
// and read, and against a heavy customer whose load changes the requests of the
// others, which the fairness metric compares.
func TestGeneratedTracesAreReproducible(t *testing.T) {
	for _, dep := range []string{"guj-west", "gt-central"} {
		even, err := FindSpec(dep + "-even")
		require.NoError(t, err)
		heavy, err := FindSpec(dep + "-heavy")
		require.NoError(t, err)
		var first, second bytes.Buffer
		require.NoError(t, Write(&first, Generate(even)))
		require.NoError(t, Write(&second, Generate(even)))
		require.True(t, bytes.Equal(first.Bytes(), second.Bytes()), "seed %d", even.seed)
		back, err := Read(&first)
		require.NoError(t, err)
		var again bytes.Buffer
		require.NoError(t, Write(&again, back))
		require.True(t, bytes.Equal(second.Bytes(), again.Bytes()), "seed %d", even.seed)

		lightEven, n := lightArrivals(Generate(even))
		lightHeavy, m := lightArrivals(Generate(heavy))
		require.Equal(t, lightEven, lightHeavy)
		require.InDelta(t, heavyLoadFactor, float64(m)/float64(n), 1, "the heavy customer's load, seed %d", heavy.seed)
	}
}

// lightArrivals returns the requests of all customers except the first, and the
// number of requests of the first.
func lightArrivals(t *Trace) (light []Arrival, heavyCount int) {
	for _, a := range t.Arrivals {
		if a.Customer == t.Deployment.Customers[0] {
			heavyCount++
			continue
		}
		a.Request = ""
		light = append(light, a)
	}
	return light, heavyCount
}

// Guards against turns whose prompt omits earlier text or that arrive before the
// previous response is complete, and against requests before the start of the trace.
func TestTurnsFollowPreviousResponse(t *testing.T) {
	s, err := FindSpec("gt-central-returning")
	require.NoError(t, err)
	last := map[string]Arrival{}
	for _, a := range Generate(s).Arrivals {
		if b, ok := last[a.Conversation]; ok {
			require.Greater(t, a.PromptTokens, b.PromptTokens+b.MaxTokens)
			require.Greater(t, a.AtMs, b.AtMs+float64(b.MaxTokens)*decodeMs)
		}
		require.GreaterOrEqual(t, a.AtMs, 0.0)
		last[a.Conversation] = a
	}
}

// Guards against a trace without expected outcomes, and against an outcome without a
// source in the design.
func TestEveryTraceHasOutcomes(t *testing.T) {
	for _, s := range Specs() {
		os, err := Outcomes(s.Name)
		require.NoError(t, err)
		require.NotEmpty(t, os, s.Name)
		require.Positive(t, s.workload().deployment.WarmupMs, "empty caches at the start would be measured in %s", s.Name)
		for _, o := range os {
			require.Regexp(t, `^design \d`, o.Source, s.Name)
			require.NotEmpty(t, o.Metric, s.Name)
		}
	}
	_, err := Outcomes("no such trace")
	require.Error(t, err)
}

// Guards against decision logs of entries that cannot be replayed. The file holds a
// deployment line and the decision lines of two entries of bench/local.
func TestReadRecordedDecisions(t *testing.T) {
	f, err := os.Open("recorded/small.jsonl")
	require.NoError(t, err)
	defer f.Close()
	tr, err := Read(f)
	require.NoError(t, err)
	require.Len(t, tr.Arrivals, 12)
	require.Zero(t, tr.Arrivals[0].AtMs)
	for i, a := range tr.Arrivals[1:] {
		require.GreaterOrEqual(t, a.AtMs, tr.Arrivals[i].AtMs)
		require.Positive(t, a.PromptTokens)
	}
	_, err = Read(bytes.NewBufferString("{\"message\":\"arrival\",\"at_ms\":\"late\"}\n"))
	require.ErrorContains(t, err, "line 1")
}
