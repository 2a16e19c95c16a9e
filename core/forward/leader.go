package forward

import "time"

// Leadership tells whether this process may give orders to endpoints. It holds
// the role by a lease of the platform's log that is renewed by each join.
type Leadership struct {
	Lease      time.Duration // how long a join holds the role
	Handover   time.Duration // pause between the orders of two holders
	held       bool
	since      time.Duration
	renewed    time.Duration
	generation int64
}

// leaseMargin is kept free at the end of a lease for an order on its way.
const leaseMargin = 300 * time.Millisecond

// Joined takes the answer of a join that was sent at the time. It reports whether
// the role changed.
func (l *Leadership) Joined(holds bool, generation int64, sent time.Duration) bool {
	l.generation = max(l.generation, generation)
	changed := holds != l.held || holds && sent >= l.renewed+l.Lease
	if changed && holds {
		l.since = sent
	}
	l.held, l.renewed = holds, sent
	return changed
}

// MayOrder tells whether an order may be sent now. A new holder waits until the
// former one, whose lease may only just have ended, has been silent long enough.
func (l *Leadership) MayOrder(now time.Duration) bool {
	return l.Holds(now) && now >= l.since+l.Lease+l.Handover
}

// Holds tells whether the lease is valid.
func (l *Leadership) Holds(now time.Duration) bool {
	return l.held && now < l.renewed+l.Lease-leaseMargin
}

// Fence is the fencing token of the orders: it rises with each holder.
func (l *Leadership) Fence() int64 { return l.generation }
