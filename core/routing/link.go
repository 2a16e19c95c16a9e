package routing

import "time"

// LinkView is one entry's estimate of the load on a store's network link: the
// last, possibly outdated, report of the queued bytes, corrected by the fetches
// that the entry has started since. Fetches of customers above their share of the
// link are queued behind all others. Create it with NewLinkView.
type LinkView struct {
	bytesPerSecond  float64 // zero when the link is down or no report has arrived
	queuedInShare   Backlog // bytes of fetches of customers within their share
	queuedOverShare Backlog // bytes of fetches of customers above their share
	shares          *ShareTracker
}

// NewLinkView returns a view without a report; its rate is zero until the first one.
func NewLinkView() *LinkView { return &LinkView{shares: NewShareTracker()} }

// ApplyReport replaces the queued bytes of customers within and above their share, and
// the current rate of the link. A rate of zero means that the link is down.
func (l *LinkView) ApplyReport(inShareBytes, overShareBytes, bytesPerSecond float64, now time.Duration) {
	l.bytesPerSecond = bytesPerSecond
	l.queuedInShare.Set(inShareBytes, now)
	l.queuedOverShare.Set(overShareBytes, now)
}

// AddFetch adds a fetch that this entry has started. It reports whether the customer
// is above its share, in which case the fetch is queued behind those of the others.
func (l *LinkView) AddFetch(customer string, bytes float64, now time.Duration) (over bool) {
	over = l.shares.Record(customer, bytes, now)
	if over {
		l.queuedOverShare.Add(bytes, l.bytesPerSecond, now)
	} else {
		l.queuedInShare.Add(bytes, l.bytesPerSecond, now)
	}
	return over
}

// EstimateFetch returns the expected queueing delay and the rate, in bytes per second,
// of a fetch for the customer. Both are zero when the link is down.
func (l *LinkView) EstimateFetch(customer string, now time.Duration) (wait time.Duration, rate float64) {
	if l.bytesPerSecond <= 0 {
		return 0, 0
	}
	bytes := l.queuedInShare.Remaining(l.bytesPerSecond, now)
	if l.shares.AboveShare(customer, now) {
		bytes += l.queuedOverShare.Remaining(l.bytesPerSecond, now)
	}
	return time.Duration(bytes / l.bytesPerSecond * float64(time.Second)), l.bytesPerSecond
}
