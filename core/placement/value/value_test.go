package value

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
	_ "github.com/galenaweir/galenaweir/core/placement/baseline"
	"github.com/galenaweir/galenaweir/core/prefix"
)

const mib = 1 << 20

func candidate(change func(*placement.Candidate)) *placement.Candidate {
	c := &placement.Candidate{
		Bytes: 64 * mib, Recompute: 2 * time.Second, Return: placement.Return{Chance: 0.8, After: time.Hour},
		Link: placement.Link{BytesPerSecond: 100 * mib}, Space: placement.Space{MemoryUse: 0.5, DiskUse: 0.5},
	}
	if change != nil {
		change(c)
	}
	return c
}

// Guards against exports that cost more than they save, and against memory being
// used where disk is worth more.
func TestExport(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*placement.Candidate)
		export bool
		tier   placement.Tier
	}{
		{"likely and expensive", nil, true, placement.Memory},
		{"returns after a week", func(c *placement.Candidate) { c.Return.After = 7 * 24 * time.Hour }, true, placement.Disk},
		{"memory full", func(c *placement.Candidate) { c.Space.MemoryUse = 1 }, true, placement.Disk},
		{"never returns", func(c *placement.Candidate) { c.Return.Chance = 0 }, false, ""},
		{"cheap to recompute", func(c *placement.Candidate) { c.Recompute = 100 * time.Millisecond }, false, ""},
		{"link half used", func(c *placement.Candidate) { c.Link.Use = 0.5 }, false, ""},
		{"link busy", func(c *placement.Candidate) { c.Link.Use = 0.9 }, false, ""},
		{"link dead", func(c *placement.Candidate) { c.Link.BytesPerSecond = 0 }, false, ""},
	} {
		d := Policy{}.Export(candidate(c.change))
		require.Equal(t, c.export, d.Export, c.name)
		if c.export {
			require.Equal(t, c.tier, d.Tier, c.name)
		}
	}
}

// Guards against valuable blocks making way for others, and against drops that
// don't yield enough room.
func TestDrop(t *testing.T) {
	held := []placement.Stored{
		{Bytes: 10, Tier: placement.Memory, Value: 50}, {Bytes: 10, Tier: placement.Memory, Value: 10},
		{Bytes: 10, Tier: placement.Disk, Value: 1}, {Bytes: 10, Tier: placement.Memory, Value: 20},
	}
	for _, c := range []struct {
		bytes int64
		value time.Duration
		want  []int
	}{{10, 40, []int{1}}, {20, 80, []int{1, 3}}, {20, 30, nil}, {10, 5, nil}, {40, 4000, nil}} {
		require.Equal(t, c.want, Policy{}.Drop(held, placement.Memory, c.bytes, c.value), "%d bytes of value %d", c.bytes, c.value)
	}
	held[0].Age, held[0].After = 10*time.Hour, time.Hour
	require.Equal(t, []int{0}, Policy{}.Drop(held, placement.Memory, 10, 5), "a block that never returned loses its value")
}

// A prefetch must leave half of the link to foreground fetches.
func TestPrefetch(t *testing.T) {
	require.True(t, Policy{}.Prefetch(candidate(nil)))
	require.False(t, Policy{}.Prefetch(candidate(func(c *placement.Candidate) { c.Link.Use = 0.5 })))
	require.False(t, Policy{}.Prefetch(candidate(func(c *placement.Candidate) { c.Return.Chance = 0.5 })))
	require.False(t, Policy{}.Prefetch(candidate(func(c *placement.Candidate) { c.Recompute = 0 })))
}

// The estimate of returns must follow each customer and stay bounded in memory.
func TestReturns(t *testing.T) {
	r := placement.NewReturns(10)
	now := time.Unix(0, 0)
	for i := range 200 {
		now = now.Add(time.Minute)
		r.Ended("returns", prefix.Hash{1}, now)
		r.Ended("leaves", prefix.Hash{2, byte(i)}, now)
	}
	require.Greater(t, r.Estimate("returns").Chance, 0.8)
	require.Less(t, r.Estimate("leaves").Chance, 0.2)
	require.Less(t, r.Estimate("returns").After, 10*time.Minute)
	require.InDelta(t, 0.5, r.Estimate("unknown").Chance, 0)
}

