package replay

import (
	"math/rand/v2"
	"time"
)

// Delays and losses of the directory's hints.
const (
	announcementDelay = 200 * time.Millisecond // agents batch their announcements
	evictionDelay     = time.Second            // the engine's cache events are delayed
	evictionLossRate  = 0.05                   // share of the evictions that are never announced
)

// hint is the directory's information on one context.
type hint struct {
	engineTokens map[int]int // cached tokens by agent
	storeTokens  int         // tokens in the store; its evictions are not announced
}

// directory is a fake of the context directory. Its hints are delayed, and some
// evictions never reach it.
type directory struct {
	clock *clock
	rng   *rand.Rand
	hints map[contextKey]*hint
}

func (d *directory) hintFor(k contextKey) *hint {
	h := d.hints[k]
	if h == nil {
		h = &hint{engineTokens: map[int]int{}}
		d.hints[k] = h
	}
	return h
}

var emptyHint = &hint{}

func (d *directory) lookup(k contextKey) *hint {
	if h := d.hints[k]; h != nil {
		return h
	}
	return emptyHint
}

func (d *directory) announceEngine(k contextKey, agent, tokens int) {
	d.clock.after(announcementDelay, func() { d.hintFor(k).engineTokens[agent] = tokens })
}

func (d *directory) announceStore(k contextKey, tokens int) {
	d.clock.after(announcementDelay, func() { h := d.hintFor(k); h.storeTokens = max(h.storeTokens, tokens) })
}

func (d *directory) announceEviction(k contextKey, agent int) {
	if d.rng.Float64() < evictionLossRate {
		return
	}
	d.clock.after(evictionDelay, func() { delete(d.hintFor(k).engineTokens, agent) })
}
