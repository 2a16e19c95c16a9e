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

// workItem is one attempt to run a request at an agent.
type workItem struct {
	request          *request
	attemptID        int
	entry            *entry
	customer         string
	class            int
	key              contextKey
	promptTokens     int
	outputTokens     int
	deadline         time.Duration
	importExpected   bool             // the entry expects an import
	importPriority   transferPriority // priority of the import on the link
	overPrefillShare bool             // the customer is above its share of the prefill

	prefillTokens   int // the agent's estimate of the tokens to prefill
	admission       *admission.Request
	cachedTokens    int
	importing       bool
	hasSlot         bool
	slotSince       time.Duration // when the slot was granted
	remainingTokens int
	onPrefilled     func()
	cancelled       bool
}

// maxEngineBacklogTokens is the prefill backlog of the engine above which the agent
// keeps work in its own queue, so that the admission policy decides the order. It
// equals 200 ms at 20,000 tokens/s.
const maxEngineBacklogTokens = 4096

// slotTimeWeight is the weight of the latest sequence in the moving average of the
// slot time.
const slotTimeWeight = 0.05

// agent is a fake agent with its engine.
type agent struct {
	sim              *sim
	index            int
	id               string
	failureDomain    string
	engine           engine
	queue            *admissionQueue
	weightVersion    int32
	loadingWeights   bool
	dead             bool
	inTransitTokens  int           // prefill tokens of attempts on their way from the entries
	importWaitTokens int           // prefill tokens of items that have a slot and wait for their import
	slotTime         time.Duration // moving average of the time that a sequence holds its slot
	active           map[*workItem]bool
	placement        placement.Policy
	returns          *placement.ReturnEstimator
	linkUse          []linkUseTracker // by store index
}

// sortedWork returns the set ordered by attempt ID, so that the order is the same
// in every run.
func sortedWork(set map[*workItem]bool) []*workItem {
	return slices.SortedFunc(maps.Keys(set), func(x, y *workItem) int { return cmp.Compare(x.attemptID, y.attemptID) })
}

func wholePieces(tokens int) int { return tokens / prefix.PieceTokens * prefix.PieceTokens }

// receive queues an attempt that arrives from an entry, or refuses it.
func (a *agent) receive(w *workItem) {
	if w.entry.lost {
		return
	}
	if a.dead {
		a.sim.clock.after(silenceLimit, func() { w.entry.handleSilence(w, a) })
		return
	}
	if a.loadingWeights {
		w.entry.receiveRefusal(w, a, true)
		return
	}
	w.key.weightVersion = a.weightVersion
	cached := wholePieces(min(a.engine.cache.tokens(w.key), w.promptTokens))
	w.prefillTokens = w.promptTokens - cached
	fetched := 0
	if st := a.sim.storeFor(w.key.conversation); w.importExpected {
		if n := wholePieces(min(st.tokens(w.key), w.promptTokens)); n > cached && importIsFaster(st, w, n-cached, a.engine.prefillRate) {
			fetched = n - cached
			w.prefillTokens = w.promptTokens - n
		}
	}
	if !a.queue.offer(w, a.sim.weight(w.customer), a.sim.clock.now) {
		w.entry.receiveRefusal(w, a, false)
		return
	}
	a.active[w] = true
	if fetched > 0 {
		a.startImport(w, cached, fetched)
	}
	a.startQueued()
}

// importIsFaster reports whether an import is faster than recomputing the tokens.
// It follows agent/cache.go, since core/placement doesn't decide on imports. An
// agent estimates the link's queue from its own transfers; this function uses the
// store's exact queue.
func importIsFaster(st *store, w *workItem, tokens int, rate float64) bool {
	if st.link.down {
		return false
	}
	importTime := st.wait(w.key, w.importPriority) + seconds(float64(tokens)*st.kvBytesPerToken/st.link.currentRate())
	return importTime < seconds(float64(tokens)/rate)
}

// startImport fetches the tokens that follow the cached ones from the store. If the
// item gets its slot before the import ends, its prefill starts after the import.
func (a *agent) startImport(w *workItem, cached, tokens int) {
	w.importing = true
	epoch := a.engine.epoch
	tracker := &a.linkUse[a.sim.storeIndex(w.key.conversation)]
	tracker.add(1, a.sim.clock.now)
	a.sim.storeFor(w.key.conversation).fetch(w.key, tokens, w.importPriority, func(ok bool) {
		tracker.add(-1, a.sim.clock.now)
		if epoch != a.engine.epoch {
			return
		}
		w.importing = false
		if ok {
			a.engine.cache.put(w.key, cached+tokens)
			w.cachedTokens = cached + tokens
		}
		if w.hasSlot {
			a.importWaitTokens -= w.prefillTokens
			a.startPrefill(w)
		}
	})
}

