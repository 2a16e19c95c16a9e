package placement

import (
	"time"

	"github.com/galenaweir/galenaweir/core/prefix"
)

// Limits of Returns.
const (
	historyWeight = 64 // observations after which older ones fade
	priorReturns  = 1  // with priorEnds: chance 1/2 before anything is known
	priorEnds     = 2
	defaultGap    = time.Hour
	gapSmoothing  = 0.1
)

type history struct {
	ended, returned float64
	gap             time.Duration
}

// Returns estimates for each customer how likely and how soon its contexts
// return. It remembers a bounded number of contexts, oldest forgotten first.
type Returns struct {
	capacity  int
	customers map[string]*history
	last      map[prefix.Hash]time.Time
	order     []prefix.Hash
}

// NewReturns returns an estimator that remembers that many contexts.
func NewReturns(capacity int) *Returns {
	return &Returns{capacity: capacity, customers: map[string]*history{}, last: map[prefix.Hash]time.Time{}}
}

// Ended notes the end of an attempt of a context.
func (r *Returns) Ended(customer string, context prefix.Hash, now time.Time) {
	h := r.customers[customer]
	if h == nil {
		h = &history{gap: defaultGap}
		r.customers[customer] = h
	}
	if h.ended >= historyWeight {
		h.ended, h.returned = h.ended/2, h.returned/2
	}
	h.ended++
	before, ok := r.last[context]
	if ok {
		h.returned++
		h.gap += time.Duration(gapSmoothing * float64(now.Sub(before)-h.gap))
	} else {
		r.order = append(r.order, context)
		if len(r.order) > r.capacity {
			delete(r.last, r.order[0])
			r.order = r.order[1:]
		}
	}
	r.last[context] = now
}

// Estimate returns the expectation for a context of the customer.
func (r *Returns) Estimate(customer string) Return {
	h := r.customers[customer]
	if h == nil {
		return Return{Chance: float64(priorReturns) / priorEnds, After: defaultGap}
	}
	return Return{Chance: (h.returned + priorReturns) / (h.ended + priorEnds), After: h.gap}
}
