// Package value registers placement.value, which exports a piece if the expected
// saving of prefill time exceeds the cost of transfer and storage.
package value

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
)

// ID is the ID of the plug-in.
const ID kernel.ID = "placement.value"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return Policy{} }}) }

// Costs, in engine time, and limits.
const (
	gib                    = 1 << 30
	memoryPricePerGiBHour  = 100 * time.Millisecond
	diskPricePerGiBHour    = 10 * time.Millisecond
	diskSlowdown           = 2    // duration of a fetch from disk relative to one from memory
	fullThreshold          = 0.98 // usage above which a tier accepts exports only after evictions
	minFreeLinkShare       = 0.02 // share of a busy link that is assumed to be free
	minPrefetchProbability = 0.5
	maxPrefetchLinkUse     = 0.5
)

// Policy implements placement.Policy.
type Policy struct{}

// transferTime returns the time to transfer the bytes over the free share of the
// link.
func transferTime(bytes int64, l placement.Link) time.Duration {
	rate := l.BytesPerSecond * max(minFreeLinkShare, 1-l.Utilization)
	if rate <= 0 {
		return time.Duration(1<<62 - 1)
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// netSaving returns the expected saving less the cost of transfer and storage in one
// tier. The cost of storage does not increase as the tier fills up, because Evict
// makes room in a full tier by comparing values. An increasing cost would stop
// exports before that and keep blocks of contexts that are never used again.
func netSaving(c *placement.Candidate, price time.Duration, slowdown float64) time.Duration {
	move := transferTime(c.Bytes, c.Link)
	saved := c.Return.Probability * (float64(c.PrefillTime) - float64(move)*slowdown)
	// An idle link costs nothing. On a busy link, the transfer delays others for its
	// whole duration.
	link := float64(move) * c.Link.Utilization
	space := float64(price) * float64(c.Bytes) / gib * c.Return.TimeToReturn.Hours()
	return time.Duration(saved - link - space)
}

// Export implements placement.Policy.
func (Policy) Export(c *placement.Candidate) placement.Decision {
	m := netSaving(c, memoryPricePerGiBHour, 1)
	d := netSaving(c, diskPricePerGiBHour, diskSlowdown)
	best := placement.Decision{Tier: placement.Memory, Value: m}
	if d > m || c.Space.MemoryUse > fullThreshold && c.Space.DiskUse <= fullThreshold {
		best = placement.Decision{Tier: placement.Disk, Value: d}
	}
	best.Export = best.Value > 0
	return best
}

// valuePerByte returns the current value of a stored block per byte. The value halves
// with each expected time to return that passes. Otherwise a store would fill up with
// blocks of contexts that were expected to return but never did.
func valuePerByte(s placement.StoredBlock) float64 {
	age := float64(s.Age) / float64(max(s.ReturnAge, time.Second))
	return float64(s.Value) * math.Exp2(-age) / float64(max(1, s.Bytes))
}

// Evict implements placement.Policy. It evicts the blocks with the lowest value per
// byte first, and only those whose value per byte is below that of the new block.
func (Policy) Evict(held []placement.StoredBlock, t placement.Tier, bytes int64, value time.Duration) []int {
	limit := valuePerByte(placement.StoredBlock{Bytes: bytes, Value: value})
	var order []int
	for i, h := range held {
		if h.Tier == t && valuePerByte(h) < limit {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(valuePerByte(held[a]), valuePerByte(held[b]))
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
	return c.Return.Probability > minPrefetchProbability && c.Link.Utilization < maxPrefetchLinkUse && transferTime(c.Bytes, c.Link) < c.PrefillTime
}
