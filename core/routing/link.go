package routing

import "time"

// LinkView is what one entry knows of a store's link: the lagging report of what
// is queued, corrected by the entry's own choices. Fetches of customers above
// their share of the link wait for those of the others. Create it with
// NewLinkView.
type LinkView struct {
	rate   float64 // bytes per second, zero when the link gives nothing
	queued Backlog // bytes of fetches within their customers' shares
	behind Backlog // bytes of the others
	shares *Shares
}

// NewLinkView returns the view of a link without a report, which gives nothing.
func NewLinkView() *LinkView { return &LinkView{shares: NewShares()} }

// Report takes the queues and the present rate of the link; a rate of zero means
// that the link gives nothing.
func (l *LinkView) Report(queuedBytes, behindBytes, bytesPerSecond float64, now time.Duration) {
	l.rate = bytesPerSecond
	l.queued.Set(queuedBytes, now)
	l.behind.Set(behindBytes, now)
}

// Chose counts a fetch that the entry has chosen, and tells whether its customer
// is above its share, so that the fetch goes behind the others'.
func (l *LinkView) Chose(customer string, bytes float64, now time.Duration) (over bool) {
	over = l.shares.Use(customer, bytes, now)
	if over {
		l.behind.Add(bytes, l.rate, now)
	} else {
		l.queued.Add(bytes, l.rate, now)
	}
	return over
}

// State returns the wait and the rate that a fetch of the customer can expect.
func (l *LinkView) State(customer string, now time.Duration) (wait time.Duration, rate float64) {
	if l.rate <= 0 {
		return 0, 0
	}
	bytes := l.queued.At(l.rate, now)
	if l.shares.Over(customer, now) {
		bytes += l.behind.At(l.rate, now)
	}
	return time.Duration(bytes / l.rate * float64(time.Second)), l.rate
}
