package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff spaces out repeated attempts. Zero fields stand for the defaults.
type Backoff struct {
	Base time.Duration // upper bound of the first pause
	Max  time.Duration // upper bound of any pause
}

const (
	defaultBackoffBase = 20 * time.Millisecond // several hops, less than a queue wait
	defaultBackoffMax  = 2 * time.Second
)

// Pause returns the pause before the retry, counted from 0: evenly distributed
// up to a bound that doubles, so that callers that failed together don't come
// back together. It returns false when the pause doesn't end before the deadline.
func (b Backoff) Pause(retry int, remaining time.Duration, rng *rand.Rand) (time.Duration, bool) {
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
	pause := bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
	return pause, pause < remaining
}
