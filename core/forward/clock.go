package forward

import "time"

// EndpointClock relates the clock of the endpoints and stores, which is the same for all,
// to the process's clock. An answer states a time that lies between the call and the
// arrival of the answer, so it bounds the clock on both sides: an answer that waited in the
// socket of a suspended process shows an earlier time than the current one.
type EndpointClock struct {
	known    bool
	min, max float64 // bounds of how far the endpoints' clock is ahead of the process's clock, in ms
	readAt   time.Duration
}

// reportAge is an upper bound for the age of a report, whose values are some hundred ms old.
const reportAge = time.Second

// ObserveReport records an endpoint's report that was requested at the time started.
func (c *EndpointClock) ObserveReport(r EndpointReport, started, now time.Duration) {
	if r.ClockMs > 0 {
		c.Observe(r.ClockMs, started-reportAge, now)
	}
}

// Observe records an answer that stated the clock. The call began at the time started.
func (c *EndpointClock) Observe(clockMs float64, started, now time.Duration) {
	*c = EndpointClock{true, clockMs - milliseconds(now), clockMs - milliseconds(started), now}
}

// clockTTL is how long the answer of an endpoint that is not read regularly is used. In this
// time, two clocks drift apart by milliseconds.
const clockTTL = time.Minute

// Expired reports whether the clock is not known, or was read too long ago to be used.
func (c *EndpointClock) Expired(now time.Duration) bool {
	_, _, known := c.Bounds(now)
	return !known || now >= c.readAt+clockTTL
}

// maxClockError is how far apart the bounds may be. It exceeds a report's age and the
// timeouts of calls, so that only an answer that waited during a suspension is left out.
const maxClockError = 2 * time.Second

// maxClockDrift is how far the endpoints' clock and the process's one drift apart between two answers
// of a store, which is read every second or so.
const maxClockDrift = 20 * time.Millisecond

// Bounds returns bounds of the clock in ms at the given time, and false if the clock is not
// known, or not well enough.
func (c *EndpointClock) Bounds(at time.Duration) (earliest, latest float64, known bool) {
	return c.min + milliseconds(at), c.max + milliseconds(at), c.known && c.max-c.min <= milliseconds(maxClockError)
}
