package forward

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simStore is a store whose clock is ahead of the processes' by a fixed time.
type simStore struct {
	epoch   int64
	events  []StoreEvent
	held    map[string]bool // IDs
	polling int             // reads under way
}

const simClockAheadMs = 1e12

func newSimStore() *simStore { return &simStore{epoch: 1, held: map[string]bool{}} }

// change adds or removes a part.
func (s *simStore) change(id string, added bool) {
	s.events = append(s.events, StoreEvent{added, StoredPart{salt, id, 100}, int64(len(s.events)) + 1})
	if s.held[id] = added; !added {
		delete(s.held, id)
	}
}

func (s *simStore) restart() { *s = simStore{epoch: s.epoch + 1, held: map[string]bool{}} }

func (s *simStore) read(since int64, now time.Duration) StoreEvents {
	since = min(max(since, 0), int64(len(s.events)))
	return StoreEvents{Epoch: s.epoch, Next: int64(len(s.events)), ClockMs: simClockAheadMs + milliseconds(now), Events: slices.Clone(s.events[since:])}
}

func (s *simStore) list(now time.Duration) StoreList {
	l := StoreList{Epoch: s.epoch, Next: int64(len(s.events)), ClockMs: simClockAheadMs + milliseconds(now)}
	for id := range s.held {
		l.Held = append(l.Held, StoredPart{salt, id, 100})
	}
	return l
}

// simFollower is an entry that follows the store.
type simFollower struct {
	name      string
	down      bool
	view      *StoreView
	reading   StoreReading
	readSince time.Duration // start of the read under way, -1 if there is none
	passOn    bool
	wakeAt    time.Duration // it does not look before whether it has to read
}

// storeGroup plays a group of entries that follow one store, in steps of virtual time. A store
// answers as soon as it has an event and at most a bounded number of reads at once.
type storeGroup struct {
	store     *simStore
	followers []*simFollower
	members   []string
	rng       *rand.Rand
	now       time.Duration
	inFlight  []simNews
	reads     int
	rejected  int
	shared    bool // false for the way of before, in which each entry reads for itself
}

type simNews struct {
	at   time.Duration
	from string
	to   *simFollower
	news StoreNews
}

const (
	storeSimStep       = 10 * time.Millisecond
	storeSimMaxReads   = 12   // reads that the store holds at once
	storeSimLoss       = 0.02 // of the messages
	storeSimEventPause = 100 * time.Millisecond
)

func newStoreGroup(entries int, shared bool, seed uint64) *storeGroup {
	g := &storeGroup{store: newSimStore(), rng: rand.New(rand.NewPCG(seed, 0)), shared: shared, now: time.Minute}
	for i := range entries {
		f := &simFollower{name: fmt.Sprintf("10.0.%d.1:7580", i), view: NewStoreView(Service{Name: "store", StoreAddress: "store", CapacityTokens: 1e6, NoAutoEviction: true}), readSince: -1}
		f.view.ApplyList(g.store.list(g.now), g.now, g.now)
		f.reading.RecordReadEnd(g.now + time.Duration(g.rng.Int64N(int64(ownPollPause(entries)))) - ownPollPause(entries))
		g.followers, g.members = append(g.followers, f), append(g.members, f.name)
	}
	return g
}

// reader returns the first reader of the store.
func (g *storeGroup) reader() *simFollower {
	i := slices.IndexFunc(g.followers, func(f *simFollower) bool { return storeRank("store", g.members, f.name) == 0 })
	return g.followers[i]
}

func (g *storeGroup) nextRead(f *simFollower) (time.Duration, bool) {
	if !g.shared {
		return f.reading.readEnd + ownPollPause(len(g.members)), false
	}
	return f.reading.NextRead(f.view, f.name, g.members, g.now)
}

func (g *storeGroup) step() {
	g.now += storeSimStep
	if g.now%storeSimEventPause < storeSimStep {
		g.store.change(fmt.Sprint(g.rng.IntN(500)), g.rng.IntN(4) > 0)
	}
	for _, f := range g.followers {
		if f.down {
			continue
		}
		if f.readSince >= 0 {
			g.answer(f)
		} else if g.now >= f.wakeAt {
			at, passOn := g.nextRead(f)
			if at > g.now {
				f.wakeAt = min(at, g.now+time.Second)
				continue
			}
			f.passOn = passOn
			if g.store.polling >= storeSimMaxReads {
				g.rejected++
				f.reading.RecordReadEnd(g.now)
				continue
			}
			g.store.polling++
			g.reads++
			f.readSince = g.now
		}
	}
	rest := g.inFlight[:0]
	for _, m := range g.inFlight {
		if m.at > g.now {
			rest = append(rest, m)
			continue
		}
		if !m.to.down {
			m.to.reading.HearNews("store", m.to.name, m.from, g.members, g.now)
			m.to.view.ApplyNews(m.news, g.now)
		}
	}
	g.inFlight = rest
}

