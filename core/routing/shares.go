package routing

import (
	"math"
	"time"
)

// Shares tells which customers have lately used far more than an even share of
// something: a link's bytes or the engines' prefill tokens, as far as one entry
// sees them. Create it with NewShares.
type Shares struct {
	used    map[string]*usage
	total   usage
	active  int
	counted time.Duration // when active was counted
}

// usage is an amount that fades with shareMemory.
type usage struct {
	amount float64
	at     time.Duration
}

const (
	// shareMemory is the time in which a customer's use counts down to 1/e: long
	// against a transfer, short against a conversation.
	shareMemory = 5 * time.Second
	// activeShare is the part of all use below which a customer isn't counted as
	// one that shares.
	activeShare = 0.01
	// shareSlack is how many times an even share a customer may use. Among ten
	// customers the largest of the deployments has 2.4 times an even share in
	// ordinary use (design 1: a few large ones).
	shareSlack = 3
	// countGap is the time between two counts of the active customers, which
	// look at all of them.
	countGap = time.Second
)

// NewShares returns shares without any use.
func NewShares() *Shares { return &Shares{used: map[string]*usage{}} }

func (u *usage) now(now time.Duration) float64 {
	return u.amount * math.Exp(-float64(now-u.at)/float64(shareMemory))
}

func (u *usage) add(amount float64, now time.Duration) { u.amount, u.at = u.now(now)+amount, now }

// Use counts an amount, divided by the customer's weight, and tells whether the
// customer was above its share before.
func (s *Shares) Use(customer string, amount float64, now time.Duration) (over bool) {
	over = s.Over(customer, now)
	u := s.used[customer]
	if u == nil {
		u = &usage{at: now}
		s.used[customer] = u
		s.active++
	}
	u.add(amount, now)
	s.total.add(amount, now)
	return over
}

// Over tells whether the customer has used more than its share.
func (s *Shares) Over(customer string, now time.Duration) bool {
	if now-s.counted >= countGap {
		s.count(now)
	}
	u := s.used[customer]
	if u == nil {
		return false
	}
	return u.now(now)*float64(s.active) > shareSlack*s.total.now(now)
}

// count counts the active customers and forgets the others.
func (s *Shares) count(now time.Duration) {
	limit := activeShare * s.total.now(now)
	for c, u := range s.used {
		if u.now(now) < limit {
			delete(s.used, c)
		}
	}
	s.active, s.counted = len(s.used), now
}
