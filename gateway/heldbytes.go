package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/callerconn"
	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// Figures of the budget for buffered bytes.
const (
	byteReleaseWait   = 100 * time.Millisecond // for which a new request waits for the bytes of requests that are being ended
	byteRetryInterval = 50 * time.Millisecond  // between two looks for room: requests become stalled by time alone
	bodyCopies        = 2                      // of a request body: as read, and as encoded for an endpoint
	progressBytes     = 16 << 10               // written to a caller or an endpoint between two looks at the clock
	bytesPerMb        = 1 << 20
)

// errNoBytes is the end of an attempt for lack of room in the budget for buffered bytes.
var errNoBytes = errors.New("no room in the budget for buffered bytes (heldBytesMb)")

// errBytesTooMany is returned for more bytes than one connection may hold.
var errBytesTooMany = fmt.Errorf("%w: more than a quarter of it", errNoBytes)

// heldBytes is the budget for the bytes that this process buffers for callers and endpoints.
type heldBytes struct {
	clock Clock

	mu           sync.Mutex
	budget       *forward.ByteBudget
	owners       map[*forward.ByteReservation]*requestBytes
	freed        chan struct{} // closed when bytes are released, if a request waits for that
	waiters      int
	ended        int64         // requests that were ended
	refused      int64         // new requests that did not fit
	longestStall time.Duration // of the requests that have made progress again or have ended
}

// newHeldBytes returns the budget, nil if it is off.
func newHeldBytes(megabytes float64, clock Clock) *heldBytes {
	if megabytes <= 0 {
		return nil
	}
	return &heldBytes{clock: clock, budget: forward.NewByteBudget(int64(megabytes * bytesPerMb)), owners: map[*forward.ByteReservation]*requestBytes{}, freed: make(chan struct{})}
}

// requestBytes is the part of the budget that one request holds. A nil *requestBytes has no bounds.
// The methods are called by the handler's goroutine, except where they say otherwise.
type requestBytes struct {
	h          *heldBytes
	id         string
	ctx        context.Context
	cancel     context.CancelFunc
	controller *http.ResponseController
	plain      http.ResponseWriter // without the tracking of progress

	body, response int64
	peak           int64
	blocked        time.Duration // time spent on writes to the caller and on waits for room
	blockedBefore  time.Duration // part of blocked that precedes the current attempt

	// guarded by h.mu
	r         *forward.ByteReservation
	ended     bool
	headSent  bool // the response's header has been written
	readsBody bool
}

// reserveBytes reserves what a new request is known to hold, before its body is read.
func (q *request) reserveBytes(ctx context.Context, cancel context.CancelFunc) *apierr.Error {
	h := q.g.held
	if h == nil {
		return nil
	}
	b := &requestBytes{h: h, id: q.call.ID, ctx: ctx, cancel: cancel, controller: http.NewResponseController(q.w), plain: q.w}
	h.mu.Lock()
	b.r = h.budget.Add()
	h.owners[b.r] = b
	h.mu.Unlock()
	q.bytes = b
	q.w = &trackedWriter{q.w, b}
	b.body = bodyCopies * max(q.r.ContentLength, 0)
	err := b.resize(true)
	if err == nil {
		return nil
	}
	h.mu.Lock()
	h.refused++
	h.mu.Unlock()
	return q.bytesError(err)
}

// releaseBytes releases what the request holds. It is called also if the request panics.
func (q *request) releaseBytes() {
	b := q.bytes
	if b == nil {
		return
	}
	h := b.h
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Remove(b.r)
	delete(h.owners, b.r)
	h.signalFreed()
}

// signalFreed wakes the requests that wait for room. The caller holds the mutex.
func (h *heldBytes) signalFreed() {
	if h.waiters > 0 {
		close(h.freed)
		h.freed = make(chan struct{})
	}
}

// holdBody sets the size of the request's body.
func (b *requestBytes) holdBody(n int64) error {
	if b == nil {
		return nil
	}
	b.body = bodyCopies * n
	return b.resize(false)
}

// holdResponse sets the number of bytes that are buffered of the response.
func (b *requestBytes) holdResponse(n int) error {
	if b == nil || b.response == int64(n) {
		return nil
	}
	b.response = int64(n)
	return b.resize(false)
}

// resize changes the reservation to what the request holds now. If there is no room, it waits until
// there is or the request ends: meanwhile nothing is read from the peer. A new request waits only for
// requests that are being ended.
func (b *requestBytes) resize(isNew bool) error {
	n := b.body + b.response
	freed, err := b.tryResize(n, isNew)
	if err == nil && freed != nil {
		err = b.awaitRoom(n, isNew, freed)
	}
	if err == nil {
		b.peak = max(b.peak, n)
	}
	return err
}

// awaitRoom changes the reservation as soon as there is room.
func (b *requestBytes) awaitRoom(n int64, isNew bool, freed <-chan struct{}) (err error) {
	startedAt := b.h.clock()
	b.beginWait()
	defer func() {
		b.endWait(false)
		b.blocked += b.h.clock() - startedAt
	}()
	var releaseBy <-chan time.Time
	if isNew {
		t := time.NewTimer(byteReleaseWait)
		defer t.Stop()
		releaseBy = t.C
	}
	for err == nil && freed != nil {
		if err = b.awaitFreed(freed, releaseBy); err == nil {
			freed, err = b.tryResize(n, isNew)
		}
	}
	return err
}

