package entry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget bounds the attempts that repeat refused or failed ones, so that a loss
// of endpoints doesn't multiply the load on the others.
type Budget interface {
	// Request counts a request of a caller.
	Request()
	// Allow counts one repeated attempt, or returns false when it is beyond the
	// budget.
	Allow() bool
	// Backoff returns the wait before the repeated attempt number n, from 0.
	Backoff(n int) time.Duration
}

// Values of the budget, docs/design.md, section 9.6.
const (
	budgetShare  = 0.1
	budgetWindow = 10 * time.Second
	// budgetFloor lets an entry with little traffic repeat something at all.
	budgetFloor    = 10
	budgetSlots    = 10
	backoffBase    = 5 * time.Millisecond // average of the first wait
	backoffMaximum = 200 * time.Millisecond
)

// WindowBudget implements Budget: it counts requests and repeats in slots of a second.
type WindowBudget struct {
	mu       sync.Mutex
	now      func() time.Time
	rng      *rand.Rand
	slot     int64
	requests [budgetSlots]int
	repeats  [budgetSlots]int
}

// NewWindowBudget returns the budget of design section 9.6.
func NewWindowBudget(now func() time.Time, seed uint64) *WindowBudget {
	return &WindowBudget{now: now, rng: rand.New(rand.NewPCG(seed, 1))}
}

// advance clears the slots that have left the window and returns the current one.
func (b *WindowBudget) advance() int {
	slot := b.now().UnixNano() / int64(budgetWindow/budgetSlots)
	for s := max(b.slot+1, slot-budgetSlots+1); s <= slot; s++ {
		b.requests[s%budgetSlots], b.repeats[s%budgetSlots] = 0, 0
	}
	b.slot = max(b.slot, slot)
	return int(b.slot % budgetSlots)
}

// Request implements Budget.
func (b *WindowBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance()]++
}

// Allow implements Budget.
func (b *WindowBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.advance()
	requests, repeats := 0, 0
	for i := range budgetSlots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats) >= max(budgetFloor, budgetShare*float64(requests)) {
		return false
	}
	b.repeats[s]++
	return true
}

// Backoff implements Budget: a random wait of up to twice the doubling base.
func (b *WindowBudget) Backoff(n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(2 * min(backoffBase<<min(n, budgetSlots), backoffMaximum))))
}
