// Package directory implements one agent's shard of the context directory, which
// records the engine and the store that hold the prefix of a conversation. Its entries
// are only hints, so a shard may lose or reorder updates.
package directory

import (
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Options limits the size of a shard.
type Options struct {
	Capacity int           // maximum number of contexts; the least recently updated one is evicted
	TTL      time.Duration // time after the last update at which an entry expires
}

// DefaultOptions returns the options for the target deployment. Its 1.3 million
// contexts on 330 agents make about 4,000 per shard; the capacity is five times
// that, since a shard grows while other members are missing.
func DefaultOptions() Options { return Options{Capacity: 20_000, TTL: 4 * 24 * time.Hour} }

// Location states which endpoint and store hold a context's prefix. An update may
// set only one of them; the entry then keeps the other one.
type Location struct {
	Endpoint      string
	EngineTokens  uint32
	Store         string
	StoreTokens   uint32
	WeightVersion string
	UpdatedAt     time.Time
	ChainTip      prefix.Hash
}

const nilIndex = ^uint32(0)

// entry is one context, in 64 bytes. Times are in units of timeResolution since the
// epoch of the shard; names are indices into its name table.
type entry struct {
	key, chainTip               prefix.Hash
	newer, older                uint32 // neighbours in the list ordered by update
	engineUpdated, storeUpdated uint32
	engineTokens                uint32
	storeTokens                 uint32
	engine, store               uint16
	engineVersion, storeVersion uint16
}

// timeResolution is the unit of the times of an entry. 32 bits cover 13 years in it.
const timeResolution = 100 * time.Millisecond

// Shard is the part of the directory that one agent owns. It isn't safe for
// concurrent use.
type Shard struct {
	opts    Options
	epoch   time.Time
	index   map[prefix.Hash]uint32
	entries []entry
	free    []uint32
	newest  uint32
	oldest  uint32
	names   nameTable
}

// NewShard returns an empty shard. Its epoch is now minus the time to live, so that
// the times of all unexpired updates are after it.
func NewShard(o Options, now time.Time) *Shard {
	return &Shard{opts: o, epoch: now.Add(-o.TTL), index: map[prefix.Hash]uint32{}, newest: nilIndex, oldest: nilIndex, names: newNameTable()}
}

// Len returns the number of contexts.
func (s *Shard) Len() int { return len(s.index) }

func (s *Shard) encodeTime(t time.Time) uint32 { return uint32(max(0, t.Sub(s.epoch)/timeResolution)) }

func (s *Shard) decodeTime(t uint32) time.Time { return s.epoch.Add(time.Duration(t) * timeResolution) }

// Put applies an update. It ignores an update that has expired or that is older
// than the same part of the entry. A time in the future counts as now; otherwise
// an agent whose clock is ahead would override all later updates.
func (s *Shard) Put(key prefix.Hash, l Location, now time.Time) {
	if l.UpdatedAt.After(now) {
		l.UpdatedAt = now
	}
	if now.Sub(l.UpdatedAt) > s.opts.TTL || l.Endpoint == "" && l.Store == "" {
		return
	}
	i, ok := s.index[key]
	if !ok {
		i = s.insert(key, now)
	}
	e := &s.entries[i]
	updated := s.encodeTime(l.UpdatedAt)
	changed := false
	if l.Endpoint != "" && updated >= e.engineUpdated {
		e.engine, e.engineUpdated, e.engineTokens = s.internName(l.Endpoint), updated, l.EngineTokens
		e.engineVersion, e.chainTip = s.internName(l.WeightVersion), l.ChainTip
		changed = true
	}
	if l.Store != "" && updated >= e.storeUpdated {
		e.store, e.storeUpdated, e.storeTokens, e.storeVersion = s.internName(l.Store), updated, l.StoreTokens, s.internName(l.WeightVersion)
		changed = true
	}
	if changed {
		s.unlink(i)
		s.linkNewest(i)
	}
}

// Remove deletes the endpoint or the store from the entry if it is still the
// recorded one.
func (s *Shard) Remove(key prefix.Hash, endpoint, store string) {
	i, ok := s.index[key]
	if !ok {
		return
	}
	e := &s.entries[i]
	if endpoint != "" && s.names.names[e.engine] == endpoint {
		e.engine, e.engineTokens = 0, 0
	}
	if store != "" && s.names.names[e.store] == store {
		e.store, e.storeTokens = 0, 0
	}
	if e.engine == 0 && e.store == 0 {
		s.removeEntry(i)
	}
}

// Get returns the locations of a context that have not expired, the engine's
// first. It returns nil when there are none.
func (s *Shard) Get(key prefix.Hash, now time.Time) []Location {
	i, ok := s.index[key]
	if !ok {
		return nil
	}
	e := s.entries[i]
	var out []Location
	if e.engine != 0 && now.Sub(s.decodeTime(e.engineUpdated)) <= s.opts.TTL {
		out = append(out, Location{
			Endpoint: s.names.names[e.engine], EngineTokens: e.engineTokens,
			WeightVersion: s.names.names[e.engineVersion], UpdatedAt: s.decodeTime(e.engineUpdated), ChainTip: e.chainTip,
		})
	}
	if e.store != 0 && now.Sub(s.decodeTime(e.storeUpdated)) <= s.opts.TTL {
		out = append(out, Location{
			Store: s.names.names[e.store], StoreTokens: e.storeTokens,
			WeightVersion: s.names.names[e.storeVersion], UpdatedAt: s.decodeTime(e.storeUpdated), ChainTip: e.chainTip,
		})
	}
	return out
}

// Expire removes up to limit expired entries and returns their number. Entries are
// ordered by the arrival of their updates, not by their timestamps, so an entry may
// outlive its time to live by the delay of an update.
func (s *Shard) Expire(now time.Time, limit int) int {
	n := 0
	for n < limit && s.oldest != nilIndex {
		e := &s.entries[s.oldest]
		if now.Sub(s.decodeTime(max(e.engineUpdated, e.storeUpdated))) <= s.opts.TTL {
			break
		}
		s.removeEntry(s.oldest)
		n++
	}
	return n
}

func (s *Shard) insert(key prefix.Hash, now time.Time) uint32 {
	if len(s.index) >= s.opts.Capacity && s.Expire(now, 1) == 0 {
		s.removeEntry(s.oldest)
	}
	var i uint32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
	} else {
		i = uint32(len(s.entries))
		s.entries = append(s.entries, entry{})
	}
	s.entries[i] = entry{key: key}
	s.index[key] = i
	s.linkNewest(i)
	return i
}

