// Package placement decides which pieces of the KV cache are kept in stores, in
// which store and tier, which are dropped, and which are fetched early. Policies
// are plug-ins of the family "placement"; they are pure.
package placement

import (
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Tier is a kind of space in a store.
type Tier string

// The tiers.
const (
	Memory Tier = "memory"
	Disk   Tier = "disk"
)

// Link is the way to a store, as measured.
type Link struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
	Use            float64 `json:"use"` // share in use, 0 to 1
}

// Space is how full a store's tiers are, as shares from 0 to 1.
type Space struct {
	MemoryUse float64 `json:"memory_use"`
	DiskUse   float64 `json:"disk_use"`
}

// Return is the estimate of a context's next use.
type Return struct {
	Chance float64       `json:"chance"`
	After  time.Duration `json:"after"`
}

// Candidate is a run of pieces that may be exported or fetched early.
type Candidate struct {
	Bytes     int64         `json:"bytes"`
	Recompute time.Duration `json:"recompute"` // engine time that a later fetch saves
	Return    Return        `json:"return"`
	Link      Link          `json:"link"`
	Space     Space         `json:"space"`
}

// Decision is the answer for one candidate.
type Decision struct {
	Export bool          `json:"export"`
	Tier   Tier          `json:"tier"`
	Value  time.Duration `json:"value"` // expected engine time saved, net of the price
}

// Stored is a block that the deciding agent has exported.
type Stored struct {
	Bytes int64
	Tier  Tier
	Value time.Duration // when it was decided
	Age   time.Duration // since then
	After time.Duration // expected age at the return
}

// Policy decides on placement.
type Policy interface {
	Export(c *Candidate) Decision
	// Drop returns the indices of the blocks to free, so that bytes fit into the
	// tier for a block of the value; nil when they are not to make way.
	Drop(held []Stored, t Tier, bytes int64, value time.Duration) []int
	// Prefetch reports whether to fetch the pieces before they are asked for.
	Prefetch(c *Candidate) bool
}

// Store returns the store for a context, and "" if there is none. All agents with
// the same configuration choose the same one.
func Store(context prefix.Hash, stores []string) string {
	return rendezvous.Owner(rendezvous.Key(context[:]), stores)
}
