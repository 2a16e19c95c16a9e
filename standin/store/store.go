// Package store is a stand-in for a store host. It keeps cache blocks in slots with
// generations, in a memory tier and a disk tier of limited size, and serves them
// over a link of limited bandwidth.
package store

import (
	"crypto/sha256"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Options holds the capacity and the bandwidth of a store.
type Options struct {
	MemoryBytes        int64
	DiskBytes          int64
	LinkBytesPerSecond float64          // shared by all transfers; 0 means no limit
	DiskBytesPerSecond float64          // applies to the disk tier in addition to the link; 0 means no limit
	UncommittedTTL     time.Duration    // time after which an uncommitted slot is freed; 0 means never
	Now                func() time.Time // time.Now if nil
}

// Faults selects the failures that the store simulates. Each counter applies to
// the next n transfers.
type Faults struct {
	Dead               bool    `json:"dead"`           // abort every request except those to /v1/faults
	RejectAllocations  bool    `json:"full"`           // reject all allocations
	LinkBytesPerSecond float64 `json:"slow_rate"`      // link bandwidth in bytes per second that replaces the configured one; 0 keeps it
	FlipBits           int     `json:"flip_bits"`      // reads in which one bit is flipped
	CrashWrites        int     `json:"crash_writes"`   // writes whose connection is closed half-way
	CrashReads         int     `json:"crash_reads"`    // reads whose connection is closed half-way
	ReuseInReads       int     `json:"reuse_in_reads"` // reads whose slot is freed and rewritten half-way
}

// Tier is the storage tier of a slot.
type Tier string

// Tiers of a store.
const (
	Memory Tier = "memory"
	Disk   Tier = "disk"
)

// Slot describes a slot. A generation is unique during the store's lifetime.
type Slot struct {
	Number     int               `json:"slot"`
	Generation uint64            `json:"generation"`
	Key        string            `json:"key"`
	Bytes      int64             `json:"bytes"`
	Tier       Tier              `json:"tier"`
	SHA256     [sha256.Size]byte `json:"sha256"` // checksum from the commit
}

// Usage holds the used and total capacity of the tiers and the load of the link.
type Usage struct {
	MemoryUsed     int64   `json:"memory_used"`
	MemoryBytes    int64   `json:"memory_bytes"`
	DiskUsed       int64   `json:"disk_used"`
	DiskBytes      int64   `json:"disk_bytes"`
	LinkQueuedMs   int64   `json:"link_queued_ms"` // time until a new transfer could start
	BytesMoved     int64   `json:"bytes_moved"`
	BytesPerSecond float64 `json:"bytes_per_second"` // current bandwidth of the link
}

// Errors that the operations return.
var (
	errTierFull    = errors.New("the tier is full")
	errGeneration  = errors.New("the slot has another generation")
	errChecksum    = errors.New("the data written does not have this checksum")
	errInvalidTier = errors.New("tier must be memory or disk")
)

type slot struct {
	Slot
	data        []byte
	committed   bool
	allocatedAt time.Time
}

// Store is one simulated store host. Use New to create it.
type Store struct {
	options Options

	mu             sync.Mutex
	faults         Faults
	slots          map[int]*slot
	committedSlots map[string]*slot // committed slots by key
	usedBytes      map[Tier]int64
	generation     uint64    // generation that was assigned last
	linkFreeAt     time.Time // when all transfers reserved so far have passed the link
	diskFreeAt     time.Time // the same for the disk
	movedBytes     int64
}

// New returns an empty store.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Store{options: o, slots: map[int]*slot{}, committedSlots: map[string]*slot{}, usedBytes: map[Tier]int64{}}
}

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Store) capacity(t Tier) int64 {
	if t == Disk {
		return s.options.DiskBytes
	}
	return s.options.MemoryBytes
}

