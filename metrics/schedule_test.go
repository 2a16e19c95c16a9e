package metrics

import (
	"math"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a quantile of all delays since the start of the process, in which an overload of
// some seconds doesn't show.
func TestDelayQuantileIsOfTheLastSpan(t *testing.T) {
	h := &metrics.Float64Histogram{Buckets: []float64{0, 0.001, 0.1, math.Inf(1)}, Counts: []uint64{1000, 0, 0}}
	before := make([]uint64, 3)
	require.Equal(t, time.Millisecond, histogramQuantile(h, before, 0.9))
	require.Zero(t, histogramQuantile(h, before, 0.9), "nothing ran")
	h.Counts = []uint64{1001, 9, 0}
	require.Equal(t, 100*time.Millisecond, histogramQuantile(h, before, 0.9))
	h.Counts = []uint64{1001, 9, 1}
	require.Equal(t, 100*time.Millisecond, histogramQuantile(h, before, 0.9), "the last bucket has no upper bound")
}

// Guards against a version of Go that names or measures the delays otherwise.
func TestSchedulingDelayIsMeasured(t *testing.T) {
	d := NewSchedulingDelay()
	done := make(chan bool)
	for range 1000 {
		go func() { runtime.Gosched(); done <- true }()
	}
	for range 1000 {
		<-done
	}
	require.Positive(t, d.Quantile(1))
}
