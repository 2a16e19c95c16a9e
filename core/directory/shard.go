// Package directory is one agent's share of the context directory: which engine
// and store hold the prefix of a conversation. Entries are hints, so a shard may
// lose or reorder updates without harm.
package directory

import (
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Options bounds a shard.
type Options struct {
	Capacity int           // contexts; the one updated longest ago makes way
	TTL      time.Duration // after which an entry is forgotten
}

// DefaultOptions holds a fifth of the contexts of the target size: 1.3 million
// over 330 agents are 4,000, and a share grows while members are missing.
func DefaultOptions() Options { return Options{Capacity: 20_000, TTL: 4 * 24 * time.Hour} }

// Location is where a context's prefix is. An update names an endpoint, a store,
// or both; the other part of the entry stays.
type Location struct {
	Endpoint      string
	EngineTokens  uint32
	Store         string
	StoreTokens   uint32
	WeightVersion string
	Updated       time.Time
	ChainTip      prefix.Hash
}

const none = ^uint32(0)

// entry is one context, 64 bytes. Times are in units of 100 ms since the epoch of
// the shard; names are indices into the shard's table.
type entry struct {
	key, tip           prefix.Hash
	newer, older       uint32 // neighbours in the order of updates
	engineAt, storeAt  uint32
	engineTokens       uint32
	storeTokens        uint32
	engine, store      uint16
	engineVer, storeVr uint16
}

const tick = 100 * time.Millisecond

// Shard is the state of one owner. It isn't safe for concurrent use.
type Shard struct {
	o       Options
	epoch   time.Time
	index   map[prefix.Hash]uint32
	entries []entry
	free    []uint32
	newest  uint32
	oldest  uint32
	names   names
}

// NewShard returns an empty shard; now becomes its epoch.
func NewShard(o Options, now time.Time) *Shard {
	return &Shard{o: o, epoch: now.Add(-o.TTL), index: map[prefix.Hash]uint32{}, newest: none, oldest: none, names: newNames()}
}

// Len returns the number of contexts.
func (s *Shard) Len() int { return len(s.index) }

func (s *Shard) ticks(t time.Time) uint32 { return uint32(max(0, t.Sub(s.epoch)/tick)) }

func (s *Shard) time(t uint32) time.Time { return s.epoch.Add(time.Duration(t) * tick) }

// Put applies an update. An older one than the entry's part is ignored, as is one
// beyond the time to live. A time in the future counts as now, or else the clock
// of one agent that is ahead would win over all later updates.
func (s *Shard) Put(key prefix.Hash, l Location, now time.Time) {
	if l.Updated.After(now) {
		l.Updated = now
	}
	if now.Sub(l.Updated) > s.o.TTL || l.Endpoint == "" && l.Store == "" {
		return
	}
	i, ok := s.index[key]
	if !ok {
		i = s.add(key, now)
	}
	e := &s.entries[i]
	at := s.ticks(l.Updated)
	changed := false
	if l.Endpoint != "" && at >= e.engineAt {
		e.engine, e.engineAt, e.engineTokens = s.name(l.Endpoint), at, l.EngineTokens
		e.engineVer, e.tip = s.name(l.WeightVersion), l.ChainTip
		changed = true
	}
	if l.Store != "" && at >= e.storeAt {
		e.store, e.storeAt, e.storeTokens, e.storeVr = s.name(l.Store), at, l.StoreTokens, s.name(l.WeightVersion)
		changed = true
	}
	if changed {
		s.unlink(i)
		s.link(i)
	}
}

// Remove forgets that the endpoint or the store holds the context.
func (s *Shard) Remove(key prefix.Hash, endpoint, store string) {
	i, ok := s.index[key]
	if !ok {
		return
	}
	e := &s.entries[i]
	if endpoint != "" && s.names.list[e.engine] == endpoint {
		e.engine, e.engineTokens = 0, 0
	}
	if store != "" && s.names.list[e.store] == store {
		e.store, e.storeTokens = 0, 0
	}
	if e.engine == 0 && e.store == 0 {
		s.drop(i)
	}
}

// Get returns the locations of a context, the engine's first; nil if there are
// none that have not expired.
func (s *Shard) Get(key prefix.Hash, now time.Time) []Location {
	i, ok := s.index[key]
	if !ok {
		return nil
	}
	e := s.entries[i]
	var out []Location
	if e.engine != 0 && now.Sub(s.time(e.engineAt)) <= s.o.TTL {
		out = append(out, Location{
			Endpoint: s.names.list[e.engine], EngineTokens: e.engineTokens,
			WeightVersion: s.names.list[e.engineVer], Updated: s.time(e.engineAt), ChainTip: e.tip,
		})
	}
	if e.store != 0 && now.Sub(s.time(e.storeAt)) <= s.o.TTL {
		out = append(out, Location{
			Store: s.names.list[e.store], StoreTokens: e.storeTokens,
			WeightVersion: s.names.list[e.storeVr], Updated: s.time(e.storeAt), ChainTip: e.tip,
		})
	}
	return out
}

// Expire forgets up to limit entries that have outlived the time to live and
// returns how many. The order of updates may differ a little from their times, so
// an entry may live longer by the delay of an update.
func (s *Shard) Expire(now time.Time, limit int) int {
	n := 0
	for n < limit && s.oldest != none {
		e := &s.entries[s.oldest]
		if now.Sub(s.time(max(e.engineAt, e.storeAt))) <= s.o.TTL {
			break
		}
		s.drop(s.oldest)
		n++
	}
	return n
}

func (s *Shard) add(key prefix.Hash, now time.Time) uint32 {
	if len(s.index) >= s.o.Capacity && s.Expire(now, 1) == 0 {
		s.drop(s.oldest)
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
	s.link(i)
	return i
}

func (s *Shard) drop(i uint32) {
	s.unlink(i)
	delete(s.index, s.entries[i].key)
	s.entries[i] = entry{}
	s.free = append(s.free, i)
}

// link puts the entry at the newest end.
func (s *Shard) link(i uint32) {
	e := &s.entries[i]
	e.newer, e.older = none, s.newest
	if s.newest != none {
		s.entries[s.newest].newer = i
	} else {
		s.oldest = i
	}
	s.newest = i
}

func (s *Shard) unlink(i uint32) {
	e := s.entries[i]
	if e.newer != none {
		s.entries[e.newer].older = e.older
	} else {
		s.newest = e.older
	}
	if e.older != none {
		s.entries[e.older].newer = e.newer
	} else {
		s.oldest = e.newer
	}
}

// name returns the index of a name. When the table is full of names that were
// used once, it is rebuilt from the entries.
func (s *Shard) name(n string) uint16 {
	if i, ok := s.names.add(n); ok {
		return i
	}
	fresh := newNames()
	for _, i := range s.index {
		e := &s.entries[i]
		for _, f := range []*uint16{&e.engine, &e.store, &e.engineVer, &e.storeVr} {
			*f, _ = fresh.add(s.names.list[*f])
		}
	}
	s.names = fresh
	i, _ := s.names.add(n) // index 0, no name, if the entries use up the table
	return i
}

// names gives short indices to endpoints, stores and versions. Index 0 is "".
type names struct {
	list  []string
	index map[string]uint16
}

const maxNames = 1 << 16

func newNames() names { return names{[]string{""}, map[string]uint16{"": 0}} }

func (n *names) add(s string) (uint16, bool) {
	if i, ok := n.index[s]; ok {
		return i, true
	}
	if len(n.list) >= maxNames {
		return 0, false
	}
	i := uint16(len(n.list))
	n.list = append(n.list, s)
	n.index[s] = i
	return i, true
}
