package claims

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// AppendDone handles the result of an append. The offset is set only for AppendSucceeded.
func (k *Keeper) AppendDone(now time.Time, seq uint64, r AppendResult, offset int64) Commands {
	if seq != k.appendSeq || len(k.appending) == 0 {
		return k.startDue(now)
	}
	ended := k.appending
	k.appending = nil
	for _, it := range ended {
		switch {
		case it.observe != nil:
			k.floorAppendDone(it.observe, r, offset)
		case it.claim != nil:
			k.claimAppendDone(it, r, offset)
		case it.request == 0: // queued by queueMemoryFloors; no request waits for it
		case r == AppendSucceeded:
			k.reply(Reply{RequestID: it.request, Result: ResultRecorded})
		default:
			k.reply(Reply{RequestID: it.request, Result: ResultUnavailable})
		}
	}
	return k.startDue(now)
}

func (k *Keeper) floorAppendDone(w *pendingObserve, r AppendResult, offset int64) {
	if r == AppendSucceeded {
		w.floorOffset, w.afterRead = offset, k.readSeq
		return
	}
	k.removeObserve(w)
	k.observeInMemory(w)
}

// claimAppendDone handles the result of an append of a claim or of its void.
func (k *Keeper) claimAppendDone(it queuedRecord, r AppendResult, offset int64) {
	w := it.claim
	switch {
	case it.record.Kind == KindVoid:
		w.stage = stageUnconfirmed // a later read shows whether the claim or the void is in the log
		w.afterRead = k.readSeq
	case r == AppendSucceeded:
		w.stage, w.offset = stageAppended, offset
	case r == AppendUnknown:
		w.stage, w.afterRead = stageUnconfirmed, k.readSeq
	default:
		k.replyToClaim(w, Reply{Result: ResultUnavailable})
		k.removeClaim(w)
	}
}

// replyToClaim sends the reply to all requests that wait for the claim.
func (k *Keeper) replyToClaim(w *pendingClaim, r Reply) {
	for _, req := range w.requests {
		r.RequestID = req
		k.reply(r)
	}
	w.requests = nil
}

func (k *Keeper) removeClaim(w *pendingClaim) {
	for i, x := range k.claims {
		if x == w {
			k.claims = append(k.claims[:i:i], k.claims[i+1:]...)
			return
		}
	}
}

func (k *Keeper) removeObserve(w *pendingObserve) {
	for i, x := range k.observes {
		if x == w {
			k.observes = append(k.observes[:i:i], k.observes[i+1:]...)
			return
		}
	}
}

// failPending replies ResultUnavailable to the requests that need the log, after a
// read has failed. Claims whose records may still reach the log stay pending, but
// their executors are answered at once so that they close their attempts.
func (k *Keeper) failPending() {
	k.logUnavailable = true
	var queue []queuedRecord
	for _, it := range k.queue {
		switch {
		case it.request != 0:
			k.reply(Reply{RequestID: it.request, Result: ResultUnavailable})
		case it.claim != nil && it.record.Kind == KindVoid:
			queue = append(queue, it)
		}
	}
	k.queue = queue
	var claims []*pendingClaim
	for _, w := range k.claims {
		h, _ := k.state.Holder(w.claim.Key)
		k.replyToClaim(w, Reply{Result: ResultUnavailable, Holder: h})
		if w.stage != stageNeedsTailRead && w.stage != stageQueued {
			claims = append(claims, w)
		}
	}
	k.claims = claims
	for _, w := range k.lookups {
		h, _ := k.state.Holder(w.key)
		k.reply(Reply{RequestID: w.request, Result: ResultUnavailable, Holder: h})
	}
	k.lookups = nil
	k.failObserves()
}

func (k *Keeper) failObserves() {
	var pending []*pendingObserve
	for _, w := range k.observes {
		if k.appendInFlight(w) {
			pending = append(pending, w) // decided when its append ends
			continue
		}
		k.observeInMemory(w)
	}
	k.observes = pending
}

func (k *Keeper) appendInFlight(w *pendingObserve) bool {
	for _, it := range k.appending {
		if it.observe == w {
			return true
		}
	}
	return false
}

// ReadFailed handles a failed read.
func (k *Keeper) ReadFailed(now time.Time, seq uint64) Commands {
	if seq == k.readSeq && k.reading {
		k.reading = false
		k.failPending()
	}
	return k.startDue(now)
}

// ReadDone handles the page that a read returned.
func (k *Keeper) ReadDone(now time.Time, seq uint64, p Page) Commands {
	if seq != k.readSeq || !k.reading {
		return k.startDue(now)
	}
	recovered := k.logUnavailable
	k.reading, k.logUnavailable = false, false
	if !k.state.ApplyPage(p) {
		k.handleStateLoss()
		return k.startDue(now)
	}
	if recovered {
		k.queueMemoryFloors()
	}
	k.atTail = k.state.NextOffset() >= p.NextOffset
	k.resolveClaims(seq)
	if k.atTail {
		k.resolveLookups(seq)
		k.resolveObserves(seq)
	}
	return k.startDue(now)
}