// startQueued grants slots to queued items while the engine's prefill backlog is below
// maxEngineBacklogTokens, and refuses items whose deadline has passed.
func (a *agent) startQueued() {
	for a.engine.tokensAhead(batchClass)+a.importWaitTokens < maxEngineBacklogTokens {
		w := a.queue.next(a.sim.clock.now)
		if w == nil {
			return
		}
		if a.sim.clock.now >= w.deadline {
			a.queue.policy.Done(w.admission, 0, wallTime(a.sim.clock.now))
			delete(a.active, w)
			w.entry.receiveRefusal(w, a, false)
			continue
		}
		a.engine.running++
		w.hasSlot, w.slotSince = true, a.sim.clock.now
		if w.importing {
			a.importWaitTokens += w.prefillTokens
		} else {
			a.startPrefill(w)
		}
	}
}

// startPrefill prefills the tokens that are not cached.
func (a *agent) startPrefill(w *workItem) {
	w.cachedTokens = max(w.cachedTokens, wholePieces(min(a.engine.cache.tokens(w.key), w.promptTokens)))
	a.engine.cache.touch(w.key)
	a.sim.countPrefill(w)
	a.engine.prefill(w, func() {
		a.engine.cache.put(w.key, w.promptTokens)
		a.sim.markBuilt(w.key, w.promptTokens)
		interval := a.engine.tokenInterval()
		a.sim.clock.after(interval, func() { a.sendFirstToken(w, interval) })
		a.startQueued()
	})
}

// sendFirstToken sends the first token and schedules the end of the response, which is
// not later than the deadline.
func (a *agent) sendFirstToken(w *workItem, interval time.Duration) {
	if !a.active[w] {
		return
	}
	if w.cancelled {
		a.finish(w, false)
		return
	}
	a.sendFrame(w, func() { w.entry.receiveFirstToken(w, interval) })
	a.sendLoadReports(w)
	now := a.sim.clock.now
	end := now + time.Duration(w.outputTokens-1)*interval
	a.sim.clock.at(min(end, max(now, w.deadline)), func() { a.finish(w, end <= w.deadline) })
}

// sendLoadReports sends a load report with a frame of the stream every ReportInterval,
// if that is set.
func (a *agent) sendLoadReports(w *workItem) {
	if a.sim.options.ReportInterval <= 0 {
		return
	}
	a.sim.clock.after(a.sim.options.ReportInterval, func() {
		if a.active[w] {
			a.sendFrame(w, func() {})
			a.sendLoadReports(w)
		}
	})
}

// finish ends a running attempt and frees its slot. It caches and exports the context
// only if the response is complete.
func (a *agent) finish(w *workItem, complete bool) {
	if !a.active[w] {
		return
	}
	delete(a.active, w)
	a.engine.running--
	slotHeld := a.sim.clock.now - w.slotSince
	if a.slotTime == 0 {
		a.slotTime = slotHeld
	}
	a.slotTime += time.Duration(slotTimeWeight * float64(slotHeld-a.slotTime))
	used := w.promptTokens
	if complete {
		used += w.outputTokens
	}
	a.queue.policy.Done(w.admission, used, wallTime(a.sim.clock.now))
	if complete {
		tokens := w.promptTokens + w.outputTokens
		a.engine.cache.put(w.key, tokens)
		a.sim.markBuilt(w.key, tokens)
		a.export(w, wholePieces(tokens))
	}
	a.sendFrame(w, func() { w.entry.receiveEnd(w, complete) })
	a.startQueued()
}

// cancel stops the attempt and frees its slot after the caller or the entry has
// gone.
func (a *agent) cancel(w *workItem) {
	if !a.active[w] || w.cancelled {
		return
	}
	w.cancelled = true
	if !w.hasSlot {
		a.queue.cancel(w)
		delete(a.active, w)
		return
	}
	if w.remainingTokens == 0 && !w.importing { // otherwise sendFirstToken frees the slot after the import and the prefill
		a.finish(w, false)
	}
}

// sendFrame delivers a frame of the response to the entry, together with a load
// report.
func (a *agent) sendFrame(w *workItem, deliver func()) {
	r := a.loadReport()
	a.sim.clock.after(w.entry.hopDelay(a), func() {
		if w.entry.lost {
			return
		}
		w.entry.endpointViews[a.index].ApplyReport(r, a.sim.clock.now)
		deliver()
	})
}

func (a *agent) loadReport() routing.LoadReport {
	r := routing.LoadReport{Running: a.engine.running, Waiting: len(a.queue.waiting), SlotTime: a.slotTime}
	for class := range r.AheadTokens {
		r.AheadTokens[class] = a.queue.tokensAhead(class) + a.engine.tokensAhead(class) + a.importWaitTokens
	}
	r.QueuedTokens = r.AheadTokens[batchClass]
	return r
}

// crash drops the agent's queue and cache and all attempts. The entries detect the
// silence of running attempts after silenceLimit.
func (a *agent) crash() {
	a.dead, a.importWaitTokens = true, 0
	a.engine.crash()
	for _, w := range sortedWork(a.active) {
		a.sim.clock.after(silenceLimit, func() { w.entry.handleSilence(w, a) })
	}
	a.active = map[*workItem]bool{}
	a.queue = a.sim.newQueue()
}
