package replay

import (
	"math/rand/v2"
	"time"
)

// Delays of the directory's hints.
const (
	announceDelay = 200 * time.Millisecond // agents announce in batches
	evictionDelay = time.Second            // cache events come late
	evictionLost  = 0.05                   // and with gaps
)

// hint is what the directory says of one context.
type hint struct {
	engine map[int]int // tokens by agent
	store  int         // tokens
}

// directory is the fake of the context directory: its hints are late, and some
// evictions never reach it.
type directory struct {
	c     *clock
	rng   *rand.Rand
	hints map[contextKey]*hint
}

func (d *directory) entry(k contextKey) *hint {
	h := d.hints[k]
	if h == nil {
		h = &hint{engine: map[int]int{}}
		d.hints[k] = h
	}
	return h
}

var noHint = &hint{}

func (d *directory) get(k contextKey) *hint {
	if h := d.hints[k]; h != nil {
		return h
	}
	return noHint
}

func (d *directory) engineHas(k contextKey, agent, tokens int) {
	d.c.after(announceDelay, func() { d.entry(k).engine[agent] = tokens })
}

func (d *directory) storeHas(k contextKey, tokens int) {
	d.c.after(announceDelay, func() { h := d.entry(k); h.store = max(h.store, tokens) })
}

func (d *directory) evicted(k contextKey, agent int) {
	if d.rng.Float64() < evictionLost {
		return
	}
	d.c.after(evictionDelay, func() { delete(d.entry(k).engine, agent) })
}
