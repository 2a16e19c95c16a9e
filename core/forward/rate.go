package forward

import (
	"math"
	"time"
)

// rateWindow is the time over which a Rate averages: long enough for a few events of an entry with a
// hundredth of the load, short enough to follow a burst.
const rateWindow = time.Second

// Rate is a moving average of the number of events a second. The zero value has seen none.
type Rate struct {
	perSecond float64 // at the time of the last event
	last      time.Duration
}

// Add records an event.
func (r *Rate) Add(now time.Duration) {
	r.perSecond = r.PerSecond(now) + 1/rateWindow.Seconds()
	r.last = max(r.last, now)
}

// PerSecond returns the rate, in which an event's weight falls exponentially with its age.
func (r *Rate) PerSecond(now time.Duration) float64 {
	return r.perSecond * math.Exp(-max(now-r.last, 0).Seconds()/rateWindow.Seconds())
}
