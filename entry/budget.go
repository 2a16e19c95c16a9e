package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/retry"
)

// RetryBudget limits retries of refused or failed attempts, so that a loss of endpoints
// doesn't multiply the load on the remaining ones.
type RetryBudget interface {
	// RecordRequest counts a client request.
	RecordRequest()
	// AllowRetry consumes one retry from the budget and reports whether the budget
	// permits it.
	AllowRetry() bool
	// Backoff returns the delay before retry n, counted from 0. It returns false if
	// the delay would not end within the remaining time.
	Backoff(n int, remaining time.Duration) (time.Duration, bool)
}

// minRetriesPerWindow is the number of retries per window that are allowed
// regardless of traffic, so that an entry with little traffic can retry at all.
const minRetriesPerWindow = 10

// WindowRetryBudget implements RetryBudget over a sliding window. It is safe for
// concurrent use.
type WindowRetryBudget struct {
	mu          sync.Mutex
	start       time.Time
	now         func() time.Time
	budget      *retry.Budget
	rng         *rand.Rand
	lastRetries [minRetriesPerWindow]time.Duration // ring of the latest retries' times; zero means none
	oldestIndex int                                // index of the oldest time in lastRetries
}

// NewWindowRetryBudget returns a budget with the share and window of docs/design.md,
// section 9.6.
func NewWindowRetryBudget(now func() time.Time, seed uint64) *WindowRetryBudget {
	return &WindowRetryBudget{start: now(), now: now, budget: retry.NewBudget(retry.MaxRetryShare, retry.BudgetWindow), rng: rand.New(rand.NewPCG(seed, 1))}
}

// RecordRequest implements RetryBudget.
func (b *WindowRetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest(b.now().Sub(b.start))
}

// AllowRetry implements RetryBudget.
func (b *WindowRetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now().Sub(b.start)
	oldest := b.lastRetries[b.oldestIndex]
	belowMinimum := oldest == 0 || now-oldest >= retry.BudgetWindow
	if !b.budget.TrySpend(now) && !belowMinimum {
		return false
	}
	b.lastRetries[b.oldestIndex] = max(now, 1)
	b.oldestIndex = (b.oldestIndex + 1) % minRetriesPerWindow
	return true
}

// Backoff implements RetryBudget.
func (b *WindowRetryBudget) Backoff(n int, remaining time.Duration) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Backoff{}.Delay(n, remaining, b.rng)
}
