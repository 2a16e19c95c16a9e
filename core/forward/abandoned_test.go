package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partialListing applies lists and events of a store that shows one part as incomplete.
type partialListing struct {
	*StoreView
	now time.Duration
}

func newPartialListing() *partialListing {
	return &partialListing{newListedStore("s", 10_000), time.Hour}
}

// list applies a list of a read that begins now and takes the given time.
func (p *partialListing) list(written int, took time.Duration) {
	started := p.now
	p.now += took
	p.ApplyList(StoreList{Epoch: 1, Next: 5, ClockMs: 1000, Partial: []PartialPart{{StoredPart{salt, "a", 500}, written}}}, started, p.now)
}

func (p *partialListing) wait(d time.Duration) { p.now += d }

// deletes reports whether the part is deleted now.
func (p *partialListing) deletes() bool {
	parts, until := p.AbandonedParts(p.now)
	return len(parts) > 0 && until > p.now
}

// Guards against deleting a part that has been completed, or may be at any moment, because a list
// showed it as incomplete long ago or its write goes on. Requests that fetch the part meanwhile
// would run on memory that is freed under them.
func TestOnlyAbandonedWritesAreDeleted(t *testing.T) {
	const again = 10 * time.Second
	added := []StoreEvent{{true, StoredPart{salt, "a", 500}, 6}}
	for name, c := range map[string]struct {
		steps   func(p *partialListing)
		deleted bool
	}{
		"two lists without progress":   {func(p *partialListing) { p.list(0, 0); p.wait(again); p.list(0, 0) }, true},
		"one old list":                 {func(p *partialListing) { p.list(0, 0); p.wait(again) }, false},
		"lists too close together":     {func(p *partialListing) { p.list(0, 0); p.wait(partialWriteTimeout / 2); p.list(0, 0) }, false},
		"the write makes progress":     {func(p *partialListing) { p.list(0, 0); p.wait(again); p.list(100, 0) }, false},
		"the list arrived long ago":    {func(p *partialListing) { p.list(0, 0); p.wait(again); p.list(0, 0); p.wait(maxDeleteListAge) }, false},
		"the list was long on its way": {func(p *partialListing) { p.list(0, 0); p.wait(again); p.list(0, maxDeleteListAge) }, false},
		"the first list was long on its way": {func(p *partialListing) {
			p.list(0, partialWriteTimeout)
			p.wait(partialWriteTimeout / 2)
			p.list(0, 0)
		}, false},
		"no list for long": {func(p *partialListing) { p.list(0, 0); p.wait(maxListGap + time.Second); p.list(0, 0) }, false},
		"it is written again": {func(p *partialListing) {
			p.list(0, 0)
			p.wait(again / 2)
			p.RecordSave(PartKey(salt, "a"), 500, p.now)
			p.wait(again / 2)
			p.list(0, 0)
		}, false},
		"its completion is told before the list arrives": {func(p *partialListing) {
			p.list(0, 0)
			p.wait(again)
			started := p.now
			p.wait(time.Millisecond)
			p.ApplyEvents(StoreEvents{Epoch: 1, Next: 6, Events: added}, p.now, p.now)
			p.ApplyList(StoreList{Epoch: 1, Next: 5, ClockMs: 1000, Partial: []PartialPart{{StoredPart{salt, "a", 500}, 0}}}, started, p.now)
		}, false},
		"a peer passes on its completion before the list arrives": {func(p *partialListing) {
			p.list(0, 0)
			p.wait(again)
			started := p.now
			p.wait(time.Millisecond)
			require.True(t, p.ApplyNews(StoreNews{Epoch: 1, From: 5, Next: 6, Events: added}, p.now))
			p.ApplyList(StoreList{Epoch: 1, Next: 5, ClockMs: 1000, Partial: []PartialPart{{StoredPart{salt, "a", 500}, 0}}}, started, p.now)
		}, false},
		"the store restarted": {func(p *partialListing) {
			p.list(0, 0)
			p.wait(again)
			p.ApplyEvents(StoreEvents{Epoch: 2}, p.now, p.now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPartialListing()
			c.steps(p)
			require.Equal(t, c.deleted, p.deletes())
		})
	}
}