// awaitFreed waits until it is worth looking for room again.
func (b *requestBytes) awaitFreed(freed <-chan struct{}, releaseBy <-chan time.Time) error {
	h := b.h
	defer func() {
		h.mu.Lock()
		h.waiters--
		h.mu.Unlock()
	}()
	again := time.NewTimer(byteRetryInterval)
	defer again.Stop()
	select {
	case <-freed:
	case <-again.C:
	case <-releaseBy:
		return errNoBytes
	case <-b.ctx.Done():
		return fmt.Errorf("%w: %w", errNoBytes, b.ctx.Err())
	}
	return nil
}

// tryResize changes the reservation if there is room, and ends requests if that makes room. If it has
// to wait, it returns a channel, which the caller has to pass to awaitFreed.
func (b *requestBytes) tryResize(n int64, isNew bool) (freed <-chan struct{}, err error) {
	h := b.h
	h.mu.Lock()
	now, before := h.clock(), b.r.Bytes()
	fit, chosen := h.budget.Resize(b.r, n, now)
	switch {
	case fit == forward.BytesTooMany:
		err = errBytesTooMany
	case fit == forward.BytesWithheld || isNew && fit == forward.BytesFull:
		err = errNoBytes
	case fit != forward.BytesFit:
		h.waiters++
		freed = h.freed
	case n < before:
		h.signalFreed()
	}
	owners := h.endAll(chosen, now)
	h.mu.Unlock()
	for _, o := range owners {
		o.stop()
	}
	return freed, err
}

// endAll marks requests as ended and returns them, to be stopped without the mutex, which the caller
// holds.
func (h *heldBytes) endAll(chosen []*forward.ByteReservation, now time.Duration) []*requestBytes {
	owners := make([]*requestBytes, 0, len(chosen))
	for _, c := range chosen {
		o := h.owners[c]
		o.ended = true
		h.ended++
		owners = append(owners, o)
		log.Warn().Str("event", "request_ended_for_memory").Str("request", o.id).Int64("bytes", c.Bytes()).Dur("stalled_ms", c.Stalled(now)).Bool("head_sent", o.headSent).Bool("reads_body", o.readsBody).
			Int64("held", h.budget.Held()).Int64("budget", h.budget.Limit()).Msg("a request is ended as it held bytes without progress and the budget heldBytesMb is used up")
	}
	return owners
}

// stop ends the request's waits, from any goroutine: the connection to the endpoint is closed, and
// that of the caller is reset if the header has been written to it.
func (b *requestBytes) stop() {
	b.cancel()
	b.h.mu.Lock()
	headSent, readsBody := b.headSent, b.readsBody
	b.h.mu.Unlock()
	past := time.Unix(1, 0)
	if headSent && !callerconn.ResetCaller(b.ctx) {
		_ = b.controller.SetWriteDeadline(past) // the server does not use package callerconn
	}
	if readsBody {
		_ = b.controller.SetReadDeadline(past) // httptest.ResponseRecorder does not support deadlines
	}
}

// beginWait records, from any goroutine, that the request waits for a peer or for room.
func (b *requestBytes) beginWait() {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	b.r.BeginWait(b.h.clock())
}

// endWait records the end of a wait, from any goroutine.
func (b *requestBytes) endWait(progress bool) {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	now := b.h.clock()
	b.h.longestStall = max(b.h.longestStall, b.r.Stalled(now))
	b.r.EndWait(progress, now)
}

// isEnded reports whether the request has been ended to free bytes.
func (b *requestBytes) isEnded() bool {
	if b == nil {
		return false
	}
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	return b.ended
}

// beginAttempt separates the time spent on the caller before an attempt from that within it.
func (b *requestBytes) beginAttempt() {
	if b != nil {
		b.blockedBefore = b.blocked
	}
}

// HeldBytesStatus is the part of Status about buffered bytes.
type HeldBytesStatus struct {
	HeldBytes      int64 `json:"held_bytes"`       // buffered for callers and endpoints
	HeldBytesLimit int64 `json:"held_bytes_limit"` // 0 if there is none
	HeldEnded      int64 `json:"held_ended"`       // requests that were ended to free bytes
	HeldRefused    int64 `json:"held_refused"`     // new requests that did not fit
	StalledMs      int64 `json:"stalled_ms"`       // longest time without progress among the current requests
	LongestStallMs int64 `json:"longest_stall_ms"` // longest such time since the start
}

// status returns the state of the budget.
func (h *heldBytes) status() HeldBytesStatus {
	if h == nil {
		return HeldBytesStatus{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	stalled := h.budget.LongestStall(h.clock())
	return HeldBytesStatus{
		HeldBytes: h.budget.Held(), HeldBytesLimit: h.budget.Limit(), HeldEnded: h.ended, HeldRefused: h.refused,
		StalledMs: stalled.Milliseconds(), LongestStallMs: max(stalled, h.longestStall).Milliseconds(),
	}
}

// logFields adds to a request's line what it held, if that was for long.
func (b *requestBytes) logFields(e *log.Entry) *log.Entry {
	if b == nil || b.blocked < forward.MinStall && !b.isEnded() {
		return e
	}
	return e.Int64("held_bytes", b.peak).Dur("blocked_ms", b.blocked).Bool("ended_for_memory", b.isEnded())
}
