package value

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/prefix"
)

const mib = 1 << 20

func newCandidate(change func(*placement.Candidate)) *placement.Candidate {
	c := &placement.Candidate{
		Bytes: 64 * mib, PrefillTime: 2 * time.Second, Return: placement.ReturnEstimate{Probability: 0.8, TimeToReturn: time.Hour},
		Link: placement.Link{BytesPerSecond: 100 * mib}, Space: placement.TierUsage{MemoryUse: 0.5, DiskUse: 0.5},
	}
	if change != nil {
		change(c)
	}
	return c
}

// Guards against exports that cost more than they save, and against using memory
// where disk has the higher net value.
func TestExport(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*placement.Candidate)
		export bool
		tier   placement.Tier
	}{
		{"likely return and expensive prefill", nil, true, placement.Memory},
		{"returns after a week", func(c *placement.Candidate) { c.Return.TimeToReturn = 7 * 24 * time.Hour }, true, placement.Disk},
		{"memory full", func(c *placement.Candidate) { c.Space.MemoryUse = 1 }, true, placement.Disk},
		{"never returns", func(c *placement.Candidate) { c.Return.Probability = 0 }, false, ""},
		{"cheap to recompute", func(c *placement.Candidate) { c.PrefillTime = 100 * time.Millisecond }, false, ""},
		{"link half used", func(c *placement.Candidate) { c.Link.Utilization = 0.5 }, false, ""},
		{"link busy", func(c *placement.Candidate) { c.Link.Utilization = 0.9 }, false, ""},
		{"link down", func(c *placement.Candidate) { c.Link.BytesPerSecond = 0 }, false, ""},
	} {
		d := Policy{}.Export(newCandidate(c.change))
		require.Equal(t, c.export, d.Export, c.name)
		if c.export {
			require.Equal(t, c.tier, d.Tier, c.name)
		}
	}
}

// Guards against evicting blocks for less valuable ones, and against evictions that
// don't free enough space.
func TestEvict(t *testing.T) {
	held := []placement.StoredBlock{
		{Bytes: 10, Tier: placement.Memory, Value: 50}, {Bytes: 10, Tier: placement.Memory, Value: 10},
		{Bytes: 10, Tier: placement.Disk, Value: 1}, {Bytes: 10, Tier: placement.Memory, Value: 20},
	}
	for _, c := range []struct {
		bytes int64
		value time.Duration
		want  []int
	}{{10, 40, []int{1}}, {20, 80, []int{1, 3}}, {20, 30, nil}, {10, 5, nil}, {40, 4000, nil}} {
		require.Equal(t, c.want, Policy{}.Evict(held, placement.Memory, c.bytes, c.value), "%d bytes of value %d", c.bytes, c.value)
	}
	held[0].Age, held[0].ReturnAge = 10*time.Hour, time.Hour
	require.Equal(t, []int{0}, Policy{}.Evict(held, placement.Memory, 10, 5), "a block loses value while its context does not return")
}

// Guards against prefetches over a link that foreground fetches use by half or more,
// of contexts that are not likely to return, and of pieces that take longer to fetch
// than to prefill.
func TestPrefetch(t *testing.T) {
	require.True(t, Policy{}.Prefetch(newCandidate(nil)))
	require.False(t, Policy{}.Prefetch(newCandidate(func(c *placement.Candidate) { c.Link.Utilization = 0.5 })))
	require.False(t, Policy{}.Prefetch(newCandidate(func(c *placement.Candidate) { c.Return.Probability = 0.5 })))
	require.False(t, Policy{}.Prefetch(newCandidate(func(c *placement.Candidate) { c.PrefillTime = 0 })))
}

// Guards against estimates that mix customers, and against unbounded memory use.
func TestReturns(t *testing.T) {
	r := placement.NewReturnEstimator(10)
	now := time.Unix(0, 0)
	for i := range 200 {
		now = now.Add(time.Minute)
		r.RecordEnd("returns", prefix.Hash{1}, now)
		r.RecordEnd("leaves", prefix.Hash{2, byte(i)}, now)
	}
	require.Greater(t, r.Estimate("returns").Probability, 0.8)
	require.Less(t, r.Estimate("leaves").Probability, 0.2)
	require.Less(t, r.Estimate("returns").TimeToReturn, 10*time.Minute)
	require.InDelta(t, 0.5, r.Estimate("unknown").Probability, 0)
}
