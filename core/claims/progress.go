package claims

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// Appended takes the end of an append; the offset counts only for Taken.
func (k *Keeper) Appended(now time.Time, seq uint64, r AppendResult, offset int64) Commands {
	if seq != k.appends || len(k.flying) == 0 {
		return k.flush(now)
	}
	flying := k.flying
	k.flying = nil
	for _, it := range flying {
		switch {
		case it.observe != nil:
			k.floorEnded(it.observe, r, offset)
		case it.claim != nil:
			k.claimEnded(it, r, offset)
		case it.req == 0: // a floor from memory
		case r == Taken:
			k.reply(Reply{Req: it.req, Result: ResultDone})
		default:
			k.reply(Reply{Req: it.req, Result: ResultUnavailable})
		}
	}
	return k.flush(now)
}

func (k *Keeper) floorEnded(w *observeWait, r AppendResult, offset int64) {
	if r == Taken {
		w.offset, w.after = offset, k.reads
		return
	}
	k.dropObserve(w)
	k.observeInMemory(w)
}

// claimEnded takes the end of an append with the claim's record or its void.
func (k *Keeper) claimEnded(it item, r AppendResult, offset int64) {
	w := it.claim
	switch {
	case it.rec.Kind == KindVoid:
		w.stage = stageLost // read again: the void decides if it was taken
		w.after = k.reads
	case r == Taken:
		w.stage, w.offset = stageTaken, offset
	case r == Lost:
		w.stage, w.after = stageLost, k.reads
	default:
		k.finish(w, Reply{Result: ResultUnavailable})
		k.dropClaim(w)
	}
}

// finish replies to everyone who waits for the claim.
func (k *Keeper) finish(w *claimWait, r Reply) {
	for _, req := range w.reqs {
		r.Req = req
		k.reply(r)
	}
	w.reqs = nil
}

func (k *Keeper) dropClaim(w *claimWait) {
	for i, x := range k.claims {
		if x == w {
			k.claims = append(k.claims[:i:i], k.claims[i+1:]...)
			return
		}
	}
}

func (k *Keeper) dropObserve(w *observeWait) {
	for i, x := range k.observes {
		if x == w {
			k.observes = append(k.observes[:i:i], k.observes[i+1:]...)
			return
		}
	}
}

// failed answers what can't go on without the log, after a read has failed.
// Claims whose records may be on their way are followed further, but their
// executors are told at once, so that they close their attempts.
func (k *Keeper) failed() {
	k.down = true
	var queue []item
	for _, it := range k.queue {
		switch {
		case it.req != 0:
			k.reply(Reply{Req: it.req, Result: ResultUnavailable})
		case it.claim != nil && it.rec.Kind == KindVoid:
			queue = append(queue, it)
		}
	}
	k.queue = queue
	var claims []*claimWait
	for _, w := range k.claims {
		h, _ := k.st.Holding(w.claim.Key)
		k.finish(w, Reply{Result: ResultUnavailable, Holding: h})
		if w.stage != stageFresh && w.stage != stageQueued {
			claims = append(claims, w)
		}
	}
	k.claims = claims
	for _, w := range k.lookups {
		h, _ := k.st.Holding(w.key)
		k.reply(Reply{Req: w.req, Result: ResultUnavailable, Holding: h})
	}
	k.lookups = nil
	k.failObserves()
}

func (k *Keeper) failObserves() {
	var rest []*observeWait
	for _, w := range k.observes {
		if k.inFlight(w) {
			rest = append(rest, w) // its append tells
			continue
		}
		k.observeInMemory(w)
	}
	k.observes = rest
}

func (k *Keeper) inFlight(w *observeWait) bool {
	for _, it := range k.flying {
		if it.observe == w {
			return true
		}
	}
	return false
}

// ReadFailed takes the end of a read that failed.
func (k *Keeper) ReadFailed(now time.Time, seq uint64) Commands {
	if seq == k.reads && k.reading {
		k.reading = false
		k.failed()
	}
	return k.flush(now)
}

// ReadDone takes the page of a read.
func (k *Keeper) ReadDone(now time.Time, seq uint64, p Page) Commands {
	if seq != k.reads || !k.reading {
		return k.flush(now)
	}
	recovered := k.down
	k.reading, k.down = false, false
	if !k.st.Read(p) {
		k.restart()
		return k.flush(now)
	}
	if recovered {
		k.recordMemory()
	}
	k.readAll = k.st.Next() >= p.Next
	k.resolveClaims(seq)
	if k.readAll {
		k.resolveLookups(seq)
		k.resolveObserves(seq)
	}
	return k.flush(now)
}

