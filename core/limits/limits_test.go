package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simTime = 2 * time.Minute
	simStep = 10 * time.Millisecond
	request = 100 // tokens
)

var limit = Limit{TokensPerSecond: 5000, BurstTokens: 10_000}

// network says how reports travel.
type network struct {
	name string
	loss float64
	late time.Duration // at most
}

var networks = []network{
	{"good", 0, 200 * time.Millisecond}, {"a third lost", 0.33, 200 * time.Millisecond},
	{"late", 0, 5 * time.Second}, {"lost and late", 0.33, 3 * time.Second}, {"all lost", 1, 0},
}

type delivery struct {
	at, sent time.Time
	to       int
	usages   []Usage
}

// simulate offers ten times the limit, unevenly spread over the entries, and
// returns the tokens granted.
func simulate(entries int, n network, seed uint64) (granted float64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(0, 0)
	var ids []string
	var ls []*Limits
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
	var pending []delivery
	for step := range int(simTime / simStep) {
		now = now.Add(simStep)
		kept := pending[:0]
		for _, d := range pending {
			if d.at.After(now) {
				kept = append(kept, d)
				continue
			}
			ls[d.to].Observe(d.usages, d.sent)
		}
		pending = kept
		for i, l := range ls {
			offered := 10 * limit.TokensPerSecond * simStep.Seconds() * weights[i] / sum
			for ; rng.Float64()*request < offered; offered -= request {
				if ok, _ := l.Take("c", limit, request, now); ok {
					granted += request
				}
			}
			if (step+i*17)%int(ReportInterval/simStep) == 0 {
				u := l.Report(now)
				for j := range ls {
					if j != i && rng.Float64() >= n.loss {
						pending = append(pending, delivery{now.Add(time.Duration(rng.Float64() * float64(n.late))), now, j, u})
					}
				}
			}
		}
	}
	return granted
}

// overrun returns what was granted beyond the limit and one burst, as a share.
func overrun(entries int, n network, seed uint64) float64 {
	return simulate(entries, n, seed)/(limit.TokensPerSecond*simTime.Seconds()+limit.BurstTokens) - 1
}

// Section 9.5: the overshoot is at most one burst for each entry and what passes
// during the delay of two reports, however many reports are lost or late; and the
// limit is granted, not a fraction of it, when reports arrive.
func TestOverrunIsBounded(t *testing.T) {
	for _, entries := range []int{1, 4, 24} {
		for _, n := range networks {
			const seed = 3
			got := simulate(entries, n, seed)
			delay := settleTime + n.late
			bound := limit.TokensPerSecond*(simTime+2*delay).Seconds() + float64(entries)*limit.BurstTokens
			require.LessOrEqual(t, got, bound, "%d entries, %s, seed %d", entries, n.name, seed)
			if n.loss < 1 {
				require.GreaterOrEqual(t, got, 0.9*limit.TokensPerSecond*simTime.Seconds(), "%d entries, %s, seed %d", entries, n.name, seed)
			}
		}
	}
}

// A customer that uses one entry gets its whole limit there, once the others have
// said that they see no demand.
func TestOneEntryGetsTheWholeLimit(t *testing.T) {
	l, now := New("a"), time.Unix(0, 0)
	l.SetEntries([]string{"a", "b", "c"})
	var granted float64
	for i := range int(simTime / simStep) {
		if i == int(settleTime/simStep) {
			require.LessOrEqual(t, granted, limit.BurstTokens+limit.TokensPerSecond*settleTime.Seconds()/2, "others may see the same new demand")
		}
		now = now.Add(simStep)
		l.Observe([]Usage{{Entry: "b"}, {Entry: "c"}}, now)
		if ok, _ := l.Take("c", limit, request, now); ok {
			granted += request
		}
	}
	require.InEpsilon(t, limit.TokensPerSecond*simTime.Seconds(), granted, 0.05)
}

// A refused caller that waits as long as it was told is granted its tokens, also
// when the request is larger than the burst; unused tokens are given back.
func TestRetryAfterAndRefund(t *testing.T) {
	l, now := New("a"), time.Unix(0, 0)
	ok, _ := l.Take("c", limit, 3*limit.BurstTokens, now)
	require.True(t, ok)
	ok, wait := l.Take("c", limit, request, now)
	require.False(t, ok)
	require.Equal(t, 4020*time.Millisecond, wait)
	ok, _ = l.Take("c", limit, request, now.Add(wait-time.Millisecond))
	require.False(t, ok)
	ok, _ = l.Take("c", limit, request, now.Add(wait))
	require.True(t, ok)
	late := now.Add(time.Hour / 2)
	ok, _ = l.Take("c", limit, limit.BurstTokens, late)
	require.True(t, ok)
	ok, _ = l.Take("c", limit, request, late)
	require.False(t, ok, "an idle customer saves up one burst, not more")
	l.Refund("c", 5*limit.BurstTokens)
	require.Equal(t, limit.BurstTokens, l.buckets["c"].level)
	l.Report(now.Add(time.Hour))
	require.Empty(t, l.buckets, "idle customers are forgotten")
}

// Reordered reports must not bring back an old demand, and a report is bounded.
func TestReports(t *testing.T) {
	l, now := New("a"), time.Unix(100, 0)
	l.SetEntries([]string{"a", "b"})
	l.Observe([]Usage{{"b", "c", 1}}, now)
	l.Observe([]Usage{{"b", "c", 9}}, now.Add(-time.Second))
	require.InDelta(t, 1, l.peers["b"].demand["c"], 0)
	l.SetEntries([]string{"a"})
	require.Empty(t, l.peers)
	for i := range 2 * MaxReported {
		l.Take(fmt.Sprint(i), limit, float64(5000+i), now)
	}
	u := l.Report(now)
	require.Len(t, u, MaxReported)
	require.Equal(t, Usage{Entry: "a"}, u[0])
	require.Equal(t, fmt.Sprint(2*MaxReported-1), u[1].Customer, "heaviest first")
}

// BenchmarkOverrun gives the figures of docs/decisions/0006-fairness.md.
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
