// Package metrics provides the metrics that a process publishes at /debug/vars:
// counters, labeled counters, gauges and duration histograms. Any package may register
// metrics. Labels are taken from fixed sets or the configuration, never from prompts or
// keys.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Registry is a set of named metrics. It implements expvar.Var as one JSON object and
// is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	values map[string]expvar.Var
}

// New returns an empty Registry.
func New() *Registry { return &Registry{values: map[string]expvar.Var{}} }

// Default is the registry that is published as "galenaweir" at /debug/vars.
var Default = New()

func init() { expvar.Publish("galenaweir", Default) }

// getOrCreate returns the named metric and creates it on first use. It panics if the
// name is already used by another kind of metric.
func getOrCreate[V expvar.Var](r *Registry, name string, create func() V) V {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.values[name]; ok {
		return v.(V)
	}
	v := create()
	r.values[name] = v
	return v
}

// Counter returns the named counter.
func (r *Registry) Counter(name string) *expvar.Int {
	return getOrCreate(r, name, func() *expvar.Int { return new(expvar.Int) })
}

// LabeledCounter returns the named set of counters by label. Add(label, 1) increments one.
func (r *Registry) LabeledCounter(name string) *expvar.Map {
	return getOrCreate(r, name, func() *expvar.Map { return new(expvar.Map).Init() })
}

// Gauge publishes the result of f as JSON. A later call for the same name replaces f.
func (r *Registry) Gauge(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] = expvar.Func(f)
}

// DurationHistograms returns the named set of duration histograms by label.
func (r *Registry) DurationHistograms(name string) *DurationHistograms {
	return getOrCreate(r, name, func() *DurationHistograms { return &DurationHistograms{byLabel: map[string]*hdrhistogram.Histogram{}} })
}

// String implements expvar.Var.
func (r *Registry) String() string {
	r.mu.Lock()
	values := make(map[string]expvar.Var, len(r.values))
	for name, v := range r.values {
		values[name] = v
	}
	r.mu.Unlock()
	out := make(map[string]json.RawMessage, len(values))
	for name, v := range values {
		out[name] = json.RawMessage(v.String())
	}
	b, _ := json.Marshal(out) // every expvar.Var returns valid JSON
	return string(b)
}

// Range and precision of the histograms.
const (
	minDuration       = time.Microsecond
	maxDuration       = 10 * time.Minute
	significantDigits = 2
)

// DurationHistograms is a set of duration histograms by label.
type DurationHistograms struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram // values in microseconds
}

// Observe records a duration, clamped to the range of the histograms.
func (d *DurationHistograms) Observe(label string, v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byLabel[label]
	if h == nil {
		h = hdrhistogram.New(minDuration.Microseconds(), maxDuration.Microseconds(), significantDigits)
		d.byLabel[label] = h
	}
	_ = h.RecordValue(min(max(v, minDuration), maxDuration).Microseconds()) // can't fail within the range
}

// Summary is the published summary of one histogram.
type Summary struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Summaries returns the summary of each label's histogram.
func (d *DurationHistograms) Summaries() map[string]Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Summary, len(d.byLabel))
	for label, h := range d.byLabel {
		quantileMs := func(q float64) float64 {
			return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		}
		out[label] = Summary{h.TotalCount(), quantileMs(50), quantileMs(95), quantileMs(99)}
	}
	return out
}

// String implements expvar.Var.
func (d *DurationHistograms) String() string {
	b, _ := json.Marshal(d.Summaries()) // numbers and strings always marshal
	return string(b)
}
