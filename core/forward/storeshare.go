package forward

import (
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Sharing of what is read of the cache stores. Load pattern: a group so large that a store
// can't answer each entry often enough for its view to stay fresh. Most prompts are then read
// again although their parts are stored, and parts are not saved.
//
// A few entries read a store's events and pass them on. What is passed on states the store's
// clock, so its age is known however long it was under way. An entry whose view gets old
// nevertheless reads the store itself.
const (
	StorePollWait    = 250 * time.Millisecond // how long a store may wait for an event before it answers; a call with a shorter wait is billed
	storePollPause   = 150 * time.Millisecond // pause between two reads, so that events arrive in batches
	sharedPollPause  = 300 * time.Millisecond // the same for reads that are passed on
	storePollers     = 6                      // average number of entries that read a store at the same time; a store allows somewhat more
	storeReaders     = 3                      // entries that read a store for the others, one after the failure of another
	readerSilence    = time.Second            // time without news after which the next reader takes over
	ownReadAge       = time.Second            // age of a view from which an entry that isn't a reader reads the store itself
	ownReadAgeSpread = 300 * time.Millisecond // spreads such reads of different entries
	newsReads        = 3                      // reads whose events are passed on together, because a message may be lost
	maxNewsBytes     = 6000                   // of the events in one message
	newsEventBytes   = 24                     // of an event besides its texts
)

// StoreNews is what a reader passes on of a store's events.
type StoreNews struct {
	Epoch   int64
	From    int64         // position after which Events has all that the store reported
	Next    int64         // position up to which it has them
	ClockMs float64       // what the store's clock showed when it answered, 0 if further events of the answer follow
	Took    time.Duration // upper bound of the time from the start of the read to the answer
	Events  []StoreEvent
}

// StoreReading decides when this process reads a store itself, and collects what it passes on.
// It is used with the store's StoreView.
type StoreReading struct {
	readEnd time.Duration // end of the last read by this process
	heardAt time.Duration // when news from a preferred reader last arrived
	window  []StoreNews   // of the last reads
}

// storeRank returns the position of a member among the readers of a store, or storeReaders if it
// is none.
func storeRank(store string, members []string, member string) int {
	return rankAmong(rendezvous.Top(rendezvous.Key([]byte(store)), members, storeReaders), member)
}

func rankAmong(readers []string, member string) int {
	if i := slices.Index(readers, member); i >= 0 {
		return i
	}
	return storeReaders
}

// ownPollPause returns the pause between two reads of a process that nobody passes anything on to.
func ownPollPause(members int) time.Duration {
	return max(storePollPause, StorePollWait*time.Duration(members)/storePollers-StorePollWait)
}

// SharesStores reports whether a group of this size shares what it reads of stores.
func SharesStores(members int) bool { return ownPollPause(members) > storePollPause }

// NextRead returns when this process should read the store next, as far as known now, and whether
// it does so for its peers.
func (r *StoreReading) NextRead(v *StoreView, self string, members []string, now time.Duration) (at time.Duration, passOn bool) {
	if r.readEnd == 0 {
		return now, false
	}
	if !SharesStores(len(members)) {
		return r.readEnd + storePollPause, false
	}
	rank := storeRank(v.Name, members, self)
	takesOver := r.heardAt + time.Duration(rank)*readerSilence
	if rank == 0 || rank < storeReaders && now >= takesOver {
		return r.readEnd + sharedPollPause, true
	}
	own := r.readEnd + ownPollPause(len(members))
	if !v.synced {
		return r.readEnd + storePollPause + (own-r.readEnd)/4, false
	}
	old := v.readAt + ownReadAge + time.Duration(rendezvous.Key([]byte(self))%uint64(ownReadAgeSpread))
	if v.clock.Expired(now) {
		old = now
	}
	own = max(own, old)
	if rank < storeReaders {
		own = min(own, max(takesOver, r.readEnd+sharedPollPause))
	}
	return own, false
}

// RecordReadEnd records that a read by this process has ended, with or without success.
func (r *StoreReading) RecordReadEnd(now time.Duration) { r.readEnd = now }

// HearNews records that news of a store has arrived from a member of the group.
func (r *StoreReading) HearNews(store, self, from string, members []string, now time.Duration) {
	readers := rendezvous.Top(rendezvous.Key([]byte(store)), members, storeReaders)
	if rankAmong(readers, from) < rankAmong(readers, self) {
		r.heardAt = now
	}
}

// RecordEvents records events that this process has read, and returns the news for the peers. There
// is none if the numbers of the events contradict the positions.
func (r *StoreReading) RecordEvents(e StoreEvents, since int64, took time.Duration) []StoreNews {
	valid := !e.Gap && e.ClockMs > 0 && e.Next >= since && !slices.ContainsFunc(e.Events, func(ev StoreEvent) bool { return ev.Number <= since || ev.Number > e.Next })
	if n := len(r.window); n > 0 && (r.window[n-1].Next != since || r.window[n-1].Epoch != e.Epoch) {
		r.window = nil
	}
	if !valid {
		r.window = nil
		return nil
	}
	r.window = append(r.window, StoreNews{Epoch: e.Epoch, From: since, Next: e.Next, Events: e.Events})
	if len(r.window) > newsReads {
		r.window = slices.Delete(r.window, 0, len(r.window)-newsReads)
	}
	var out []StoreNews
	bytes := maxNewsBytes
	for _, w := range r.window {
		for _, ev := range w.Events {
			size := len(ev.Part.Salt) + len(ev.Part.ID) + newsEventBytes
			if bytes+size > maxNewsBytes {
				out, bytes = append(out, StoreNews{Epoch: e.Epoch, From: lastNext(out, r.window[0].From)}), 0
			}
			last := &out[len(out)-1]
			last.Events, last.Next = append(last.Events, ev), ev.Number
			bytes += size
		}
	}
	if len(out) == 0 {
		out = []StoreNews{{Epoch: e.Epoch, From: r.window[0].From}}
	}
	last := &out[len(out)-1]
	last.Next, last.ClockMs, last.Took = e.Next, e.ClockMs, took
	return out
}

// lastNext returns the position up to which messages have the events.
func lastNext(messages []StoreNews, first int64) int64 {
	if len(messages) == 0 {
		return first
	}
	return messages[len(messages)-1].Next
}

// ApplyNews applies what a peer has read of the store and reports whether the view is now at the
// news' position. News that doesn't follow the view, or is of another epoch, is left out: the view
// then gets old, and this process reads the store itself.
func (v *StoreView) ApplyNews(n StoreNews, now time.Duration) bool {
	if !v.synced || n.Epoch != v.epoch || n.From > v.nextEvent || n.Next < v.nextEvent {
		return false
	}
	for _, ev := range n.Events {
		if ev.Number <= v.nextEvent || ev.Number > n.Next {
			continue // applied before: a part that was deleted since would count as stored again
		}
		if ev.Added {
			v.add(ev.Part)
		} else {
			v.remove(PartKey(ev.Part.Salt, ev.Part.ID))
		}
	}
	v.nextEvent = n.Next
	if n.ClockMs <= 0 || n.Took < 0 {
		return true
	}
	if at, known := v.clock.earliest(n.ClockMs); known && at <= now {
		v.readAt = max(v.readAt, at-n.Took)
	}
	return true
}

// earliest returns the earliest time at which the clock may have shown ms, and false if the clock is
// not known well enough.
func (c *EndpointClock) earliest(ms float64) (time.Duration, bool) {
	at := (ms - c.max) * float64(time.Millisecond)
	_, _, known := c.Bounds(0)
	return time.Duration(at), known && math.Abs(at) < math.MaxInt64/2
}
