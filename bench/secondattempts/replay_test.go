package secondattempts

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	replayShare = 0.05
	replaySeeds = 20 // each draws other times for the second attempts
)

// Compares the ways weighed in docs/decisions/0020-second-attempts.md; go test -v prints the table.
// Guards against a choice that is no better than no second attempts at the 99th percentile, or that
// makes more of them than its share.
func TestWaysWithRecordedTimes(t *testing.T) {
	f, err := os.Open("testdata/forwardsoak-seed1.csv")
	require.NoError(t, err)
	defer f.Close()
	all, err := Read(f)
	require.NoError(t, err)
	none := Way{Name: "none", None: true}
	lateness := Way{Name: "p95 of lateness"}
	ways := []Way{
		none, {Name: "fixed 50 ms", Fixed: 50 * time.Millisecond}, {Name: "fixed 200 ms", Fixed: 200 * time.Millisecond},
		{Name: "p95 of the route", Route: true}, lateness, {Name: "p95 of lateness, move the first", Move: true}, {Name: "p95 of lateness, both run", KeepBoth: true},
	}
	for _, route := range []string{"/stream/r/", "/read/"} {
		t.Run(route, func(t *testing.T) {
			var samples []Sample
			for _, s := range all {
				if s.Route == route {
					samples = append(samples, s)
				}
			}
			byName := map[string]Result{}
			for _, w := range ways {
				r := replayAll(samples, w)
				byName[w.Name] = r
				t.Log(describe(w.Name, &r))
			}
			before, chosen := byName[none.Name], byName[lateness.Name]
			require.Less(t, chosen.Quantile(0.99), before.Quantile(0.99))
			require.LessOrEqual(t, float64(chosen.Sent), replayShare*float64(len(chosen.Times)))
			require.NotZero(t, chosen.Won)
		})
	}
}

// replayAll replays the samples with all seeds and joins the results.
func replayAll(samples []Sample, w Way) Result {
	var out Result
	for seed := range uint64(replaySeeds) {
		r := Replay(samples, w, replayShare, seed)
		out.Times = append(out.Times, r.Times...)
		out.Sent += r.Sent
		out.Won += r.Won
		out.ExtraTokens += r.ExtraTokens
		out.PrefillTokens += r.PrefillTokens
		out.ExtraRunning += r.ExtraRunning
		out.TotalRunning += r.TotalRunning
	}
	slices.Sort(out.Times)
	return out
}

func describe(name string, r *Result) string {
	ms := func(q float64) float64 { return float64(r.Quantile(q)) / float64(time.Millisecond) }
	share := func(part, whole float64) float64 { return 100 * part / max(whole, 1) }
	return fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.2f%% | %.2f%% |", name, ms(0.5), ms(0.95), ms(0.99), ms(0.999),
		share(float64(r.Sent), float64(len(r.Times))), share(float64(r.Won), float64(len(r.Times))), share(float64(r.ExtraTokens), float64(r.PrefillTokens)), share(float64(r.ExtraRunning), float64(r.TotalRunning)))
}