func (s *Shard) removeEntry(i uint32) {
	s.unlink(i)
	delete(s.index, s.entries[i].key)
	s.entries[i] = entry{}
	s.free = append(s.free, i)
}

// linkNewest inserts the entry at the newest end of the list.
func (s *Shard) linkNewest(i uint32) {
	e := &s.entries[i]
	e.newer, e.older = nilIndex, s.newest
	if s.newest != nilIndex {
		s.entries[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}

func (s *Shard) unlink(i uint32) {
	e := s.entries[i]
	if e.newer != nilIndex {
		s.entries[e.newer].older = e.older
	} else {
		s.newest = e.older
	}
	if e.older != nilIndex {
		s.entries[e.older].newer = e.newer
	} else {
		s.oldest = e.newer
	}
}

// internName returns the index of a name. When the table is full, it is rebuilt
// from the entries, which drops the names that are no longer used.
func (s *Shard) internName(name string) uint16 {
	if i, ok := s.names.intern(name); ok {
		return i
	}
	rebuilt := newNameTable()
	for _, i := range s.index {
		e := &s.entries[i]
		for _, f := range []*uint16{&e.engine, &e.store, &e.engineVersion, &e.storeVersion} {
			*f, _ = rebuilt.intern(s.names.names[*f])
		}
	}
	s.names = rebuilt
	i, _ := s.names.intern(name) // index 0, the empty name, if the entries alone fill the table
	return i
}

// nameTable maps the names of endpoints, stores and weight versions to 16-bit
// indices. Index 0 is the empty name.
type nameTable struct {
	names []string
	index map[string]uint16
}

const maxTableNames = 1 << 16

func newNameTable() nameTable { return nameTable{[]string{""}, map[string]uint16{"": 0}} }

func (n *nameTable) intern(s string) (uint16, bool) {
	if i, ok := n.index[s]; ok {
		return i, true
	}
	if len(n.names) >= maxTableNames {
		return 0, false
	}
	i := uint16(len(n.names))
	n.names = append(n.names, s)
	n.index[s] = i
	return i, true
}
