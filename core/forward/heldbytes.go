package forward

import (
	"slices"
	"time"
)

const (
	// MinStall is the time without progress from which a request may be ended to free bytes, and from
	// which the caller, not the endpoint, counts as the cause of a response that was cut.
	MinStall = 500 * time.Millisecond
	// connectionShare is the divisor of the budget that gives the bound on one connection.
	connectionShare = 4
	// growthShare is the divisor of the budget that gives the room which new requests leave to the
	// growth that others wait for: a new request is cheaper to refuse than one that has run.
	growthShare = 8
)

// ByteBudget bounds the bytes that this entry buffers for all requests together: request bodies,
// buffered responses and events that have not been written yet.
type ByteBudget struct {
	limit  int64
	held   int64
	ending int64 // part of held that belongs to requests which are being ended
	wanted int64 // growth that admitted requests wait for
	open   map[*ByteReservation]struct{}
}

// ByteReservation is the part of a ByteBudget that one request holds.
type ByteReservation struct {
	bytes    int64
	wanted   int64 // growth that it waits for
	admitted bool
	ended    bool
	closed   bool
	waiting  int           // waits for a peer, or for room in the budget, that are in progress
	movedAt  time.Duration // last progress, or the start of the first of these waits
}

// ByteFit is the result of a change of a reservation.
type ByteFit int

const (
	BytesFit      ByteFit = iota // the bytes are reserved
	BytesTooMany                 // one connection may not hold so many
	BytesFull                    // there is no room, and no request to end for it
	BytesAwaited                 // there will be room once requests have been ended
	BytesWithheld                // the request itself has been ended
)

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget {
	return &ByteBudget{limit: limit, open: map[*ByteReservation]struct{}{}}
}

// Limit returns the size of the budget.
func (b *ByteBudget) Limit() int64 { return b.limit }

// Held returns the number of reserved bytes.
func (b *ByteBudget) Held() int64 { return b.held }

// MaxPerConnection returns the number of bytes that one connection may hold.
func (b *ByteBudget) MaxPerConnection() int64 { return b.limit / connectionShare }

// Bytes returns the number of bytes that the request holds.
func (r *ByteReservation) Bytes() int64 { return r.bytes }

// Add returns an empty reservation for a new request.
func (b *ByteBudget) Add() *ByteReservation {
	r := &ByteReservation{}
	b.open[r] = struct{}{}
	return r
}

// Remove releases a reservation. It may be called more than once.
func (b *ByteBudget) Remove(r *ByteReservation) {
	if r.closed {
		return
	}
	b.held -= r.bytes
	if r.ended {
		b.ending -= r.bytes
	}
	b.setWanted(r, 0)
	r.bytes, r.closed = 0, true
	delete(b.open, r)
}

// Resize changes a reservation to n bytes, and returns the requests that have to be ended for it. A
// request that is not admitted yet ends others only if that makes enough room, leaves some room to the
// admitted requests that wait to grow, and doesn't end these.
func (b *ByteBudget) Resize(r *ByteReservation, n int64, now time.Duration) (ByteFit, []*ByteReservation) {
	if r.ended || r.closed {
		return BytesWithheld, nil
	}
	growth := n - r.bytes
	if growth > 0 && n > b.MaxPerConnection() {
		b.setWanted(r, 0)
		return BytesTooMany, nil
	}
	needed := b.held + growth - b.limit
	if !r.admitted {
		needed += min(b.wanted, b.limit/growthShare)
	}
	if growth <= 0 || needed <= 0 {
		b.setWanted(r, 0)
		b.held += growth
		r.bytes, r.admitted = n, true
		return BytesFit, nil
	}
	if r.admitted {
		b.setWanted(r, growth)
	}
	chosen, enough := b.chooseStalled(needed-b.ending, r.admitted, now)
	if !r.admitted && !enough {
		return BytesFull, nil
	}
	for _, c := range chosen {
		b.end(c)
	}
	switch {
	case r.ended:
		return BytesWithheld, chosen
	case b.ending > 0:
		return BytesAwaited, chosen
	}
	return BytesFull, nil
}

// chooseStalled returns the stalled requests to end for a number of bytes, and whether they hold
// enough. Those with the largest product of bytes and time without progress come first; growing says
// whether those that wait to grow are among them.
func (b *ByteBudget) chooseStalled(bytes int64, growing bool, now time.Duration) (chosen []*ByteReservation, enough bool) {
	if bytes <= 0 {
		return nil, true
	}
	for r := range b.open {
		if !r.ended && r.bytes > 0 && (growing || r.wanted == 0) && r.Stalled(now) >= MinStall {
			chosen = append(chosen, r)
		}
	}
	slices.SortFunc(chosen, func(x, y *ByteReservation) int {
		switch wx, wy := x.weight(now), y.weight(now); {
		case wx > wy:
			return -1
		case wx < wy:
			return 1
		}
		return 0
	})
	for i, r := range chosen {
		if bytes -= r.bytes; bytes <= 0 {
			return chosen[:i+1], true
		}
	}
	return chosen, false
}

// weight orders requests by what ending them is worth. The product of bytes and nanoseconds can
// exceed an int64.
func (r *ByteReservation) weight(now time.Duration) float64 {
	return float64(r.bytes) * r.Stalled(now).Seconds()
}

func (b *ByteBudget) end(r *ByteReservation) {
	r.ended = true
	b.ending += r.bytes
	b.setWanted(r, 0)
}

func (b *ByteBudget) setWanted(r *ByteReservation, n int64) {
	b.wanted += n - r.wanted
	r.wanted = n
}

// BeginWait records that the request waits for a peer to take or send bytes, or for room. Waits for
// an endpoint's response are not recorded: the endpoint is at work, and the deadline bounds them.
func (r *ByteReservation) BeginWait(now time.Duration) {
	if r.waiting == 0 {
		r.movedAt = now
	}
	r.waiting++
}

// EndWait records the end of a wait; progress says whether bytes were taken or sent in it.
func (r *ByteReservation) EndWait(progress bool, now time.Duration) {
	r.waiting--
	if progress {
		r.movedAt = now
	}
}

// Stalled returns the time without progress of a request that waits, 0 for other requests.
func (r *ByteReservation) Stalled(now time.Duration) time.Duration {
	if r.waiting == 0 {
		return 0
	}
	return now - r.movedAt
}

// LongestStall returns the longest time without progress among all requests.
func (b *ByteBudget) LongestStall(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for r := range b.open {
		longest = max(longest, r.Stalled(now))
	}
	return longest
}
