package replay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/routing"
)

// work is one attempt at an agent.
type work struct {
	r        *request
	attempt  int
	entry    *entry
	customer string
	class    int
	key      contextKey
	prompt   int
	output   int
	deadline time.Duration
	fetch    bool  // the entry expects an import
	level    level // of the import on the link
	over     bool  // the customer is above its share of the prefill

	tokens    int // to prefill, by the agent's estimate
	admission *admission.Request
	cached    int
	fetching  bool
	granted   bool
	since     time.Duration // of the slot
	left      int
	computed  func()
	stopped   bool
}

// maxEngineBacklog is the prefill work in the engine above which the agent holds
// work back, so that its own order decides: 200 ms at 20,000 tokens a second.
const maxEngineBacklog = 4096

// slotTimeWeight is the weight of the last sequence in the mean slot time.
const slotTimeWeight = 0.05

// agent is the fake of one agent with its engine.
type agent struct {
	s         *sim
	index     int
	id        string
	domain    string
	engine    engine
	queue     *queue
	version   int32
	loading   bool
	dead      bool
	enRoute   int // prefill tokens sent by entries that have not arrived
	granted   int // prefill tokens of work with a slot that waits for its import
	slotTime  time.Duration
	live      map[*work]bool
	placement placement.Policy
	returns   *placement.ReturnEstimator
	links     []linkUse // by store
}

// sortedWork gives a set of attempts an order that doesn't change between runs.
func sortedWork(set map[*work]bool) []*work {
	return slices.SortedFunc(maps.Keys(set), func(x, y *work) int { return cmp.Compare(x.attempt, y.attempt) })
}

func wholePieces(tokens int) int { return tokens / prefix.PieceTokens * prefix.PieceTokens }

// arrive takes an attempt or refuses it.
func (a *agent) arrive(w *work) {
	if w.entry.lost {
		return
	}
	if a.dead {
		a.s.c.after(silenceLimit, func() { w.entry.silent(w, a) })
		return
	}
	if a.loading {
		w.entry.refused(w, a, true)
		return
	}
	w.key.version = a.version
	held := wholePieces(min(a.engine.cache.tokens(w.key), w.prompt))
	w.tokens = w.prompt - held
	fetched := 0
	if st := a.s.storeOf(w.key.conversation); w.fetch {
		if n := wholePieces(min(st.tokens(w.key), w.prompt)); n > held && importPays(st, w, n-held, a.engine.rate) {
			fetched = n - held
			w.tokens = w.prompt - n
		}
	}
	if !a.queue.offer(w, a.s.weight(w.customer), a.s.c.now) {
		w.entry.refused(w, a, false)
		return
	}
	a.live[w] = true
	if fetched > 0 {
		a.fetch(w, held, fetched)
	}
	a.pump()
}

// importPays tells whether an import is faster than recomputing, as agent/cache.go
// decides it: core/placement has no part in imports. The agent knows the link's
// queue by its own transfers; here it is the store's own.
func importPays(st *store, w *work, tokens int, rate float64) bool {
	if st.link.down {
		return false
	}
	took := st.wait(w.key, w.level) + seconds(float64(tokens)*st.perToken/st.link.speed())
	return took < seconds(float64(tokens)/rate)
}

func (a *agent) fetch(w *work, held, tokens int) {
	w.fetching = true
	epoch := a.engine.epoch
	use := &a.links[a.s.storeIndex(w.key.conversation)]
	use.add(1, a.s.c.now)
	a.s.storeOf(w.key.conversation).fetch(w.key, tokens, w.level, func(ok bool) {
		use.add(-1, a.s.c.now)
		if epoch != a.engine.epoch {
			return
		}
		w.fetching = false
		if ok {
			a.engine.cache.put(w.key, held+tokens)
			w.cached = held + tokens
		}
		if w.granted {
			a.granted -= w.tokens
			a.start(w)
		}
	})
}

