package forward

import (
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/retry"
)

// outcomeWindow is the number of recent responses over which failures are counted.
const outcomeWindow = 16

// suspectFailures is the number of failures within outcomeWindow that makes an
// endpoint suspect. It is above the usual failure rate of services, which is up to
// one in seven requests.
const suspectFailures = 6

// Health derives an endpoint's health from the outcomes of the requests sent to it.
// This also detects an endpoint that fails requests while its own health check
// passes.
type Health struct {
	breaker      retry.Breaker
	outcomes     [outcomeWindow]bool // true for a failure
	next         int
	failures     int
	refusedUntil time.Duration // the endpoint refused work and is avoided until then
}

// RecordRefusal records that the endpoint refuses work and is to be avoided until the
// given time.
func (h *Health) RecordRefusal(until time.Duration) { h.refusedUntil = max(h.refusedUntil, until) }

// RecordFailure records that the endpoint could not be reached, timed out or closed the
// connection early.
func (h *Health) RecordFailure(now time.Duration, rng *rand.Rand) { h.breaker.Done(false, now, rng) }

// RecordResponse records a response from the endpoint itself.
func (h *Health) RecordResponse(failed bool, now time.Duration, rng *rand.Rand) {
	if h.outcomes[h.next] {
		h.failures--
	}
	h.outcomes[h.next] = failed
	if failed {
		h.failures++
	}
	h.next = (h.next + 1) % outcomeWindow
	if h.failures >= suspectFailures {
		// Done alone would not open the breaker, because successes between the
		// failures reset it.
		h.breaker.Trip(now, rng)
		h.outcomes, h.failures = [outcomeWindow]bool{}, 0
		return
	}
	if !failed {
		h.breaker.Done(true, now, rng)
	}
}

// Usable reports whether the endpoint should get requests.
func (h *Health) Usable(now time.Duration) bool { return now >= h.refusedUntil && !h.breaker.Open(now) }

// Allow reports whether a placed request may be sent. While the endpoint is suspect,
// one request at a time is let through as a probe.
func (h *Health) Allow(now time.Duration) bool { return h.breaker.Allow(now) }
