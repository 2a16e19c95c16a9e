package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simDuration   = 2 * time.Minute
	simStep       = 10 * time.Millisecond
	requestTokens = 100 // tokens per request
)

var testLimit = Limit{TokensPerSecond: 5000, BurstTokens: 10_000}

// networkModel describes the loss and delay of reports.
type networkModel struct {
	name     string
	loss     float64       // share of the reports that are lost
	maxDelay time.Duration // upper bound of the delay
}

var networks = []networkModel{
	{"good", 0, 200 * time.Millisecond}, {"a third lost", 0.33, 200 * time.Millisecond},
	{"late", 0, 5 * time.Second}, {"lost and late", 0.33, 3 * time.Second}, {"all lost", 1, 0},
}

type pendingReport struct {
	at, sent time.Time
	to       int
	demands  []Demand
}

// simulate offers ten times the limit, unevenly distributed over the entries, and
// returns the number of tokens granted.
func simulate(entries int, n networkModel, seed uint64) (granted float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(0, 0)
	var ids []string
	var ls []*Limiter
	weights, sum := make([]float64, entries), 0.0
	for i := range entries {
		ids = append(ids, fmt.Sprint("entry-", i))
		ls = append(ls, New(ids[i]))
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	for _, l := range ls {
		l.SetEntries(ids)
	}
	var pending []pendingReport
	for step := range int(simDuration / simStep) {
		now = now.Add(simStep)
		undelivered := pending[:0]
		for _, d := range pending {
			if d.at.After(now) {
				undelivered = append(undelivered, d)
				continue
			}
			ls[d.to].ApplyReports(d.demands, d.sent)
		}
		pending = undelivered
		for i, l := range ls {
			offered := 10 * testLimit.TokensPerSecond * simStep.Seconds() * weights[i] / sum
			for ; rng.Float64()*requestTokens < offered; offered -= requestTokens {
				if ok, _ := l.Take("c", testLimit, requestTokens, now); ok {
					granted += requestTokens
				}
			}
			if (step+i*17)%int(ReportInterval/simStep) == 0 {
				report := l.Report(now)
				for j := range ls {
					if j != i && rng.Float64() >= n.loss {
						pending = append(pending, pendingReport{now.Add(time.Duration(rng.Float64() * float64(n.maxDelay))), now, j, report})
					}
				}
			}
		}
	}
	return granted
}

// overrun returns the tokens granted in excess of the limit and one burst, as a share
// of the two.
func overrun(entries int, n networkModel, seed uint64) float64 {
	return simulate(entries, n, seed)/(testLimit.TokensPerSecond*simDuration.Seconds()+testLimit.BurstTokens) - 1
}

// TestOverrunIsBounded guards against granting more than the limit, one burst per
// entry and the rate during twice the report delay, however many reports are lost or
// late (section 9.5 of the design). It also guards against granting much less than
// the limit although reports arrive.
func TestOverrunIsBounded(t *testing.T) {
	for _, entries := range []int{1, 4, 24} {
		for _, n := range networks {
			const seed = 3
			got := simulate(entries, n, seed)
			delay := demandSettleTime + n.maxDelay
			bound := testLimit.TokensPerSecond*(simDuration+2*delay).Seconds() + float64(entries)*testLimit.BurstTokens
			require.LessOrEqual(t, got, bound, "%d entries, %s, seed %d", entries, n.name, seed)
			if n.loss < 1 {
				require.GreaterOrEqual(t, got, 0.9*testLimit.TokensPerSecond*simDuration.Seconds(), "%d entries, %s, seed %d", entries, n.name, seed)
			}
		}
	}
}

// TestSingleEntryGetsFullLimit guards against a customer that uses only one entry and
// does not get its full limit there after the others have reported no demand.
func TestSingleEntryGetsFullLimit(t *testing.T) {
	l, now := New("a"), time.Unix(0, 0)
	l.SetEntries([]string{"a", "b", "c"})
	var granted float64
	for i := range int(simDuration / simStep) {
		if i == int(demandSettleTime/simStep) {
			require.LessOrEqual(t, granted, testLimit.BurstTokens+testLimit.TokensPerSecond*demandSettleTime.Seconds()/2, "other entries may have the same new demand")
		}
		now = now.Add(simStep)
		l.ApplyReports([]Demand{{Entry: "b"}, {Entry: "c"}}, now)
		if ok, _ := l.Take("c", testLimit, requestTokens, now); ok {
			granted += requestTokens
		}
	}
	require.InEpsilon(t, testLimit.TokensPerSecond*simDuration.Seconds(), granted, 0.05)
}

// TestRetryAfterAndRefund guards against a rejected caller that is rejected again
// after the returned delay, also after a request larger than the burst, and against
// refunds that exceed the burst.
func TestRetryAfterAndRefund(t *testing.T) {
	l, now := New("a"), time.Unix(0, 0)
	ok, _ := l.Take("c", testLimit, 3*testLimit.BurstTokens, now)
	require.True(t, ok)
	ok, wait := l.Take("c", testLimit, requestTokens, now)
	require.False(t, ok)
	require.Equal(t, 4020*time.Millisecond, wait)
	ok, _ = l.Take("c", testLimit, requestTokens, now.Add(wait-time.Millisecond))
	require.False(t, ok)
	ok, _ = l.Take("c", testLimit, requestTokens, now.Add(wait))
	require.True(t, ok)
	late := now.Add(time.Hour / 2)
	ok, _ = l.Take("c", testLimit, testLimit.BurstTokens, late)
	require.True(t, ok)
	ok, _ = l.Take("c", testLimit, requestTokens, late)
	require.False(t, ok, "an idle customer accumulates at most one burst")
	l.Refund("c", 5*testLimit.BurstTokens)
	require.Equal(t, testLimit.BurstTokens, l.buckets["c"].tokens)
	l.Report(now.Add(time.Hour))
	require.Empty(t, l.buckets, "idle buckets are removed")
}

// TestDemandReports guards against an old demand that a reordered report restores, and
// against reports without a size limit.
func TestDemandReports(t *testing.T) {
	l, now := New("a"), time.Unix(100, 0)
	l.SetEntries([]string{"a", "b"})
	l.ApplyReports([]Demand{{"b", "c", 1}}, now)
	l.ApplyReports([]Demand{{"b", "c", 9}}, now.Add(-time.Second))
	require.InDelta(t, 1, l.peers["b"].demand["c"], 0)
	l.SetEntries([]string{"a"})
	require.Empty(t, l.peers)
	for i := range 2 * MaxReportLength {
		l.Take(fmt.Sprint(i), testLimit, float64(5000+i), now)
	}
	report := l.Report(now)
	require.Len(t, report, MaxReportLength)
	require.Equal(t, Demand{Entry: "a"}, report[0])
	require.Equal(t, fmt.Sprint(2*MaxReportLength-1), report[1].Customer, "highest demand first")
}

// BenchmarkOverrun measures the figures in docs/decisions/0006-fairness.md.
func BenchmarkOverrun(b *testing.B) {
	for _, entries := range []int{1, 4, 24} {
		for _, n := range networks {
			b.Run(fmt.Sprintf("entries=%d/%s", entries, n.name), func(b *testing.B) {
				var o float64
				for b.Loop() {
					o = overrun(entries, n, 3)
				}
				b.ReportMetric(o*100, "%overrun")
			})
		}
	}
}
