package retry

import (
	"slices"
	"time"
)

const (
	maxHedgeSamples        = 256 // number of recent times to first token
	minHedgeSamples        = 64  // fewer samples do not determine the 95th percentile
	hedgeQuantile          = 0.95
	hedgeRecomputeInterval = 16 // number of samples after which the percentile is recomputed

	// MaxHedgedTokens is the maximum length of an answer that may be hedged. For a
	// longer answer the second attempt costs more decoding than the shorter wait is
	// worth.
	MaxHedgedTokens = 64
)

// Hedger decides when to hedge: a short interactive answer gets a second attempt when
// its time to first token exceeds the 95th percentile of the recent ones, for at most
// MaxHedgeShare of the requests.
type Hedger struct {
	budget  *Budget
	samples [maxHedgeSamples]time.Duration
	count   int
	delay   time.Duration
	sorted  [maxHedgeSamples]time.Duration
}

// NewHedger returns a Hedger without samples. It hedges nothing until it has enough
// of them.
func NewHedger() *Hedger { return &Hedger{budget: NewBudget(MaxHedgeShare, BudgetWindow)} }

// ObserveFirstToken records the time to first token of a short interactive answer.
func (h *Hedger) ObserveFirstToken(firstToken time.Duration) {
	h.samples[h.count%maxHedgeSamples] = firstToken
	h.count++
	if h.count < minHedgeSamples || h.count%hedgeRecomputeInterval != 0 {
		return
	}
	n := copy(h.sorted[:], h.samples[:min(h.count, maxHedgeSamples)])
	slices.Sort(h.sorted[:n])
	h.delay = h.sorted[int(hedgeQuantile*float64(n))]
}

// StartRequest counts a request of any priority class and returns the delay after which
// the caller should call TrySpend to start a second attempt. It returns false if the
// request must not be hedged.
func (h *Hedger) StartRequest(interactive bool, maxTokens int, now time.Duration) (time.Duration, bool) {
	h.budget.CountRequest(now)
	return h.delay, interactive && maxTokens <= MaxHedgedTokens && h.delay > 0
}

// TrySpend reports whether the budget allows a second attempt, and takes it from the
// budget.
func (h *Hedger) TrySpend(now time.Duration) bool { return h.budget.TrySpend(now) }
