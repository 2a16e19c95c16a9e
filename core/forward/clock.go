package forward

import "time"

// EndpointClock relates the clock of the endpoints and stores, which is the same for all,
// to the process's clock. An answer states a time that lies between the call and the
// arrival of the answer, so it bounds the clock on both sides: an answer that waited in the
// socket of a suspended process shows an earlier time than the current one.
type EndpointClock struct {
	known    bool
	min, max float64 // bounds of how far the endpoints' clock is ahead of the process's clock, in ms
}

// Observe records an answer that stated the clock. The call began at the time started.
func (c *EndpointClock) Observe(clockMs float64, started, now time.Duration) {
	*c = EndpointClock{true, clockMs - milliseconds(now), clockMs - milliseconds(started)}
}

// Bounds returns bounds of the clock in ms at the given time, and false if the clock is not
// known.
func (c *EndpointClock) Bounds(at time.Duration) (earliest, latest float64, known bool) {
	return c.min + milliseconds(at), c.max + milliseconds(at), c.known
}
