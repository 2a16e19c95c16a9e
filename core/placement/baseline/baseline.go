// Package baseline registers placement.none and placement.always, the baselines for
// comparing other policies.
package baseline

import (
	"time"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
)

// IDs of the plug-ins.
const (
	NoneID   kernel.ID = "placement.none"
	AlwaysID kernel.ID = "placement.always"
)

func init() {
	kernel.Register(kernel.Info{ID: NoneID, New: func() any { return None{} }})
	kernel.Register(kernel.Info{ID: AlwaysID, New: func() any { return Always{} }})
}

// None exports nothing.
type None struct{}

// Export implements placement.Policy.
func (None) Export(*placement.Candidate) placement.Decision { return placement.Decision{} }

// Evict implements placement.Policy.
func (None) Evict([]placement.StoredBlock, placement.Tier, int64, time.Duration) []int { return nil }

// Prefetch implements placement.Policy.
func (None) Prefetch(*placement.Candidate) bool { return false }

// Always exports every candidate to the emptier tier and evicts the oldest blocks.
type Always struct{}

// Export implements placement.Policy.
func (Always) Export(c *placement.Candidate) placement.Decision {
	if c.Space.DiskUse < c.Space.MemoryUse {
		return placement.Decision{Export: true, Tier: placement.Disk}
	}
	return placement.Decision{Export: true, Tier: placement.Memory}
}

// Evict implements placement.Policy. It evicts the blocks in the order of held, which
// agents sort from the oldest to the newest.
func (Always) Evict(held []placement.StoredBlock, t placement.Tier, bytes int64, _ time.Duration) []int {
	var evicted []int
	for i, h := range held {
		if bytes <= 0 {
			break
		}
		if h.Tier == t {
			evicted = append(evicted, i)
			bytes -= h.Bytes
		}
	}
	if bytes > 0 {
		return nil
	}
	return evicted
}

// Prefetch implements placement.Policy.
func (Always) Prefetch(*placement.Candidate) bool { return false }
