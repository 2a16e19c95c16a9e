package retry

import (
	"slices"
	"time"
)

const (
	maxPercentileSamples = 256 // number of recent samples that are kept
	minPercentileSamples = 64  // fewer samples do not determine the 95th percentile
	percentileQuantile   = 0.95
	recomputeInterval    = 16 // number of samples after which the percentile is recomputed
)

// RecentPercentile is the 95th percentile of the most recent samples of a duration, which may be
// negative. The zero value has no samples.
type RecentPercentile struct {
	samples [maxPercentileSamples]time.Duration
	count   int
	value   time.Duration
}

// Observe adds a sample.
func (p *RecentPercentile) Observe(sample time.Duration) {
	p.samples[p.count%maxPercentileSamples] = sample
	p.count++
	if p.count < minPercentileSamples || p.count%recomputeInterval != 0 {
		return
	}
	var sorted [maxPercentileSamples]time.Duration
	n := copy(sorted[:], p.samples[:min(p.count, maxPercentileSamples)])
	slices.Sort(sorted[:n])
	p.value = sorted[int(percentileQuantile*float64(n))]
}

// Value returns the percentile, and false while there are too few samples.
func (p *RecentPercentile) Value() (time.Duration, bool) {
	return p.value, p.count >= minPercentileSamples
}