// handleStateLoss updates the pending claims after the state was reset because
// entries were trimmed before they were read. Claims whose records may be in the log
// are answered with ResultUnavailable, and voided unless their records are read
// later.
func (k *Keeper) handleStateLoss() {
	k.atTail = false
	var claims []*pendingClaim
	for _, w := range k.claims {
		switch w.stage {
		case stageNeedsTailRead, stageQueued:
		default:
			k.replyToClaim(w, Reply{Result: ResultUnavailable})
			if w.stage == stageAppended {
				w.stage, w.afterRead = stageUnconfirmed, k.readSeq
			}
		}
		claims = append(claims, w)
	}
	k.claims = claims
}

func (k *Keeper) resolveClaims(seq uint64) {
	var pending []*pendingClaim
	for _, w := range k.claims {
		if !k.resolveClaim(w, seq) {
			pending = append(pending, w)
		}
	}
	k.claims = pending
}

// resolveClaim advances the claim after a read and reports whether it was answered.
func (k *Keeper) resolveClaim(w *pendingClaim, seq uint64) bool {
	status := k.state.ClaimStatus(w.claim.Attempt)
	switch w.stage {
	case stageNeedsTailRead:
		if !k.atTail || seq <= w.afterRead {
			return false
		}
		if h, held := k.state.Holder(w.claim.Key); held && h.Claim.Attempt != w.claim.Attempt {
			k.replyToClaim(w, k.holderReply(0, w.claim, h))
			return true
		}
		if status == Unseen {
			k.enqueueClaim(w)
			return false
		}
	case stageAppended:
		if k.state.NextOffset() <= w.offset {
			return false
		}
	case stageUnconfirmed:
		if status != Unseen {
			break
		}
		if k.atTail && seq > w.afterRead {
			w.stage = stageVoiding
			k.queue = append(k.queue, queuedRecord{record: Record{Kind: KindVoid, Attempt: w.claim.Attempt}, claim: w})
		}
		return false
	default: // stageQueued, stageInFlight: wait for the append; stageVoiding: until the claim or its void is read
		if status == Unseen || w.stage != stageVoiding {
			return false
		}
	}
	k.replyToClaim(w, k.claimReply(w, status))
	return true
}

// claimReply returns the reply to a claim whose status in the log is known. A valid
// claim is not granted if an earlier claim of its key may have been trimmed unread.
func (k *Keeper) claimReply(w *pendingClaim, status ClaimStatus) Reply {
	h, held := k.state.Holder(w.claim.Key)
	switch {
	case status == Valid && !k.state.CoversKeyTime(w.claim.KeyTimeMs):
		return Reply{Result: ResultUnavailable}
	case status == Valid && !h.Settled:
		return Reply{Result: ResultGranted}
	case held:
		return k.holderReply(0, w.claim, h)
	}
	return Reply{Result: ResultVoid}
}

func (k *Keeper) resolveLookups(seq uint64) {
	var pending []pendingLookup
	for _, w := range k.lookups {
		h, held := k.state.Holder(w.key)
		switch {
		case seq <= w.afterRead:
			pending = append(pending, w)
		case !held:
			k.reply(Reply{RequestID: w.request, Result: ResultNotHeld})
		case h.Settled:
			k.reply(Reply{RequestID: w.request, Result: ResultSettled, Holder: h})
		default:
			k.reply(Reply{RequestID: w.request, Result: ResultPending, Holder: h})
		}
	}
	k.lookups = pending
}

// resolveObserves decides the observations for which a read of the tail began after
// the request. A version above the floor is appended to the log first and decided
// when its record is read, since a higher floor may precede it in the log.
func (k *Keeper) resolveObserves(seq uint64) {
	var pending []*pendingObserve
	for _, w := range k.observes {
		f := k.floor(w.resource)
		waiting := w.queued && w.floorOffset < 0 || seq <= w.afterRead || k.state.NextOffset() <= w.floorOffset
		switch {
		case waiting:
			pending = append(pending, w)
		case w.version < f:
			k.reply(Reply{RequestID: w.request, Result: ResultStale, Floor: f})
		case w.version == k.state.Floor(w.resource):
			delete(k.memoryFloors, w.resource)
			k.reply(Reply{RequestID: w.request, Result: ResultOK, Floor: f})
		case w.queued:
			k.observeInMemory(w) // the log has already trimmed the floor record
		default:
			w.queued = true
			k.queue = append(k.queue, queuedRecord{record: Record{Kind: KindFloor, Resource: w.resource, Version: w.version}, observe: w})
			pending = append(pending, w)
		}
	}
	k.observes = pending
}

// queueMemoryFloors queues the floors that were kept only in memory while the log was
// unavailable, in the order of their hashes.
func (k *Keeper) queueMemoryFloors() {
	for _, r := range slices.SortedFunc(maps.Keys(k.memoryFloors), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) }) {
		if v := k.memoryFloors[r]; v > k.state.Floor(r) {
			k.queue = append(k.queue, queuedRecord{record: Record{Kind: KindFloor, Resource: r, Version: v}})
		} else {
			delete(k.memoryFloors, r)
		}
	}
}