// restart follows the loss of the state: entries were trimmed unread. Executors
// that wait for a record in the log are told to give up; records that are not
// read again are voided.
func (k *Keeper) restart() {
	k.readAll = false
	var claims []*claimWait
	for _, w := range k.claims {
		switch w.stage {
		case stageFresh, stageQueued:
		default:
			k.finish(w, Reply{Result: ResultUnavailable})
			if w.stage == stageTaken {
				w.stage, w.after = stageLost, k.reads
			}
		}
		claims = append(claims, w)
	}
	k.claims = claims
}

func (k *Keeper) resolveClaims(seq uint64) {
	var rest []*claimWait
	for _, w := range k.claims {
		if !k.resolveClaim(w, seq) {
			rest = append(rest, w)
		}
	}
	k.claims = rest
}

// resolveClaim reports whether the claim is decided.
func (k *Keeper) resolveClaim(w *claimWait, seq uint64) bool {
	standing := k.st.Standing(w.claim.Attempt)
	switch w.stage {
	case stageFresh:
		if !k.readAll || seq <= w.after {
			return false
		}
		if h, held := k.st.Holding(w.claim.Key); held && h.Claim.Attempt != w.claim.Attempt {
			k.finish(w, k.describe(0, w.claim, h))
			return true
		}
		if standing == Unseen {
			k.enqueueClaim(w)
			return false
		}
	case stageTaken:
		if k.st.Next() <= w.offset {
			return false
		}
	case stageLost:
		if standing != Unseen {
			break
		}
		if k.readAll && seq > w.after {
			w.stage = stageVoid
			k.queue = append(k.queue, item{rec: Record{Kind: KindVoid, Attempt: w.claim.Attempt}, claim: w})
		}
		return false
	default:
		if standing == Unseen || w.stage != stageVoid {
			return false
		}
	}
	k.finish(w, k.judge(w, standing))
	return true
}

// judge turns the log's judgement into the reply.
func (k *Keeper) judge(w *claimWait, s Standing) Reply {
	h, held := k.st.Holding(w.claim.Key)
	switch {
	case s == Valid && !k.st.Covers(w.claim.KeyTimeMs):
		return Reply{Result: ResultUnavailable}
	case s == Valid && !h.Settled:
		return Reply{Result: ResultGranted}
	case held:
		return k.describe(0, w.claim, h)
	}
	return Reply{Result: ResultVoid}
}

func (k *Keeper) resolveLookups(seq uint64) {
	var rest []lookupWait
	for _, w := range k.lookups {
		h, held := k.st.Holding(w.key)
		switch {
		case seq <= w.after:
			rest = append(rest, w)
		case !held:
			k.reply(Reply{Req: w.req, Result: ResultNone})
		case h.Settled:
			k.reply(Reply{Req: w.req, Result: ResultSettled, Holding: h})
		default:
			k.reply(Reply{Req: w.req, Result: ResultPending, Holding: h})
		}
	}
	k.lookups = rest
}

// resolveObserves decides the observations whose read of the tail began late
// enough. A version above the floor is recorded first, and then decided again,
// since a higher floor may have come in between.
func (k *Keeper) resolveObserves(seq uint64) {
	var rest []*observeWait
	for _, w := range k.observes {
		f := k.floor(w.resource)
		waiting := w.queued && w.offset < 0 || seq <= w.after || k.st.Next() <= w.offset
		switch {
		case waiting:
			rest = append(rest, w)
		case w.version < f:
			k.reply(Reply{Req: w.req, Result: ResultStale, Floor: f})
		case w.version == k.st.Floor(w.resource):
			delete(k.memory, w.resource)
			k.reply(Reply{Req: w.req, Result: ResultOK, Floor: f})
		case w.queued:
			k.observeInMemory(w) // the log has already trimmed the floor
		default:
			w.queued = true
			k.queue = append(k.queue, item{rec: Record{Kind: KindFloor, Resource: w.resource, Version: w.version}, observe: w})
			rest = append(rest, w)
		}
	}
	k.observes = rest
}

// recordMemory queues the floors that were kept in memory during an outage, in
// the order of their hashes.
func (k *Keeper) recordMemory() {
	for _, r := range slices.SortedFunc(maps.Keys(k.memory), func(a, b Hash) int { return bytes.Compare(a[:], b[:]) }) {
		if v := k.memory[r]; v > k.st.Floor(r) {
			k.queue = append(k.queue, item{rec: Record{Kind: KindFloor, Resource: r, Version: v}})
		} else {
			delete(k.memory, r)
		}
	}
}