// answer ends a read once the store has an event, or has waited for long enough.
func (g *storeGroup) answer(f *simFollower) {
	since, _ := f.view.Cursor()
	e := g.store.read(since, g.now)
	if len(e.Events) == 0 && g.now < f.readSince+StorePollWait {
		return
	}
	g.store.polling--
	f.view.ApplyEvents(e, f.readSince, g.now)
	if f.passOn {
		for _, n := range f.reading.RecordEvents(e, since, g.now-f.readSince) {
			for _, to := range g.followers {
				if to != f && g.rng.Float64() >= storeSimLoss {
					g.inFlight = append(g.inFlight, simNews{g.now + time.Duration(g.rng.IntN(20))*time.Millisecond, f.name, to, n})
				}
			}
		}
	}
	f.reading.RecordReadEnd(g.now)
	f.readSince = -1
}

// play plays a time and returns the share of entries and time with a fresh view, over the entries that
// are not down.
func (g *storeGroup) play(d time.Duration) float64 {
	fresh, all := 0, 0
	for end := g.now + d; g.now < end; {
		g.step()
		for _, f := range g.followers {
			if !f.down {
				all++
				fresh += boolInt(f.view.fresh(g.now))
			}
		}
	}
	return float64(fresh) / float64(all)
}

// Guards against stores that a large group can't use: with reads of its own, an entry's view is
// mostly too old to fetch or to save. Load pattern: a store that changes ten times a second, read by
// 31 to 330 entries.
func TestViewsOfStoresStayFreshInALargeGroup(t *testing.T) {
	for _, entries := range []int{31, 103, 330} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			g := newStoreGroup(entries, true, 1)
			g.play(2 * time.Second)
			g.reads = 0
			require.Greater(t, g.play(8*time.Second), 0.999)
			require.Zero(t, g.rejected)
			require.Less(t, g.reads, 8*4, "reads must not grow with the group")
			if entries == 103 {
				require.Less(t, newStoreGroup(entries, false, 1).play(20*time.Second), 0.5, "the way of before")
			}
		})
	}
}

// Guards against views that get old because the entry that reads the store for the others has failed,
// or the one that took over from it.
func TestViewsOfStoresStayFreshWithoutTheirReaders(t *testing.T) {
	g := newStoreGroup(103, true, 2)
	g.play(2 * time.Second)
	for range storeReaders {
		g.reader().down = true
		require.Greater(t, g.play(5*time.Second), 0.9)
		up := slices.DeleteFunc(slices.Clone(g.members), func(m string) bool {
			return slices.ContainsFunc(g.followers, func(f *simFollower) bool { return f.name == m && f.down })
		})
		g.members = up // the group has noticed
		require.Greater(t, g.play(5*time.Second), 0.999)
	}
	require.Zero(t, g.rejected)
}

// Guards against a part that is fetched although the store has lost or freed it, because a message was
// late, repeated, lost or out of order, or its receiver was suspended: a view is never fresher than the
// read that it goes back to, and holds what the store held at its position.
func TestNewsOfStoresNeverMakesAViewTooFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newStoreGroup(12, true, 1)
		f, reader := g.followers[0], g.followers[1]
		var sent []StoreNews
		readAt := g.now // latest time as of which f may know the store's state
		states := map[[2]int64]map[string]bool{}
		snapshot := func() {
			states[[2]int64{g.store.epoch, int64(len(g.store.events))}] = maps.Clone(g.store.held)
		}
		snapshot()
		t.Repeat(map[string]func(*rapid.T){
			"store changes": func(t *rapid.T) {
				g.store.change(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")), rapid.Bool().Draw(t, "added"))
				snapshot()
			},
			"store restarts": func(t *rapid.T) {
				if oneInTen(t) {
					g.store.restart()
					snapshot()
				}
			},
			"reader reads": func(t *rapid.T) {
				since, known := reader.view.Cursor()
				if !known {
					reader.view.ApplyList(g.store.list(g.now), g.now, g.now)
					return
				}
				started := g.now
				g.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
				e := g.store.read(since, g.now)
				reader.view.ApplyEvents(e, started, g.now)
				sent = append(sent, reader.reading.RecordEvents(e, since, g.now-started)...)
			},
			"message arrives": func(t *rapid.T) {
				if len(sent) > 0 {
					n := sent[max(len(sent)-1-rapid.IntRange(0, 8).Draw(t, "how late"), 0)]
					if f.view.ApplyNews(n, g.now) && n.ClockMs > 0 {
						readAt = max(readAt, time.Duration((n.ClockMs-simClockAheadMs)*float64(time.Millisecond)))
					}
				}
			},
			"entry reads": func(t *rapid.T) {
				if !oneInTen(t) {
					return
				}
				since, known := f.view.Cursor()
				if !known {
					f.view.ApplyList(g.store.list(g.now), g.now, g.now)
				} else if _, restarted := f.view.ApplyEvents(g.store.read(since, g.now), g.now, g.now); restarted {
					return
				}
				readAt = g.now
			},
			"time passes": func(t *rapid.T) {
				g.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				if !f.view.synced {
					return
				}
				require.LessOrEqual(t, f.view.readAt, readAt+time.Microsecond)
				want := states[[2]int64{f.view.epoch, f.view.nextEvent}]
				require.Len(t, f.view.held, len(want))
				for id := range want {
					require.Contains(t, f.view.held, PartKey(salt, id))
				}
			},
		})
	})
}
