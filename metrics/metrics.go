// Package metrics holds the figures that a process publishes at /debug/vars:
// counters, counters by label, gauges, and histograms of durations. Any package
// may add its own; labels come from fixed sets or the configuration, never from
// a prompt or a key.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Registry is a set of figures by name. It implements expvar.Var as one JSON
// object. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	values map[string]expvar.Var
}

// New returns an empty registry.
func New() *Registry { return &Registry{values: map[string]expvar.Var{}} }

// Default is published as "galenaweir" at /debug/vars.
var Default = New()

func init() { expvar.Publish("galenaweir", Default) }

// get returns the figure of the name, made by create on its first use. Two kinds
// of figures under one name are a mistake in the code.
func get[V expvar.Var](r *Registry, name string, create func() V) V {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.values[name]; ok {
		return v.(V)
	}
	v := create()
	r.values[name] = v
	return v
}

// Count returns a counter.
func (r *Registry) Count(name string) *expvar.Int {
	return get(r, name, func() *expvar.Int { return new(expvar.Int) })
}

// CountBy returns counters by label, to be raised with Add(label, 1).
func (r *Registry) CountBy(name string) *expvar.Map {
	return get(r, name, func() *expvar.Map { return new(expvar.Map).Init() })
}

// Gauge publishes what f returns, as JSON. A later call replaces f.
func (r *Registry) Gauge(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[name] = expvar.Func(f)
}

// Durations returns histograms of durations by label.
func (r *Registry) Durations(name string) *Durations {
	return get(r, name, func() *Durations { return &Durations{byLabel: map[string]*hdrhistogram.Histogram{}} })
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
	b, _ := json.Marshal(out) // every expvar.Var is valid JSON
	return string(b)
}

// Range and precision of the histograms.
const (
	lowestDuration    = time.Microsecond
	highestDuration   = 10 * time.Minute
	significantDigits = 2
)

// Durations are histograms of durations by label.
type Durations struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram // in microseconds
}

// Observe counts one duration; those beyond the range count as its limit.
func (d *Durations) Observe(label string, v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byLabel[label]
	if h == nil {
		h = hdrhistogram.New(lowestDuration.Microseconds(), highestDuration.Microseconds(), significantDigits)
		d.byLabel[label] = h
	}
	_ = h.RecordValue(min(max(v, lowestDuration), highestDuration).Microseconds()) // in range
}

// Summary is what is published of one histogram; times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50Ms float64 `json:"p50_ms"`
	P95Ms float64 `json:"p95_ms"`
	P99Ms float64 `json:"p99_ms"`
}

// Summaries returns the summary of each label.
func (d *Durations) Summaries() map[string]Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Summary, len(d.byLabel))
	for label, h := range d.byLabel {
		at := func(q float64) float64 {
			return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
		}
		out[label] = Summary{h.TotalCount(), at(50), at(95), at(99)}
	}
	return out
}

// String implements expvar.Var.
func (d *Durations) String() string {
	b, _ := json.Marshal(d.Summaries()) // numbers and strings always marshal
	return string(b)
}
