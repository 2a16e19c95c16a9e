package retry

import (
	"math/rand/v2"
	"time"
)

// Settings of a breaker.
const (
	breakerFailures = 3 // in a row; a single one may be the request's own fault
	breakerOpenMin  = time.Second
	breakerOpenMax  = 8 * time.Second // bounds how long a recovered endpoint stays unused
	// breakerProbeLimit is the time after which a probe without a result is
	// given up, so that a lost result doesn't keep the breaker open for ever.
	breakerProbeLimit = 10 * time.Second
)

// Breaker keeps work away from one endpoint or link that fails. After the open
// time one probe passes; its success closes the breaker, its failure doubles the
// open time. The zero value is closed.
type Breaker struct {
	failures int
	open     bool
	until    time.Duration // while open: the next probe
	pause    time.Duration
}

// Allow tells whether work may be sent now. While the breaker is open a true
// result is the probe, whose result must be given to Done.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.open {
		return true
	}
	if now < b.until {
		return false
	}
	b.until = now + breakerProbeLimit
	return true
}

// Open tells whether the breaker is open and no probe is due.
func (b *Breaker) Open(now time.Duration) bool { return b.open && now < b.until }

// Done takes the result of work that was allowed. It failed when no answer came
// or a wrong one. A refusal because of overload is an answer: counted as a
// failure, it would open the breakers of a fleet one after the other, send all
// load to the rest, and keep an overload going after its cause has ended.
func (b *Breaker) Done(ok bool, now time.Duration, rng *rand.Rand) {
	if ok {
		*b = Breaker{}
		return
	}
	b.failures++
	if b.failures < breakerFailures || b.open && now < b.until-breakerProbeLimit {
		return
	}
	b.Trip(now, rng)
}

// Trip opens the breaker, or doubles its open time, whatever came before.
func (b *Breaker) Trip(now time.Duration, rng *rand.Rand) {
	b.failures = max(b.failures, breakerFailures)
	b.pause = min(max(2*b.pause, breakerOpenMin), breakerOpenMax)
	b.open = true
	b.until = now + b.pause/2 + time.Duration(rng.Int64N(int64(b.pause/2)+1))
}
