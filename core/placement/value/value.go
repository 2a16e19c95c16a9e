// Package value registers placement.value: a piece is kept if the engine time
// that it is expected to save exceeds the price of the link and of the space.
package value

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
)

// ID is the plug-in's name.
const ID kernel.ID = "placement.value"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return Policy{} }}) }

// Prices and limits.
const (
	gib                = 1 << 30
	memoryPrice        = 100 * time.Millisecond // of engine time for a GiB-hour
	diskPrice          = 10 * time.Millisecond
	diskSlowdown       = 2    // of a fetch from disk against one from memory
	fullUse            = 0.98 // above this use a tier takes no more without dropping
	minFree            = 0.02 // share of a busy link that is assumed to be free
	prefetchChance     = 0.5  // a return is likely
	maxPrefetchLinkUse = 0.5
)

// Policy implements placement.Policy.
type Policy struct{}

// transfer returns the time to move the bytes over what is free of the link.
func transfer(bytes int64, l placement.Link) time.Duration {
	rate := l.BytesPerSecond * max(minFree, 1-l.Use)
	if rate <= 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// net returns the expected saving less the price in one tier. The price of space
// does not rise as the tier fills: a full tier is cleared by Drop, which compares
// the value of what is there. A rising price would stop exports before that, and
// leave blocks in place that never return.
func net(c *placement.Candidate, price time.Duration, slowdown float64) time.Duration {
	move := transfer(c.Bytes, c.Link)
	saved := c.Return.Chance * (float64(c.Recompute) - float64(move)*slowdown)
	// An idle link costs nothing; a busy one delays others for as long as the
	// transfer takes.
	link := float64(move) * c.Link.Use
	space := float64(price) * float64(c.Bytes) / gib * c.Return.After.Hours()
	return time.Duration(saved - link - space)
}

// Export implements placement.Policy.
func (Policy) Export(c *placement.Candidate) placement.Decision {
	m := net(c, memoryPrice, 1)
	d := net(c, diskPrice, diskSlowdown)
	best := placement.Decision{Tier: placement.Memory, Value: m}
	if d > m || c.Space.MemoryUse > fullUse && c.Space.DiskUse <= fullUse {
		best = placement.Decision{Tier: placement.Disk, Value: d}
	}
	best.Export = best.Value > 0
	return best
}

// density returns the value of a stored block for each byte. It halves with each
// expected time to return that has passed: without that, a store fills up with
// blocks of contexts that were once likely to return and never did.
func density(s placement.Stored) float64 {
	age := float64(s.Age) / float64(max(s.After, time.Second))
	return float64(s.Value) * math.Exp2(-age) / float64(max(1, s.Bytes))
}

// Drop implements placement.Policy: the lowest value for each byte first, and
// only blocks whose value for each byte is below the new one's.
func (Policy) Drop(held []placement.Stored, t placement.Tier, bytes int64, value time.Duration) []int {
	limit := density(placement.Stored{Bytes: bytes, Value: value})
	var order []int
	for i, h := range held {
		if h.Tier == t && density(h) < limit {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(density(held[a]), density(held[b]))
	})
	for i, x := range order {
		if bytes -= held[x].Bytes; bytes <= 0 {
			return order[:i+1]
		}
	}
	return nil
}

// Prefetch implements placement.Policy.
func (Policy) Prefetch(c *placement.Candidate) bool {
	return c.Return.Chance > prefetchChance && c.Link.Use < maxPrefetchLinkUse && transfer(c.Bytes, c.Link) < c.Recompute
}
