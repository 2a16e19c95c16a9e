package prefixcost

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/routing"
)

const seed = 7

func newRand() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

func request() *routing.Request {
	return &routing.Request{PromptTokens: 8192, MaxTokens: 200, PrefillRate: 10_000, KVBytesPerToken: 65_536}
}

// candidates returns n equal candidates, each modified by change unless it is nil.
func candidates(n int, change func(i int, c *routing.Candidate)) []routing.Candidate {
	cs := make([]routing.Candidate, n)
	for i := range cs {
		cs[i] = routing.Candidate{Endpoint: fmt.Sprintf("e%03d", i), Slots: 64, SlotTime: 5 * time.Second, FetchRate: 5e9}
		if change != nil {
			change(i, &cs[i])
		}
	}
	return cs
}

// Guards against a cost term that is ignored: in each case all candidates but one
// are worse in exactly the term under test.
func TestEachCostTermAffectsChoice(t *testing.T) {
	const n, want = 12, 5
	for name, worse := range map[string]func(c *routing.Candidate){
		"reported queue wait":     func(c *routing.Candidate) { c.QueuedTokens, c.AheadTokens = 5000, 5000 },
		"own recent choices":      func(c *routing.Candidate) { c.OwnTokens = 5000 },
		"occupied slots":          func(c *routing.Candidate) { c.Running, c.Waiting = 64, 20 },
		"hop":                     func(c *routing.Candidate) { c.HopLatency = 100 * time.Millisecond },
		"suspect":                 func(c *routing.Candidate) { c.Suspect = true },
		"prefix in the engine":    func(c *routing.Candidate) { c.EnginePrefixTokens = 0 },
		"prefix in the store":     func(c *routing.Candidate) { c.EnginePrefixTokens, c.StorePrefixTokens = 0, 0 },
		"link wait":               func(c *routing.Candidate) { c.EnginePrefixTokens, c.FetchWait = 0, 300*time.Millisecond },
		"link down":               func(c *routing.Candidate) { c.EnginePrefixTokens, c.FetchRate = 0, 0 },
		"cost put on others":      func(c *routing.Candidate) { c.EnginePrefixTokens, c.StorePrefixTokens, c.Running = 4096, 0, 60 },
		"outdated report":         func(c *routing.Candidate) { c.QueuedTokens = 6000 },
		"median without a report": func(c *routing.Candidate) { c.QueuedTokens, c.AheadTokens = 9000, 9000 },
	} {
		t.Run(name, func(t *testing.T) {
			cs := candidates(n, func(i int, c *routing.Candidate) {
				c.EnginePrefixTokens, c.StorePrefixTokens = 8192, 8192
				switch name {
				case "prefix in the store", "link wait", "link down":
					c.EnginePrefixTokens = 0
				case "cost put on others":
					c.EnginePrefixTokens, c.StorePrefixTokens = 4096, 0
				}
				if i != want {
					worse(c)
				}
			})
			if name == "outdated report" {
				cs[0].QueuedTokens, cs[0].ReportAge = 0, 5*time.Second // other entries may have added work since
			}
			if name == "median without a report" {
				cs[0].ReportAge = -1 // the zero load fields must be ignored
				cs[0].QueuedTokens, cs[0].AheadTokens = 0, 0
			}
			rng := newRand()
			for range 20 {
				require.Equal(t, want, New(Options{}).Choose(request(), cs, rng).Index, "seed %d", seed)
			}
		})
	}
}

// Guards against failing, or always choosing the first endpoint, when no report
// has arrived yet.
func TestChoiceWithoutReports(t *testing.T) {
	cs := candidates(12, func(_ int, c *routing.Candidate) { c.ReportAge = -1 })
	rng, seen := newRand(), map[int]bool{}
	for range 500 {
		seen[New(Options{}).Choose(request(), cs, rng).Index] = true
	}
	require.Len(t, seen, 12, "seed %d", seed)
	require.Equal(t, -1, New(Options{}).Choose(request(), nil, rng).Index)
}

// Guards against a thundering herd: 24 entries with the same outdated load data on
// 830 endpoints must not all choose one that is cheaper only by less than the
// resolution of the estimate.
func TestNearEqualCandidatesAreChosenEvenly(t *testing.T) {
	cs := candidates(830, func(i int, c *routing.Candidate) {
		c.EnginePrefixTokens = 0
		c.QueuedTokens = 20 + i%50
		c.AheadTokens = c.QueuedTokens
	})
	cs[400].QueuedTokens, cs[400].AheadTokens = 0, 0
	chosen := map[int]int{}
	for entry := range 24 {
		chosen[New(Options{}).Choose(request(), cs, rand.New(rand.NewPCG(seed, uint64(entry)))).Index]++
	}
	for i, n := range chosen {
		require.LessOrEqual(t, n, 3, "entries on endpoint %d, seed %d", i, seed)
	}
}

// Guards against skipping an import because its estimated time is slightly too
// high, and against requesting one that is much slower than recomputing or that
// needs a link that is down.
func TestFetchDecision(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration // recomputing takes 819 ms, the transfer 107 ms
		rate float64
		want bool
	}{{0, 5e9, true}, {800 * time.Millisecond, 5e9, true}, {2 * time.Second, 5e9, false}, {0, 0, false}} {
		cs := candidates(1, func(_ int, cd *routing.Candidate) {
			cd.StorePrefixTokens, cd.FetchWait, cd.FetchRate = 8192, c.wait, c.rate
		})
		require.Equal(t, c.want, New(Options{}).Choose(request(), cs, newRand()).FetchPrefix, "wait %v", c.wait)
		require.False(t, New(Options{IgnoreStore: true}).Choose(request(), cs, newRand()).FetchPrefix)
	}
}

// Guards against allocations in the routing decision, which runs for each request.
func TestChooseDoesNotAllocate(t *testing.T) {
	cs, r, rng, p := candidates(830, func(i int, c *routing.Candidate) { c.ReportAge = time.Duration(i%3 - 1) }), request(), newRand(), New(Options{})
	require.Zero(t, testing.AllocsPerRun(100, func() { p.Choose(r, cs, rng) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 100, 830} {
		for name, age := range map[string]time.Duration{"known": 0, "unknown": -1} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				cs := candidates(n, func(i int, c *routing.Candidate) {
					c.QueuedTokens, c.AheadTokens, c.EnginePrefixTokens, c.StorePrefixTokens = i*13%5000, i*13%5000, i%7*1024, 8192
					if i%2 == 0 {
						c.ReportAge = age
					}
				})
				r, rng, p := request(), newRand(), New(Options{})
				b.ReportAllocs()
				for b.Loop() {
					p.Choose(r, cs, rng)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/candidate")
			})
		}
	}
}
