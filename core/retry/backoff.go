package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponential backoff with jitter. Zero fields select the defaults.
type Backoff struct {
	Base time.Duration // upper bound of the first delay
	Max  time.Duration // upper bound of every delay
}

const (
	defaultBackoffBase = 20 * time.Millisecond // longer than several network hops, shorter than a typical queueing time
	defaultBackoffMax  = 2 * time.Second
)

// Delay returns the delay before a retry; the first retry has number 0. The delay is
// uniformly distributed between half of a bound and the bound, which doubles with each
// retry, so that callers that failed at the same time do not retry at the same time.
// Delay returns false if the delay is not shorter than the remaining time.
func (b Backoff) Delay(retry int, remaining time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if b.Base <= 0 {
		b.Base = defaultBackoffBase
	}
	if b.Max <= 0 {
		b.Max = defaultBackoffMax
	}
	bound := b.Base
	for i := 0; i < retry && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	delay := bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
	return delay, delay < remaining
}
