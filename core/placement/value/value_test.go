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
		Bytes: 64 * mib, Recompute: 2 * time.Second, Return: placement.Return{Chance: 0.8, After: time.Hour},
		Link: placement.Link{BytesPerSecond: 100 * mib}, Space: placement.Space{MemoryUse: 0.5, DiskUse: 0.5},
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
		{"returns after a week", func(c *placement.Candidate) { c.Return.After = 7 * 24 * time.Hour }, true, placement.Disk},
		{"memory full", func(c *placement.Candidate) { c.Space.MemoryUse = 1 }, true, placement.Disk},
		{"never returns", func(c *placement.Candidate) { c.Return.Chance = 0 }, false, ""},
		{"cheap to recompute", func(c *placement.Candidate) { c.Recompute = 100 * time.Millisecond }, false, ""},
		{"link half used", func(c *placement.Candidate) { c.Link.Use = 0.5 }, false, ""},
		{"link busy", func(c *placement.Candidate) { c.Link.Use = 0.9 }, false, ""},
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
	require.Equal(t, []int{0}, Policy{}.Drop(held, placement.Memory, 10, 5), "a block loses value while its context does not return")
}

// Guards against prefetches that take more than half of the link from foreground
// fetches.
func TestPrefetch(t *testing.T) {
	require.True(t, Policy{}.Prefetch(newCandidate(nil)))
	require.False(t, Policy{}.Prefetch(newCandidate(func(c *placement.Candidate) { c.Link.Use = 0.5 })))
	require.False(t, Policy{}.Prefetch(newCandidate(func(c *placement.Candidate) { c.Return.Chance = 0.5 })))
	require.False(t, Policy{}.Prefetch(newCandidate(func(c *placement.Candidate) { c.Recompute = 0 })))
}

// Guards against estimates that mix customers, and against unbounded memory use.
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