func (a *agent) pump() {
	for a.engine.ahead(batchClass)+a.granted < maxEngineBacklog {
		w := a.queue.next(a.s.c.now)
		if w == nil {
			return
		}
		if a.s.c.now >= w.deadline {
			a.queue.policy.Done(w.admission, 0, at(a.s.c.now))
			delete(a.live, w)
			w.entry.refused(w, a, false)
			continue
		}
		a.engine.running++
		w.granted, w.since = true, a.s.c.now
		if w.fetching {
			a.granted += w.tokens
		} else {
			a.start(w)
		}
	}
}

// start prefills what no cache has.
func (a *agent) start(w *work) {
	w.cached = max(w.cached, wholePieces(min(a.engine.cache.tokens(w.key), w.prompt)))
	a.engine.cache.touch(w.key)
	a.s.countBuild(w)
	a.engine.prefill(w, func() {
		a.engine.cache.put(w.key, w.prompt)
		a.s.built(w.key, w.prompt)
		interval := a.engine.interval()
		a.s.c.after(interval, func() { a.firstToken(w, interval) })
		a.pump()
	})
}

func (a *agent) firstToken(w *work, interval time.Duration) {
	if !a.live[w] {
		return
	}
	if w.stopped {
		a.end(w, false)
		return
	}
	a.frame(w, func() { w.entry.first(w, interval) })
	a.keepReporting(w)
	now := a.s.c.now
	end := now + time.Duration(w.output-1)*interval
	a.s.c.at(min(end, max(now, w.deadline)), func() { a.end(w, end <= w.deadline) })
}

// keepReporting sends the load with a token's frame every ReportGap, if set.
func (a *agent) keepReporting(w *work) {
	if a.s.o.ReportGap <= 0 {
		return
	}
	a.s.c.after(a.s.o.ReportGap, func() {
		if a.live[w] {
			a.frame(w, func() {})
			a.keepReporting(w)
		}
	})
}

func (a *agent) end(w *work, whole bool) {
	if !a.live[w] {
		return
	}
	delete(a.live, w)
	a.engine.running--
	held := a.s.c.now - w.since
	if a.slotTime == 0 {
		a.slotTime = held
	}
	a.slotTime += time.Duration(slotTimeWeight * float64(held-a.slotTime))
	used := w.prompt
	if whole {
		used += w.output
	}
	a.queue.policy.Done(w.admission, used, at(a.s.c.now))
	if whole {
		tokens := w.prompt + w.output
		a.engine.cache.put(w.key, tokens)
		a.s.built(w.key, tokens)
		a.export(w, wholePieces(tokens))
	}
	a.frame(w, func() { w.entry.end(w, whole) })
	a.pump()
}

// stop frees the engine after the caller or the entry went away.
func (a *agent) stop(w *work) {
	if !a.live[w] || w.stopped {
		return
	}
	w.stopped = true
	if !w.granted {
		a.queue.cancel(w)
		delete(a.live, w)
		return
	}
	if w.left == 0 && !w.fetching {
		a.end(w, false)
	}
}

// frame carries a load report with the answer's frame.
func (a *agent) frame(w *work, deliver func()) {
	r := a.report()
	a.s.c.after(w.entry.hop(a), func() {
		if w.entry.lost {
			return
		}
		w.entry.views[a.index].ApplyReport(r, a.s.c.now)
		deliver()
	})
}

func (a *agent) report() routing.LoadReport {
	r := routing.LoadReport{Running: a.engine.running, Waiting: len(a.queue.work), SlotTime: a.slotTime}
	for class := range r.AheadTokens {
		r.AheadTokens[class] = a.queue.ahead(class) + a.engine.ahead(class) + a.granted
	}
	r.QueuedTokens = r.AheadTokens[batchClass]
	return r
}

// die loses everything; running attempts fall silent.
func (a *agent) die() {
	a.dead, a.granted = true, 0
	a.engine.die()
	for _, w := range sortedWork(a.live) {
		a.s.c.after(silenceLimit, func() { w.entry.silent(w, a) })
	}
	a.live = map[*work]bool{}
	a.queue = a.s.newQueue()
}
