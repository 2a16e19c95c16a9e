package placement

import (
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Parameters of ReturnEstimator.
const (
	maxHistory   = 64 // number of ended attempts at which the counts are halved, so that older ones lose weight
	priorReturns = 1  // together with priorEnds, a probability of 1/2 without observations
	priorEnds    = 2
	initialGap   = time.Hour
	gapSmoothing = 0.1
)

// customerHistory summarizes the ended attempts of a customer.
type customerHistory struct {
	ended, returned float64       // all ended attempts, and those whose context had ended one before
	gap             time.Duration // smoothed time between two ends of the same context
}

// ReturnEstimator estimates for each customer how likely and how soon its contexts are used
// again. It tracks a bounded number of contexts and forgets the oldest first.
type ReturnEstimator struct {
	capacity  int
	customers map[string]*customerHistory
	lastEnd   map[prefix.Hash]time.Time
	order     []prefix.Hash
}

// NewReturnEstimator returns an estimator that tracks at most capacity contexts.
func NewReturnEstimator(capacity int) *ReturnEstimator {
	return &ReturnEstimator{capacity: capacity, customers: map[string]*customerHistory{}, lastEnd: map[prefix.Hash]time.Time{}}
}

// RecordEnd records that an attempt of the context has ended.
func (r *ReturnEstimator) RecordEnd(customer string, context prefix.Hash, now time.Time) {
	h := r.customers[customer]
	if h == nil {
		h = &customerHistory{gap: initialGap}
		r.customers[customer] = h
	}
	if h.ended >= maxHistory {
		h.ended, h.returned = h.ended/2, h.returned/2
	}
	h.ended++
	before, ok := r.lastEnd[context]
	if ok {
		h.returned++
		h.gap += time.Duration(gapSmoothing * float64(now.Sub(before)-h.gap))
	} else {
		r.order = append(r.order, context)
		if len(r.order) > r.capacity {
			delete(r.lastEnd, r.order[0])
			r.order = r.order[1:]
		}
	}
	r.lastEnd[context] = now
}

// Estimate returns the estimate for a context of the customer.
func (r *ReturnEstimator) Estimate(customer string) ReturnEstimate {
	h := r.customers[customer]
	if h == nil {
		return ReturnEstimate{Probability: float64(priorReturns) / priorEnds, TimeToReturn: initialGap}
	}
	return ReturnEstimate{Probability: (h.returned + priorReturns) / (h.ended + priorEnds), TimeToReturn: h.gap}
}
