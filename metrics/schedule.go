package metrics

import (
	"math"
	"runtime/metrics"
	"time"
)

const schedulingLatencies = "/sched/latencies:seconds"

// SchedulingDelay samples how long goroutines that could run waited for a processor. It grows when
// the process has more work than processor time.
type SchedulingDelay struct {
	sample [1]metrics.Sample
	counts []uint64 // at the last call of Quantile
}

// NewSchedulingDelay returns a sampler. Its first span begins with the process.
func NewSchedulingDelay() *SchedulingDelay {
	return &SchedulingDelay{sample: [1]metrics.Sample{{Name: schedulingLatencies}}}
}

// Quantile returns a quantile of the delays since the last call, 0 if nothing ran. The runtime
// records one in eight.
func (d *SchedulingDelay) Quantile(q float64) time.Duration {
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // this version of Go doesn't measure it
	}
	h := d.sample[0].Value.Float64Histogram()
	if len(d.counts) != len(h.Counts) {
		d.counts = make([]uint64, len(h.Counts))
	}
	return histogramQuantile(h, d.counts, q)
}

// histogramQuantile returns the upper bound of the bucket that holds a quantile of what a histogram
// has counted since before, and sets before to its counts.
func histogramQuantile(h *metrics.Float64Histogram, before []uint64, q float64) time.Duration {
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - before[i]
	}
	rank, seen, bound := uint64(math.Ceil(q*float64(total))), uint64(0), 0.0
	for i, n := range h.Counts {
		if seen < rank {
			bound = h.Buckets[i+1]
			if math.IsInf(bound, 1) {
				bound = h.Buckets[i]
			}
		}
		seen += n - before[i]
		before[i] = n
	}
	return time.Duration(bound * float64(time.Second))
}
