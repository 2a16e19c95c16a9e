package claims

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// Appended handles the result of an append. The offset is set only for Taken.
func (co *Keeper) Appended(now time.Time, seq uint64, r AppendResult, offset int64) Commands {
	if seq != co.appendSeq || len(co.appending) == 0 {
		return co.startDue(now)
	}
	flying := co.appending
	co.appending = nil
	for _, it := range flying {
		switch {
		case it.observe != nil:
			co.floorAppendDone(it.observe, r, offset)
		case it.claim != nil:
			co.claimAppendDone(it, r, offset)
		case it.request == 0: // queued by queueMemoryFloors; no request waits for it
		case r == Taken:
			co.reply(Reply{Req: it.request, Result: ResultDone})
		default:
			co.reply(Reply{Req: it.request, Result: ResultUnavailable})
		}
	}
	return co.startDue(now)
}

func (co *Keeper) floorAppendDone(w *pendingObserve, r AppendResult, offset int64) {
	if r == Taken {
		w.floorOffset, w.afterRead = offset, co.readSeq
		return
	}
	co.removeObserve(w)
	co.observeInMemory(w)
}

// claimAppendDone handles the result of an append of a claim or of its void.
func (co *Keeper) claimAppendDone(it queuedRecord, r AppendResult, offset int64) {
	w := it.claim
	switch {
	case it.record.Kind == KindVoid:
		w.stage = stageUnconfirmed // a later read shows whether the claim or the void is in the log
		w.afterRead = co.readSeq
	case r == Taken:
		w.stage, w.offset = stageAppended, offset
	case r == Lost:
		w.stage, w.afterRead = stageUnconfirmed, co.readSeq
	default:
		co.replyToClaim(w, Reply{Result: ResultUnavailable})
		co.removeClaim(w)
	}
}

// replyToClaim sends the reply to all requests that wait for the claim.
func (co *Keeper) replyToClaim(w *pendingClaim, r Reply) {
	for _, req := range w.requests {
		r.Req = req
		co.reply(r)
	}
	w.requests = nil
}

func (co *Keeper) removeClaim(w *pendingClaim) {
	for i, x := range co.claims {
		if x == w {
			co.claims = append(co.claims[:i:i], co.claims[i+1:]...)
			return
		}
	}
}

func (co *Keeper) removeObserve(w *pendingObserve) {
	for i, x := range co.observes {
		if x == w {
			co.observes = append(co.observes[:i:i], co.observes[i+1:]...)
			return
		}
	}
}

// failPending replies ResultUnavailable to the requests that need the log, after a
// read has failed. Claims whose records may still reach the log stay pending, but
// their executors are answered at once so that they close their attempts.
func (co *Keeper) failPending() {
	co.logUnavailable = true
	var queue []queuedRecord
	for _, it := range co.queue {
		switch {
		case it.request != 0:
			co.reply(Reply{Req: it.request, Result: ResultUnavailable})
		case it.claim != nil && it.record.Kind == KindVoid:
			queue = append(queue, it)
		}
	}
	co.queue = queue
	var claims []*pendingClaim
	for _, w := range co.claims {
		h, _ := co.state.Holding(w.claim.Key)
		co.replyToClaim(w, Reply{Result: ResultUnavailable, Holding: h})
		if w.stage != stageNeedsTailRead && w.stage != stageQueued {
			claims = append(claims, w)
		}
	}
	co.claims = claims
	for _, w := range co.lookups {
		h, _ := co.state.Holding(w.key)
		co.reply(Reply{Req: w.request, Result: ResultUnavailable, Holding: h})
	}
	co.lookups = nil
	co.failObserves()
}

func (co *Keeper) failObserves() {
	var pending []*pendingObserve
	for _, w := range co.observes {
		if co.appendInFlight(w) {
			pending = append(pending, w) // decided when its append ends
			continue
		}
		co.observeInMemory(w)
	}
	co.observes = pending
}

func (co *Keeper) appendInFlight(w *pendingObserve) bool {
	for _, it := range co.appending {
		if it.observe == w {
			return true
		}
	}
	return false
}

// ReadFailed handles a failed read.
func (co *Keeper) ReadFailed(now time.Time, seq uint64) Commands {
	if seq == co.readSeq && co.reading {
		co.reading = false
		co.failPending()
	}
	return co.startDue(now)
}

// ReadDone handles the page that a read returned.
func (co *Keeper) ReadDone(now time.Time, seq uint64, p Page) Commands {
	if seq != co.readSeq || !co.reading {
		return co.startDue(now)
	}
	recovered := co.logUnavailable
	co.reading, co.logUnavailable = false, false
	if !co.state.Read(p) {
		co.handleStateLoss()
		return co.startDue(now)
	}
	if recovered {
		co.queueMemoryFloors()
	}
	co.atTail = co.state.Next() >= p.Next
	co.resolveClaims(seq)
	if co.atTail {
		co.resolveLookups(seq)
		co.resolveObserves(seq)
	}
	return co.startDue(now)
}

