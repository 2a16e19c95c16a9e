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

// sharedBudget is the product's budget, for concurrent use.
type sharedBudget struct {
	mu     sync.Mutex
	start  time.Time
	now    func() time.Time
	budget *retry.Budget
	rng    *rand.Rand
	floor  [budgetFloor]time.Duration // last repeats beyond the share; zero for none
	next   int                        // place of the oldest in floor
}

func newBudget(now func() time.Time, seed uint64) *sharedBudget {
	return &sharedBudget{start: now(), now: now, budget: retry.NewBudget(retry.RetryShare, retry.BudgetWindow), rng: rand.New(rand.NewPCG(seed, 1))}
}

// Request implements Budget.
func (b *sharedBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request(b.now().Sub(b.start))
}

// Allow implements Budget.
func (b *sharedBudget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now().Sub(b.start)
	if b.budget.Spend(now) {
		return true
	}
	oldest := b.floor[b.next]
	if oldest != 0 && now-oldest < retry.BudgetWindow {
		return false
	}
	b.floor[b.next] = max(now, 1)
	b.next = (b.next + 1) % budgetFloor
	return true
}

// Backoff implements Budget.
func (b *sharedBudget) Backoff(n int, remaining time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Backoff{}.Pause(n, remaining, b.rng)
}
