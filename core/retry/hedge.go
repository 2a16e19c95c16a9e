package retry

import (
	"slices"
	"time"
)

const (
	hedgeSamples   = 256 // recent first-token times
	hedgeMin       = 64  // below, the 95th percentile is not known well enough
	hedgeQuantile  = 0.95
	hedgeRecompute = 16 // samples between two computations of the percentile

	// MaxHedgedTokens bounds a short answer: a second attempt for a longer one
	// costs more decoding than the wait is worth.
	MaxHedgedTokens = 64
)

// Hedger starts a second attempt for short interactive answers whose first token
// is later than that of 95% of the recent ones, within 2% of the traffic.
type Hedger struct {
	budget  *Budget
	ring    [hedgeSamples]time.Duration
	count   int
	delay   time.Duration
	scratch [hedgeSamples]time.Duration
}

// NewHedger returns a hedger without samples, which hedges nothing.
func NewHedger() *Hedger { return &Hedger{budget: NewBudget(HedgeShare, BudgetWindow)} }

// Observe takes the first-token time of a short interactive answer.
func (h *Hedger) Observe(firstToken time.Duration) {
	h.ring[h.count%hedgeSamples] = firstToken
	h.count++
	if h.count < hedgeMin || h.count%hedgeRecompute != 0 {
		return
	}
	n := copy(h.scratch[:], h.ring[:min(h.count, hedgeSamples)])
	slices.Sort(h.scratch[:n])
	h.delay = h.scratch[int(hedgeQuantile*float64(n))]
}

// Request counts a request of any class and returns the time after which to ask
// Spend for a second attempt; false means that this one is never hedged.
func (h *Hedger) Request(interactive bool, maxTokens int, now time.Duration) (time.Duration, bool) {
	h.budget.Request(now)
	return h.delay, interactive && maxTokens <= MaxHedgedTokens && h.delay > 0
}

// Spend allows the second attempt, or returns false when the budget is spent.
func (h *Hedger) Spend(now time.Duration) bool { return h.budget.Spend(now) }
