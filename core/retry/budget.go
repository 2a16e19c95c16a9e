// Package retry implements retry budgets, backoff, hedging and circuit breakers
// (docs/design.md, section 9.6). It reads no clock and no global random source:
// callers pass in the time since a fixed instant and the source.
package retry

import "time"

// Limits of extra attempts, from section 9.6 of the design.
const (
	MaxRetryShare = 0.10 // retries as a share of the requests
	MaxHedgeShare = 0.02 // hedged attempts as a share of the requests
	BudgetWindow  = 10 * time.Second
)

// bucketsPerWindow is the number of buckets into which the sliding window is divided.
// The window is accurate to one bucket.
const bucketsPerWindow = 10

// Budget limits extra attempts to a share of the requests in a sliding window. Use
// NewBudget to create one.
type Budget struct {
	share       float64
	bucketWidth time.Duration
	buckets     [bucketsPerWindow]bucket
}

type bucket struct {
	number          int64 // time since the fixed instant in units of bucketWidth
	requests, spent int
}

// NewBudget returns a budget that allows the share of extra attempts over the window.
func NewBudget(share float64, window time.Duration) *Budget {
	return &Budget{share: share, bucketWidth: window / bucketsPerWindow}
}

func (b *Budget) currentBucket(now time.Duration) *bucket {
	n := int64(now / b.bucketWidth)
	k := &b.buckets[n%bucketsPerWindow]
	if k.number != n {
		*k = bucket{number: n}
	}
	return k
}

// CountRequest counts a request. Its first attempt does not use up budget.
func (b *Budget) CountRequest(now time.Duration) { b.currentBucket(now).requests++ }

// TrySpend takes one extra attempt from the budget. It returns false if none is left.
func (b *Budget) TrySpend(now time.Duration) bool {
	if requests, spent := b.Use(now); float64(spent+1) > b.share*float64(requests) {
		return false
	}
	b.currentBucket(now).spent++
	return true
}

// Use returns the requests of the window and the extra attempts that were taken in it.
func (b *Budget) Use(now time.Duration) (requests, spent int) {
	current := b.currentBucket(now)
	for _, k := range b.buckets {
		if k.number > current.number-bucketsPerWindow {
			requests += k.requests
			spent += k.spent
		}
	}
	return requests, spent
}

// CanSpend reports whether the budget has an extra attempt left, without taking it.
func (b *Budget) CanSpend(now time.Duration) bool {
	if !b.TrySpend(now) {
		return false
	}
	b.currentBucket(now).spent--
	return true
}
