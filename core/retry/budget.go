// Package retry decides whether, when and how often something is tried again:
// retry budget, backoff, hedging and circuit breaker (design 9.6). It is pure:
// times count from any fixed instant, and the random source is passed in.
package retry

import "time"

// Shares and windows of design section 9.6.
const (
	RetryShare   = 0.10 // of the traffic
	HedgeShare   = 0.02
	BudgetWindow = 10 * time.Second
)

// budgetBuckets divide the window; a request leaves it at most one bucket late.
const budgetBuckets = 10

// Budget limits extra attempts to a share of the requests of the last window.
// The zero value is not usable; create it with NewBudget.
type Budget struct {
	share   float64
	width   time.Duration
	buckets [budgetBuckets]bucket
}

type bucket struct {
	number          int64
	requests, spent int
}

// NewBudget returns a budget of the share over the window.
func NewBudget(share float64, window time.Duration) *Budget {
	return &Budget{share: share, width: window / budgetBuckets}
}

func (b *Budget) at(now time.Duration) *bucket {
	n := int64(now / b.width)
	k := &b.buckets[n%budgetBuckets]
	if k.number != n {
		*k = bucket{number: n}
	}
	return k
}

// Request counts a request; its first attempt is not an extra one.
func (b *Budget) Request(now time.Duration) { b.at(now).requests++ }

// Spend takes one extra attempt from the budget, or returns false.
func (b *Budget) Spend(now time.Duration) bool {
	current := b.at(now)
	requests, spent := 0, 0
	for _, k := range b.buckets {
		if k.number > current.number-budgetBuckets {
			requests += k.requests
			spent += k.spent
		}
	}
	if float64(spent+1) > b.share*float64(requests) {
		return false
	}
	current.spent++
	return true
}

// Allows tells whether an extra attempt could be spent now, without spending it.
func (b *Budget) Allows(now time.Duration) bool {
	if !b.Spend(now) {
		return false
	}
	b.at(now).spent--
	return true
}
