// Package store is a stand-in for a store host: slots with generations in a
// memory and a disk tier of limited size, behind a link of limited rate.
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

// Options sets a store's size and speed.
type Options struct {
	MemoryBytes        int64
	DiskBytes          int64
	LinkBytesPerSecond float64       // shared by all transfers; 0 for no limit
	DiskBytesPerSecond float64       // on top of the link for the disk tier; 0 for no limit
	UncommittedTTL     time.Duration // after which a slot that was never committed is freed
	Now                func() time.Time
}

// Faults switches the store's failures. Counters apply to the next n transfers.
type Faults struct {
	Dead         bool    `json:"dead"`           // drop every connection
	Full         bool    `json:"full"`           // refuse to allocate
	SlowRate     float64 `json:"slow_rate"`      // bytes per second of the link instead of the usual
	FlipBits     int     `json:"flip_bits"`      // reads with a flipped bit
	CrashWrites  int     `json:"crash_writes"`   // writes that end half-way, with the connection
	CrashReads   int     `json:"crash_reads"`    // reads that end half-way, with the connection
	ReuseInReads int     `json:"reuse_in_reads"` // reads whose slot is freed and rewritten half-way
}

// Tier names where a slot's data lies.
type Tier string

// The tiers.
const (
	Memory Tier = "memory"
	Disk   Tier = "disk"
)

// Slot describes a slot. A generation is used once in the store's lifetime.
type Slot struct {
	Slot       int               `json:"slot"`
	Generation uint64            `json:"generation"`
	Key        string            `json:"key"`
	Bytes      int64             `json:"bytes"`
	Tier       Tier              `json:"tier"`
	SHA256     [sha256.Size]byte `json:"sha256"` // as committed
}

// Usage is the store's state of filling and the load of its link.
type Usage struct {
	MemoryUsed     int64   `json:"memory_used"`
	MemoryBytes    int64   `json:"memory_bytes"`
	DiskUsed       int64   `json:"disk_used"`
	DiskBytes      int64   `json:"disk_bytes"`
	LinkQueuedMs   int64   `json:"link_queued_ms"` // until a new transfer could begin
	BytesMoved     int64   `json:"bytes_moved"`
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Errors of the operations.
var (
	errFull       = errors.New("the tier is full")
	errGeneration = errors.New("the slot has another generation")
	errChecksum   = errors.New("the data written does not have this checksum")
	errTier       = errors.New("tier must be memory or disk")
)

type slot struct {
	Slot
	data      []byte
	committed bool
	allocated time.Time
}

// Store is one store host. Create it with New.
type Store struct {
	o Options

	mu         sync.Mutex
	faults     Faults
	slots      map[int]*slot
	keys       map[string]*slot // committed ones
	used       map[Tier]int64
	generation uint64
	linkFree   time.Time
	diskFree   time.Time
	moved      int64
}

// New returns an empty store.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Store{o: o, slots: map[int]*slot{}, keys: map[string]*slot{}, used: map[Tier]int64{}}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Store) capacity(t Tier) int64 {
	if t == Disk {
		return s.o.DiskBytes
	}
	return s.o.MemoryBytes
}

// Allocate reserves a slot for a block that is not visible before its commit.
func (s *Store) Allocate(key string, bytes int64, t Tier) (Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t != Memory && t != Disk || bytes <= 0 {
		return Slot{}, errTier
	}
	s.expire()
	if s.faults.Full || s.used[t]+bytes > s.capacity(t) {
		return Slot{}, errFull
	}
	n := 0
	for s.slots[n] != nil { // the lowest free number, so that slots are reused
		n++
	}
	s.generation++
	x := &slot{Slot: Slot{Slot: n, Generation: s.generation, Key: key, Bytes: bytes, Tier: t}, data: make([]byte, bytes), allocated: s.o.Now()}
	s.slots[n] = x
	s.used[t] += bytes
	return x.Slot, nil
}

// expire frees the slots of writers that never committed.
func (s *Store) expire() {
	for _, x := range s.slots {
		if s.o.UncommittedTTL > 0 && !x.committed && s.o.Now().Sub(x.allocated) > s.o.UncommittedTTL {
			s.free(x)
		}
	}
}

func (s *Store) free(x *slot) {
	delete(s.slots, x.Slot.Slot)
	if s.keys[x.Key] == x {
		delete(s.keys, x.Key)
	}
	s.used[x.Tier] -= x.Bytes
}

// get returns the slot if it has the generation.
func (s *Store) get(n int, generation uint64) (*slot, error) {
	x := s.slots[n]
	if x == nil || x.Generation != generation {
		return nil, errGeneration
	}
	return x, nil
}

// Commit makes the block visible under its key, in place of an earlier one.
func (s *Store) Commit(n int, generation uint64, sum [sha256.Size]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, err := s.get(n, generation)
	if err != nil {
		return err
	}
	if sha256.Sum256(x.data) != sum {
		return errChecksum
	}
	if old := s.keys[x.Key]; old != nil && old != x {
		s.free(old)
	}
	x.committed, x.SHA256 = true, sum
	s.keys[x.Key] = x
	return nil
}

// Lookup returns the committed slot of a key.
func (s *Store) Lookup(key string) (Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.keys[key]
	if !ok {
		return Slot{}, false
	}
	return x.Slot, true
}

// Free gives the slot back.
func (s *Store) Free(n int, generation uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, err := s.get(n, generation)
	if err == nil {
		s.free(x)
	}
	return err
}

// List returns the committed slots whose keys begin with prefix, by key.
func (s *Store) List(prefix string) []Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Slot{}
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, s.keys[k].Slot)
		}
	}
	return out
}

// Usage returns the store's filling.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := max(0, s.linkFree.Sub(s.o.Now()))
	return Usage{s.used[Memory], s.o.MemoryBytes, s.used[Disk], s.o.DiskBytes, wait.Milliseconds(), s.moved, s.linkRate()}
}

func (s *Store) linkRate() float64 {
	if s.faults.SlowRate > 0 {
		return s.faults.SlowRate
	}
	return s.o.LinkBytesPerSecond
}

// book reserves the link, and for the disk tier the disk, for n bytes; it returns
// the wait until they have passed.
func (s *Store) book(n int, t Tier) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moved += int64(n)
	now := s.o.Now()
	s.linkFree = after(s.linkFree, now, n, s.linkRate())
	end := s.linkFree
	if t == Disk {
		s.diskFree = after(s.diskFree, now, n, s.o.DiskBytesPerSecond)
		end = later(end, s.diskFree)
	}
	return end.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func after(free, now time.Time, n int, rate float64) time.Time {
	if rate <= 0 {
		return now
	}
	return later(free, now).Add(time.Duration(float64(n) / rate * float64(time.Second)))
}