// handleStateLoss updates the pending claims after the state was reset because
// entries were trimmed before they were read. Claims whose records may be in the log
// are answered with ResultUnavailable, and voided unless their records are read
// later.
func (co *Keeper) handleStateLoss() {
	co.atTail = false
	var claims []*pendingClaim
	for _, w := range co.claims {
		switch w.stage {
		case stageNeedsTailRead, stageQueued:
		default:
			co.replyToClaim(w, Reply{Result: ResultUnavailable})
			if w.stage == stageAppended {
				w.stage, w.afterRead = stageUnconfirmed, co.readSeq
			}
		}
		claims = append(claims, w)
	}
	co.claims = claims
}

func (co *Keeper) resolveClaims(seq uint64) {
	var pending []*pendingClaim
	for _, w := range co.claims {
		if !co.resolveClaim(w, seq) {
			pending = append(pending, w)
		}
	}
	co.claims = pending
}

// resolveClaim advances the claim after a read and reports whether it was answered.
func (co *Keeper) resolveClaim(w *pendingClaim, seq uint64) bool {
	status := co.state.Standing(w.claim.Attempt)
	switch w.stage {
	case stageNeedsTailRead:
		if !co.atTail || seq <= w.afterRead {
			return false
		}
		if h, held := co.state.Holding(w.claim.Key); held && h.Claim.Attempt != w.claim.Attempt {
			co.replyToClaim(w, co.holderReply(0, w.claim, h))
			return true
		}
		if status == Unseen {
			co.enqueueClaim(w)
			return false
		}
	case stageAppended:
		if co.state.Next() <= w.offset {
			return false
		}
	case stageUnconfirmed:
		if status != Unseen {
			break
		}
		if co.atTail && seq > w.afterRead {
			w.stage = stageVoiding
			co.queue = append(co.queue, queuedRecord{record: Record{Kind: KindVoid, Attempt: w.claim.Attempt}, claim: w})
		}
		return false
	default:
		if status == Unseen || w.stage != stageVoiding {
			return false
		}
	}
	co.replyToClaim(w, co.claimReply(w, status))
	return true
}

// claimReply returns the reply to a claim whose status in the log is known.
func (co *Keeper) claimReply(w *pendingClaim, status Standing) Reply {
	h, held := co.state.Holding(w.claim.Key)
	switch {
	case status == Valid && !co.state.Covers(w.claim.KeyTimeMs):
		return Reply{Result: ResultUnavailable}
	case status == Valid && !h.Settled:
		return Reply{Result: ResultGranted}
	case held:
		return co.holderReply(0, w.claim, h)
	}
	return Reply{Result: ResultVoid}
}

func (co *Keeper) resolveLookups(seq uint64) {
	var pending []pendingLookup
	for _, w := range co.lookups {
		h, held := co.state.Holding(w.key)
		switch {
		case seq <= w.afterRead:
			pending = append(pending, w)
		case !held:
			co.reply(Reply{Req: w.request, Result: ResultNone})
		case h.Settled:
			co.reply(Reply{Req: w.request, Result: ResultSettled, Holding: h})
		default:
			co.reply(Reply{Req: w.request, Result: ResultPending, Holding: h})
		}
	}
	co.lookups = pending
}

// resolveObserves decides the observations for which a read of the tail began after
// the request. A version above the floor is appended to the log first and decided
// when its record is read, since a higher floor may precede it in the log.
func (co *Keeper) resolveObserves(seq uint64) {
	var pending []*pendingObserve
	for _, w := range co.observes {
		f := co.floor(w.resource)
		waiting := w.queued && w.floorOffset < 0 || seq <= w.afterRead || co.state.Next() <= w.floorOffset
		switch {
		case waiting:
			pending = append(pending, w)
		case w.version < f:
			co.reply(Reply{Req: w.request, Result: ResultStale, Floor: f})
		case w.version == co.state.Floor(w.resource):
			delete(co.memoryFloors, w.resource)
			co.reply(Reply{Req: w.request, Result: ResultOK, Floor: f})
		case w.queued:
			co.observeInMemory(w) // the log has already trimmed the floor record
		default:
			w.queued = true
			co.queue = append(co.queue, queuedRecord{record: Record{Kind: KindFloor, Resource: w.resource, Version: w.version}, observe: w})
			pending = append(pending, w)
		}
	}
	co.observes = pending
}

// queueMemoryFloors queues the floors that were kept only in memory while the log was
// unavailable, in the order of their hashes.
func (co *Keeper) queueMemoryFloors() {
	for _, r := range slices.SortedFunc(maps.Keys(co.memoryFloors), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) }) {
		if v := co.memoryFloors[r]; v > co.state.Floor(r) {
			co.queue = append(co.queue, queuedRecord{record: Record{Kind: KindFloor, Resource: r, Version: v}})
		} else {
			delete(co.memoryFloors, r)
		}
	}
}
