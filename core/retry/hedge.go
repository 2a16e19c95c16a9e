package retry

import "time"

// MaxHedgedTokens is the maximum length of an answer that may be hedged. For a
// longer answer the second attempt costs more decoding than the shorter wait is
// worth.
const MaxHedgedTokens = 64

// Hedger decides when to hedge: a short interactive answer gets a second attempt when
// its time to first token exceeds the 95th percentile of the recent ones, for at most
// MaxHedgeShare of the requests.
type Hedger struct {
	budget     *Budget
	firstToken RecentPercentile
}

// NewHedger returns a Hedger without samples. It hedges nothing until it has enough
// of them.
func NewHedger() *Hedger { return &Hedger{budget: NewBudget(MaxHedgeShare, BudgetWindow)} }

// ObserveFirstToken records the time to first token of a short interactive answer.
func (h *Hedger) ObserveFirstToken(firstToken time.Duration) { h.firstToken.Observe(firstToken) }

// StartRequest counts a request of any priority class and returns the delay after which
// the caller should call TrySpend to start a second attempt. It returns false if the
// request must not be hedged.
func (h *Hedger) StartRequest(interactive bool, maxTokens int, now time.Duration) (time.Duration, bool) {
	h.budget.CountRequest(now)
	delay, known := h.firstToken.Value()
	return delay, known && interactive && maxTokens <= MaxHedgedTokens && delay > 0
}

// TrySpend reports whether the budget allows a second attempt, and takes it from the
// budget.
func (h *Hedger) TrySpend(now time.Duration) bool { return h.budget.TrySpend(now) }
