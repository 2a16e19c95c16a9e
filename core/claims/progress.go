package claims

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// Appended handles the result of an append. The offset is set only for Taken.
func (m *Keeper) Appended(now time.Time, seq uint64, r AppendResult, offset int64) Commands {
	if seq != m.appendSeq || len(m.appending) == 0 {
		return m.startDue(now)
	}
	ended := m.appending
	m.appending = nil
	for _, it := range ended {
		switch {
		case it.observe != nil:
			m.floorAppendDone(it.observe, r, offset)
		case it.claim != nil:
			m.claimAppendDone(it, r, offset)
		case it.request == 0: // queued by queueMemoryFloors; no request waits for it
		case r == Taken:
			m.reply(Reply{Req: it.request, Result: ResultDone})
		default:
			m.reply(Reply{Req: it.request, Result: ResultUnavailable})
		}
	}
	return m.startDue(now)
}

func (m *Keeper) floorAppendDone(w *pendingObserve, r AppendResult, offset int64) {
	if r == Taken {
		w.floorOffset, w.afterRead = offset, m.readSeq
		return
	}
	m.removeObserve(w)
	m.observeInMemory(w)
}

// claimAppendDone handles the result of an append of a claim or of its void.
func (m *Keeper) claimAppendDone(it queuedRecord, r AppendResult, offset int64) {
	w := it.claim
	switch {
	case it.record.Kind == KindVoid:
		w.stage = stageUnconfirmed // a later read shows whether the claim or the void is in the log
		w.afterRead = m.readSeq
	case r == Taken:
		w.stage, w.offset = stageAppended, offset
	case r == Lost:
		w.stage, w.afterRead = stageUnconfirmed, m.readSeq
	default:
		m.replyToClaim(w, Reply{Result: ResultUnavailable})
		m.removeClaim(w)
	}
}

// replyToClaim sends the reply to all requests that wait for the claim.
func (m *Keeper) replyToClaim(w *pendingClaim, r Reply) {
	for _, req := range w.requests {
		r.Req = req
		m.reply(r)
	}
	w.requests = nil
}

func (m *Keeper) removeClaim(w *pendingClaim) {
	for i, x := range m.claims {
		if x == w {
			m.claims = append(m.claims[:i:i], m.claims[i+1:]...)
			return
		}
	}
}

func (m *Keeper) removeObserve(w *pendingObserve) {
	for i, x := range m.observes {
		if x == w {
			m.observes = append(m.observes[:i:i], m.observes[i+1:]...)
			return
		}
	}
}

// failPending replies ResultUnavailable to the requests that need the log, after a
// read has failed. Claims whose records may still reach the log stay pending, but
// their executors are answered at once so that they close their attempts.
func (m *Keeper) failPending() {
	m.logUnavailable = true
	var queue []queuedRecord
	for _, it := range m.queue {
		switch {
		case it.request != 0:
			m.reply(Reply{Req: it.request, Result: ResultUnavailable})
		case it.claim != nil && it.record.Kind == KindVoid:
			queue = append(queue, it)
		}
	}
	m.queue = queue
	var claims []*pendingClaim
	for _, w := range m.claims {
		h, _ := m.state.Holding(w.claim.Key)
		m.replyToClaim(w, Reply{Result: ResultUnavailable, Holding: h})
		if w.stage != stageNeedsTailRead && w.stage != stageQueued {
			claims = append(claims, w)
		}
	}
	m.claims = claims
	for _, w := range m.lookups {
		h, _ := m.state.Holding(w.key)
		m.reply(Reply{Req: w.request, Result: ResultUnavailable, Holding: h})
	}
	m.lookups = nil
	m.failObserves()
}

func (m *Keeper) failObserves() {
	var pending []*pendingObserve
	for _, w := range m.observes {
		if m.appendInFlight(w) {
			pending = append(pending, w) // decided when its append ends
			continue
		}
		m.observeInMemory(w)
	}
	m.observes = pending
}

func (m *Keeper) appendInFlight(w *pendingObserve) bool {
	for _, it := range m.appending {
		if it.observe == w {
			return true
		}
	}
	return false
}

// ReadFailed handles a failed read.
func (m *Keeper) ReadFailed(now time.Time, seq uint64) Commands {
	if seq == m.readSeq && m.reading {
		m.reading = false
		m.failPending()
	}
	return m.startDue(now)
}

// ReadDone handles the page that a read returned.
func (m *Keeper) ReadDone(now time.Time, seq uint64, p Page) Commands {
	if seq != m.readSeq || !m.reading {
		return m.startDue(now)
	}
	recovered := m.logUnavailable
	m.reading, m.logUnavailable = false, false
	if !m.state.Read(p) {
		m.handleStateLoss()
		return m.startDue(now)
	}
	if recovered {
		m.queueMemoryFloors()
	}
	m.atTail = m.state.Next() >= p.Next
	m.resolveClaims(seq)
	if m.atTail {
		m.resolveLookups(seq)
		m.resolveObserves(seq)
	}
	return m.startDue(now)
}

