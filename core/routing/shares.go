package routing

import (
	"math"
	"time"
)

// ShareTracker detects customers whose recent usage of a resource far exceeds an even
// share. The resource is the bytes of a link or the prefill tokens of the engines;
// only usage through this entry counts. Create it with NewShareTracker.
type ShareTracker struct {
	usageByCustomer map[string]*decaySum
	totalUsage      decaySum
	activeCustomers int
	lastEviction    time.Duration // when inactive customers were last evicted
}

// decaySum is a sum that decays exponentially with usageTimeConstant.
type decaySum struct {
	amount float64
	at     time.Duration
}

const (
	// usageTimeConstant is the time in which recorded usage decays to 1/e. It is
	// much longer than a transfer and much shorter than a conversation.
	usageTimeConstant = 5 * time.Second
	// minActiveShare is the fraction of the total usage below which a customer
	// doesn't count as active.
	minActiveShare = 0.01
	// maxShareFactor is the multiple of an even share that a customer may use. In
	// normal use, the largest customer of a deployment with ten customers reaches
	// 2.4 times an even share, since a few customers are large (docs/design.md,
	// section 1).
	maxShareFactor = 3
	// evictionInterval is the time between two evictions, each of which scans all
	// customers.
	evictionInterval = time.Second
)

// NewShareTracker returns a tracker without recorded usage.
func NewShareTracker() *ShareTracker { return &ShareTracker{usageByCustomer: map[string]*decaySum{}} }

func (u *decaySum) value(now time.Duration) float64 {
	return u.amount * math.Exp(-float64(now-u.at)/float64(usageTimeConstant))
}

func (u *decaySum) add(amount float64, now time.Duration) { u.amount, u.at = u.value(now)+amount, now }

// Record records an amount and reports whether the customer was already above its share.
// If customers have weights, the caller divides the amount by the customer's weight.
func (s *ShareTracker) Record(customer string, amount float64, now time.Duration) (over bool) {
	over = s.AboveShare(customer, now)
	u := s.usageByCustomer[customer]
	if u == nil {
		u = &decaySum{at: now}
		s.usageByCustomer[customer] = u
		s.activeCustomers++
	}
	u.add(amount, now)
	s.totalUsage.add(amount, now)
	return over
}

// AboveShare reports whether the recent usage of the customer exceeds maxShareFactor
// times an even share.
func (s *ShareTracker) AboveShare(customer string, now time.Duration) bool {
	if now-s.lastEviction >= evictionInterval {
		s.evictInactive(now)
	}
	u := s.usageByCustomer[customer]
	if u == nil {
		return false
	}
	return u.value(now)*float64(s.activeCustomers) > maxShareFactor*s.totalUsage.value(now)
}

// evictInactive removes customers below minActiveShare and counts the remaining ones.
func (s *ShareTracker) evictInactive(now time.Duration) {
	limit := minActiveShare * s.totalUsage.value(now)
	for c, u := range s.usageByCustomer {
		if u.value(now) < limit {
			delete(s.usageByCustomer, c)
		}
	}
	s.activeCustomers, s.lastEviction = len(s.usageByCustomer), now
}
