// Package placement decides which pieces of the KV cache are exported to stores, to
// which store and tier, which are evicted, and which are prefetched. Policies are
// plug-ins of the family "placement" and do no I/O.
package placement

import (
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Tier is a storage tier of a store.
type Tier string

// Tiers of a store.
const (
	Memory Tier = "memory"
	Disk   Tier = "disk"
)

// Link describes the measured state of the network link to a store.
type Link struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
	Utilization    float64 `json:"use"` // share of the bandwidth in use, 0 to 1
}

// TierUsage describes how full the tiers of a store are, as shares from 0 to 1.
type TierUsage struct {
	MemoryUse float64 `json:"memory_use"`
	DiskUse   float64 `json:"disk_use"`
}

// ReturnEstimate estimates the probability that a context is used again, and the time until
// then.
type ReturnEstimate struct {
	Probability  float64       `json:"chance"`
	TimeToReturn time.Duration `json:"after"`
}

// Candidate is a sequence of pieces that may be exported or prefetched.
type Candidate struct {
	Bytes       int64          `json:"bytes"`
	PrefillTime time.Duration  `json:"recompute"` // prefill time that a later fetch saves
	Return      ReturnEstimate `json:"return"`
	Link        Link           `json:"link"`
	Space       TierUsage      `json:"space"`
}

// Decision is the result of Policy.Export.
type Decision struct {
	Export bool          `json:"export"`
	Tier   Tier          `json:"tier"`
	Value  time.Duration `json:"value"` // expected prefill time saved, less the cost of transfer and storage
}

// StoredBlock is a block that the deciding agent has exported.
type StoredBlock struct {
	Bytes     int64
	Tier      Tier
	Value     time.Duration // value of the block when the export was decided
	Age       time.Duration // time since the export
	ReturnAge time.Duration // age at which the context is expected to return
}

// Policy decides on exports, evictions and prefetches.
type Policy interface {
	Export(c *Candidate) Decision
	// Evict returns the indices of the blocks to evict from the tier to free the given
	// number of bytes for a block of the given value, or nil if they should not be
	// evicted.
	Evict(held []StoredBlock, t Tier, bytes int64, value time.Duration) []int
	// Prefetch reports whether to fetch the pieces before they are requested.
	Prefetch(c *Candidate) bool
}

// SelectStore returns the store for a context, or "" if there is none. All agents with the
// same configuration select the same store.
func SelectStore(context prefix.Hash, stores []string) string {
	return rendezvous.Owner(rendezvous.Key(context[:]), stores)
}
