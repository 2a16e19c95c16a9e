package retry

import (
	"math/rand/v2"
	"time"
)

// Parameters of a Breaker.
const (
	breakerFailureThreshold = 3 // consecutive; a single failure may be caused by the request itself
	breakerOpenMin          = time.Second
	breakerOpenMax          = 8 * time.Second // limits how long a recovered endpoint stays unused
	// breakerProbeTimeout is the time after which another probe is allowed if the
	// last one has no result, so that a lost result does not keep the breaker open.
	breakerProbeTimeout = 10 * time.Second
)

// Breaker is a circuit breaker for one endpoint or link. It opens after consecutive
// failures. After the open time it allows one probe: success closes the breaker,
// failure doubles the open time. The zero value is a closed breaker.
type Breaker struct {
	failures  int
	open      bool
	nextProbe time.Duration // when the next probe is allowed, while open
	openTime  time.Duration
}

// Allow reports whether a request may be sent now. If the breaker is open, that
// request is the probe, and its result must be passed to Done.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.open {
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now + breakerProbeTimeout
	return true
}

// Open reports whether the breaker is open and no probe is due.
func (b *Breaker) Open(now time.Duration) bool { return b.open && now < b.nextProbe }

// Done records the result of an allowed request. A missing or wrong answer is a
// failure. A rejection because of overload is not: counting it as a failure would
// open the breakers of a fleet one after another, shift the load to the remaining
// endpoints, and sustain an overload after its cause has ended.
func (b *Breaker) Done(ok bool, now time.Duration, rng *rand.Rand) {
	if ok {
		*b = Breaker{}
		return
	}
	b.failures++
	if b.failures < breakerFailureThreshold || b.open && now < b.nextProbe-breakerProbeTimeout {
		return
	}
	b.Trip(now, rng)
}

// Trip opens the breaker regardless of the number of failures. Each further call
// doubles the open time, up to the maximum.
func (b *Breaker) Trip(now time.Duration, rng *rand.Rand) {
	b.failures = max(b.failures, breakerFailureThreshold)
	b.openTime = min(max(2*b.openTime, breakerOpenMin), breakerOpenMax)
	b.open = true
	b.nextProbe = now + b.openTime/2 + time.Duration(rng.Int64N(int64(b.openTime/2)+1))
}
