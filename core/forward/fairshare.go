package forward

import "time"

// Times of the shares of customers.
const (
	shareBucketTime = 200 * time.Millisecond
	shareBuckets    = 10          // the shares are of the last 2 s
	shortageTime    = time.Second // after a prompt that was refused or placed late
)

// tokenWindow counts the tokens of the last shareBuckets buckets. The zero value has none.
type tokenWindow struct {
	tokens [shareBuckets]int
	newest int64 // number of the newest bucket
}

func (w *tokenWindow) add(tokens int, now time.Duration) {
	n := int64(now / shareBucketTime)
	for ; w.newest < n; w.newest++ {
		if n-w.newest > shareBuckets {
			w.newest = n - shareBuckets
		}
		w.tokens[(w.newest+1)%shareBuckets] = 0
	}
	w.tokens[n%shareBuckets] += tokens
}

// sum returns the tokens of the window, and false if the customer is idle: it has sent nothing in it.
func (w *tokenWindow) sum(now time.Duration) (total int, active bool) {
	n := int64(now / shareBucketTime)
	for k := max(n-shareBuckets+1, w.newest-shareBuckets+1, 0); k <= w.newest; k++ {
		total += w.tokens[k%shareBuckets]
	}
	return total, w.newest > n-shareBuckets
}

// FairShare decides which customers of a service are the first whose prompts are placed late. It counts
// the prompts that this entry has placed in time.
//
// Load pattern: one customer of 24 sends a third of all requests in a burst. If prompts are refused or
// placed late whosever they are, the others pay for it.
type FairShare struct {
	customers map[string]*tokenWindow
	shortAt   [RankCount]time.Duration
	short     [RankCount]bool // shortAt is set
}

func (f *FairShare) window(customer string) *tokenWindow {
	w := f.customers[customer]
	if w == nil {
		if f.customers == nil {
			f.customers = map[string]*tokenWindow{}
		}
		w = &tokenWindow{}
		f.customers[customer] = w
	}
	return w
}

// RecordPrompt records what became of a customer's prompt. A prompt that is placed late because of its
// customer's share is no sign of a shortage: it would keep the customer late on its own.
func (f *FairShare) RecordPrompt(customer string, rank, tokens int, outcome Outcome, now time.Duration) {
	if outcome != OnTime {
		tokens = 0
	}
	f.window(customer).add(tokens, now)
	if outcome == Late || outcome == Refused {
		f.shortAt[rank], f.short[rank] = now, true
	}
}

// Exceeds reports whether a customer's prompts of a rank are the first to be placed late: prompts that
// are as urgent or more are refused or placed late, and the customer has placed more than an equal part
// of the tokens that the active customers have placed. A shortage of less urgent prompts doesn't count,
// as an urgent one would then make room for them.
func (f *FairShare) Exceeds(customer string, rank int, now time.Duration) bool {
	if !f.shortUpTo(rank, now) {
		return false
	}
	own, total, active := 0, 0, 0
	for name, w := range f.customers {
		n, isActive := w.sum(now)
		if !isActive {
			delete(f.customers, name)
			continue
		}
		total += n
		active++
		if name == customer {
			own = n
		}
	}
	return own*active > total
}

func (f *FairShare) shortUpTo(rank int, now time.Duration) bool {
	for r := range rank + 1 {
		if f.short[r] && now < f.shortAt[r]+shortageTime {
			return true
		}
	}
	return false
}