// Allocate reserves a slot for a block. The block is not visible until Commit. A size
// that is not positive is rejected with errInvalidTier, too.
func (s *Store) Allocate(key string, bytes int64, t Tier) (Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t != Memory && t != Disk || bytes <= 0 {
		return Slot{}, errInvalidTier
	}
	s.freeExpired()
	if s.faults.RejectAllocations || s.usedBytes[t]+bytes > s.capacity(t) {
		return Slot{}, errTierFull
	}
	n := 0
	for s.slots[n] != nil { // take the lowest free number, so that slots are reused
		n++
	}
	s.generation++
	sl := &slot{Slot: Slot{Number: n, Generation: s.generation, Key: key, Bytes: bytes, Tier: t}, data: make([]byte, bytes), allocatedAt: s.options.Now()}
	s.slots[n] = sl
	s.usedBytes[t] += bytes
	return sl.Slot, nil
}

// freeExpired frees the slots that were not committed within UncommittedTTL.
func (s *Store) freeExpired() {
	for _, sl := range s.slots {
		if s.options.UncommittedTTL > 0 && !sl.committed && s.options.Now().Sub(sl.allocatedAt) > s.options.UncommittedTTL {
			s.free(sl)
		}
	}
}

func (s *Store) free(sl *slot) {
	delete(s.slots, sl.Slot.Number)
	if s.committedSlots[sl.Key] == sl {
		delete(s.committedSlots, sl.Key)
	}
	s.usedBytes[sl.Tier] -= sl.Bytes
}

// slotAt returns slot n if it has the given generation.
func (s *Store) slotAt(n int, generation uint64) (*slot, error) {
	sl := s.slots[n]
	if sl == nil || sl.Generation != generation {
		return nil, errGeneration
	}
	return sl, nil
}

// Commit verifies the block's checksum and makes the block visible under its key.
// It replaces an earlier block with the same key.
func (s *Store) Commit(n int, generation uint64, sum [sha256.Size]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, err := s.slotAt(n, generation)
	if err != nil {
		return err
	}
	if sha256.Sum256(sl.data) != sum {
		return errChecksum
	}
	if old := s.committedSlots[sl.Key]; old != nil && old != sl {
		s.free(old)
	}
	sl.committed, sl.SHA256 = true, sum
	s.committedSlots[sl.Key] = sl
	return nil
}

// Lookup returns the committed slot of a key.
func (s *Store) Lookup(key string) (Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, ok := s.committedSlots[key]
	if !ok {
		return Slot{}, false
	}
	return sl.Slot, true
}

// Free releases the slot if it has the given generation.
func (s *Store) Free(n int, generation uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, err := s.slotAt(n, generation)
	if err == nil {
		s.free(sl)
	}
	return err
}

// List returns the committed slots whose keys start with prefix, sorted by key.
func (s *Store) List(prefix string) []Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Slot{}
	for _, k := range slices.Sorted(maps.Keys(s.committedSlots)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.committedSlots[k].Slot)
		}
	}
	return out
}

// Usage returns the current usage of the store.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := max(0, s.linkFreeAt.Sub(s.options.Now()))
	return Usage{s.usedBytes[Memory], s.options.MemoryBytes, s.usedBytes[Disk], s.options.DiskBytes, wait.Milliseconds(), s.movedBytes, s.linkRate()}
}

func (s *Store) linkRate() float64 {
	if s.faults.LinkBytesPerSecond > 0 {
		return s.faults.LinkBytesPerSecond
	}
	return s.options.LinkBytesPerSecond
}

// reserveTransfer reserves bandwidth of the link, and for the disk tier also of the
// disk, for n bytes. It returns the time until they have been transferred.
func (s *Store) reserveTransfer(n int, t Tier) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.movedBytes += int64(n)
	now := s.options.Now()
	s.linkFreeAt = transferEnd(s.linkFreeAt, now, n, s.linkRate())
	end := s.linkFreeAt
	if t == Disk {
		s.diskFreeAt = transferEnd(s.diskFreeAt, now, n, s.options.DiskBytesPerSecond)
		end = laterOf(end, s.diskFreeAt)
	}
	return end.Sub(now)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transferEnd returns the time at which n bytes have been transferred at the rate if
// the transfer starts when the medium is free. A rate of 0 means no limit.
func transferEnd(freeAt, now time.Time, n int, rate float64) time.Time {
	if rate <= 0 {
		return now
	}
	return laterOf(freeAt, now).Add(time.Duration(float64(n) / rate * float64(time.Second)))
}