const (
	simContexts = 4000
	simStep     = 36 * time.Second // between the ends of two contexts
	simMinGap   = 20               // steps until a return
	simMaxGap   = 400
	simMemory   = 8 << 30 // bytes
	simDisk     = 16 << 30
	simLink     = 2000 * mib
	kvPerToken  = 64 << 10
	prefillRate = 8000 // tokens per second
)

type simBlock struct {
	placement.Stored
	tokens float64
	at     int
}

// simulation plays contexts of customers with different habits against one store.
type simulation struct {
	policy             placement.Policy
	rng                *rand.Rand
	held               []simBlock // one for each context
	returns            map[int]int
	used, size         map[placement.Tier]int64
	asked, found, sent float64
}

func newSimulation(p placement.Policy, seed uint64) *simulation {
	return &simulation{
		policy: p, rng: rand.New(rand.NewPCG(seed, 0)), returns: map[int]int{}, used: map[placement.Tier]int64{},
		size: map[placement.Tier]int64{placement.Memory: simMemory, placement.Disk: simDisk},
	}
}

func (s *simulation) use(t placement.Tier) float64 { return float64(s.used[t]) / float64(s.size[t]) }

func (s *simulation) step(i int) {
	if j, ok := s.returns[i]; ok {
		s.asked += s.held[j].tokens
		if s.held[j].Tier != "" {
			s.found += s.held[j].tokens
		}
	}
	chance := []float64{0.05, 0.3, 0.95}[i%3]
	tokens := float64(prefix.PieceTokens * (1 + s.rng.IntN(16)))
	gap := simMinGap + s.rng.IntN(simMaxGap-simMinGap)
	if s.rng.Float64() < chance {
		for s.returns[i+gap] != 0 {
			gap++
		}
		s.returns[i+gap] = i
	}
	b := simBlock{tokens: tokens, at: i}
	c := &placement.Candidate{
		Bytes: int64(tokens) * kvPerToken, Recompute: time.Duration(tokens / prefillRate * float64(time.Second)),
		Return: placement.Return{Chance: chance, After: (simMinGap + simMaxGap) / 2 * simStep},
		Link:   placement.Link{BytesPerSecond: simLink},
		Space:  placement.Space{MemoryUse: s.use(placement.Memory), DiskUse: s.use(placement.Disk)},
	}
	if d := s.policy.Export(c); d.Export && s.fits(c, d, i) {
		b.Stored = placement.Stored{Bytes: c.Bytes, Tier: d.Tier, Value: d.Value, After: c.Return.After}
		s.used[d.Tier] += c.Bytes
		s.sent += float64(c.Bytes)
	}
	s.held = append(s.held, b)
}

// fits makes way for a block if needed, as the policy says.
func (s *simulation) fits(c *placement.Candidate, d placement.Decision, i int) bool {
	lack := s.used[d.Tier] + c.Bytes - s.size[d.Tier]
	if lack <= 0 {
		return true
	}
	all := make([]placement.Stored, len(s.held))
	for j, h := range s.held {
		all[j] = h.Stored
		all[j].Age = time.Duration(i-h.at) * simStep
	}
	victims := s.policy.Drop(all, d.Tier, lack, d.Value)
	for _, j := range victims {
		s.used[d.Tier] -= s.held[j].Bytes
		s.held[j].Stored = placement.Stored{}
	}
	return victims != nil
}

// BenchmarkPolicies gives the figures of docs/decisions/0005-placement.md.
func BenchmarkPolicies(b *testing.B) {
	for _, id := range kernel.IDs("placement") {
		b.Run(string(id), func(b *testing.B) {
			p, err := kernel.New[placement.Policy](id)
			require.NoError(b, err)
			var s *simulation
			for b.Loop() {
				s = newSimulation(p, 1)
				for i := range simContexts {
					s.step(i)
				}
			}
			b.ReportMetric((1-s.found/s.asked)*100, "%recomputed")
			b.ReportMetric(s.sent/1024/max(1, s.found), "KiB-moved/token-saved")
		})
	}
}