// handleStateLoss updates the pending claims after the state was reset because
// entries were trimmed before they were read. Claims whose records may be in the log
// are answered with ResultUnavailable, and voided unless their records are read
// later.
func (m *Keeper) handleStateLoss() {
	m.atTail = false
	var claims []*pendingClaim
	for _, w := range m.claims {
		switch w.stage {
		case stageNeedsTailRead, stageQueued:
		default:
			m.replyToClaim(w, Reply{Result: ResultUnavailable})
			if w.stage == stageAppended {
				w.stage, w.afterRead = stageUnconfirmed, m.readSeq
			}
		}
		claims = append(claims, w)
	}
	m.claims = claims
}

func (m *Keeper) resolveClaims(seq uint64) {
	var pending []*pendingClaim
	for _, w := range m.claims {
		if !m.resolveClaim(w, seq) {
			pending = append(pending, w)
		}
	}
	m.claims = pending
}

// resolveClaim advances the claim after a read and reports whether it was answered.
func (m *Keeper) resolveClaim(w *pendingClaim, seq uint64) bool {
	status := m.state.Standing(w.claim.Attempt)
	switch w.stage {
	case stageNeedsTailRead:
		if !m.atTail || seq <= w.afterRead {
			return false
		}
		if h, held := m.state.Holding(w.claim.Key); held && h.Claim.Attempt != w.claim.Attempt {
			m.replyToClaim(w, m.holderReply(0, w.claim, h))
			return true
		}
		if status == Unseen {
			m.enqueueClaim(w)
			return false
		}
	case stageAppended:
		if m.state.Next() <= w.offset {
			return false
		}
	case stageUnconfirmed:
		if status != Unseen {
			break
		}
		if m.atTail && seq > w.afterRead {
			w.stage = stageVoiding
			m.queue = append(m.queue, queuedRecord{record: Record{Kind: KindVoid, Attempt: w.claim.Attempt}, claim: w})
		}
		return false
	default:
		if status == Unseen || w.stage != stageVoiding {
			return false
		}
	}
	m.replyToClaim(w, m.claimReply(w, status))
	return true
}

// claimReply returns the reply to a claim whose status in the log is known.
func (m *Keeper) claimReply(w *pendingClaim, status Standing) Reply {
	h, held := m.state.Holding(w.claim.Key)
	switch {
	case status == Valid && !m.state.Covers(w.claim.KeyTimeMs):
		return Reply{Result: ResultUnavailable}
	case status == Valid && !h.Settled:
		return Reply{Result: ResultGranted}
	case held:
		return m.holderReply(0, w.claim, h)
	}
	return Reply{Result: ResultVoid}
}

func (m *Keeper) resolveLookups(seq uint64) {
	var pending []pendingLookup
	for _, w := range m.lookups {
		h, held := m.state.Holding(w.key)
		switch {
		case seq <= w.afterRead:
			pending = append(pending, w)
		case !held:
			m.reply(Reply{Req: w.request, Result: ResultNone})
		case h.Settled:
			m.reply(Reply{Req: w.request, Result: ResultSettled, Holding: h})
		default:
			m.reply(Reply{Req: w.request, Result: ResultPending, Holding: h})
		}
	}
	m.lookups = pending
}

// resolveObserves decides the observations for which a read of the tail began after
// the request. A version above the floor is appended to the log first and decided
// when its record is read, since a higher floor may precede it in the log.
func (m *Keeper) resolveObserves(seq uint64) {
	var pending []*pendingObserve
	for _, w := range m.observes {
		f := m.floor(w.resource)
		waiting := w.queued && w.floorOffset < 0 || seq <= w.afterRead || m.state.Next() <= w.floorOffset
		switch {
		case waiting:
			pending = append(pending, w)
		case w.version < f:
			m.reply(Reply{Req: w.request, Result: ResultStale, Floor: f})
		case w.version == m.state.Floor(w.resource):
			delete(m.memoryFloors, w.resource)
			m.reply(Reply{Req: w.request, Result: ResultOK, Floor: f})
		case w.queued:
			m.observeInMemory(w) // the log has already trimmed the floor record
		default:
			w.queued = true
			m.queue = append(m.queue, queuedRecord{record: Record{Kind: KindFloor, Resource: w.resource, Version: w.version}, observe: w})
			pending = append(pending, w)
		}
	}
	m.observes = pending
}

// queueMemoryFloors queues the floors that were kept only in memory while the log was
// unavailable, in the order of their hashes.
func (m *Keeper) queueMemoryFloors() {
	for _, r := range slices.SortedFunc(maps.Keys(m.memoryFloors), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) }) {
		if v := m.memoryFloors[r]; v > m.state.Floor(r) {
			m.queue = append(m.queue, queuedRecord{record: Record{Kind: KindFloor, Resource: r, Version: v}})
		} else {
			delete(m.memoryFloors, r)
		}
	}
}
