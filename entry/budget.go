package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/retry"
)

// Budget bounds the attempts that repeat refused or failed ones, so that a loss
// of endpoints doesn't multiply the load on the others.
type Budget interface {
	// Request counts a request of a caller.
	Request()
	// Allow counts one repeated attempt, or returns false when it is beyond the
	// budget.
	Allow() bool
	// Backoff returns the wait before the repeated attempt number n, from 0; it
	// returns false when the wait doesn't end within the remaining time.
	Backoff(n int, remaining time.Duration) (time.Duration, bool)
}

// budgetFloor is the number of repeats in a window that are allowed whatever the
// traffic, so that an entry with little traffic can repeat something at all.
const budgetFloor = 10

// WindowBudget implements Budget with core/retry, for concurrent use.
type WindowBudget struct {
	mu     sync.Mutex
	start  time.Time
	now    func() time.Time
	budget *retry.Budget
	rng    *rand.Rand
	last   [budgetFloor]time.Duration // times of the last repeats; zero for none
	next   int                        // place of the oldest
}

// NewWindowBudget returns the budget of docs/design.md, section 9.6.
func NewWindowBudget(now func() time.Time, seed uint64) *WindowBudget {
	return &WindowBudget{start: now(), now: now, budget: retry.NewBudget(retry.MaxRetryShare, retry.BudgetWindow), rng: rand.New(rand.NewPCG(seed, 1))}
}

// Request implements Budget.
func (b *WindowBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest(b.now().Sub(b.start))
}

// Allow implements Budget.
func (b *WindowBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now().Sub(b.start)
	oldest := b.last[b.next]
	few := oldest == 0 || now-oldest >= retry.BudgetWindow
	if !b.budget.TrySpend(now) && !few {
		return false
	}
	b.last[b.next] = max(now, 1)
	b.next = (b.next + 1) % budgetFloor
	return true
}

// Backoff implements Budget.
func (b *WindowBudget) Backoff(n int, remaining time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Backoff{}.Delay(n, remaining, b.rng)
}
