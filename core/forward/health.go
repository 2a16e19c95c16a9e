package forward

import (
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/retry"
)

// grayWindow is the number of answers over which the share of failures counts.
const grayWindow = 16

// grayFailures is how many failures among them make an endpoint suspect. Services
// fail up to about one in seven requests by themselves.
const grayFailures = 6

// Health judges an endpoint by the outcomes of the requests sent to it, which say
// more than its own health check.
type Health struct {
	breaker  retry.Breaker
	outcomes [grayWindow]bool // true for a failure
	next     int
	failures int
	until    time.Duration // refuses work until then
}

// Refusing records that the endpoint refuses work; it is avoided for the time.
func (h *Health) Refusing(until time.Duration) { h.until = max(h.until, until) }

// Broken records that the endpoint can't be reached, went silent or broke off.
func (h *Health) Broken(now time.Duration, rng *rand.Rand) { h.breaker.Done(false, now, rng) }

// Answered records an answer of the endpoint itself.
func (h *Health) Answered(failed bool, now time.Duration, rng *rand.Rand) {
	if h.outcomes[h.next] {
		h.failures--
	}
	h.outcomes[h.next] = failed
	if failed {
		h.failures++
	}
	h.next = (h.next + 1) % grayWindow
	if h.failures >= grayFailures {
		h.breaker.Trip(now, rng) // successes between the failures would keep it closed
		h.outcomes, h.failures = [grayWindow]bool{}, 0
		return
	}
	if !failed {
		h.breaker.Done(true, now, rng)
	}
}

// Usable tells whether the endpoint should get work.
func (h *Health) Usable(now time.Duration) bool { return now >= h.until && !h.breaker.Open(now) }

// Claim tells whether the request that was placed may be sent; while the endpoint
// is suspect one request at a time probes it.
func (h *Health) Claim(now time.Duration) bool { return h.breaker.Allow(now) }
