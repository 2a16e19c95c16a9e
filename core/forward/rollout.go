package forward

import (
	"cmp"
	"slices"
	"time"
)

// Figures of a rollout.
const (
	loadShare   = 0.45                    // of a service's endpoints may be out of use at a time
	sweepTime   = 4500 * time.Millisecond // the loads of all endpoints begin within this: more at once slow each other
	keptTargets = 8                       // versions of a model that are remembered
	orderExpiry = 2 * time.Second         // an order without effect is repeated after this
	reportPause = 300 * time.Millisecond  // between two reports of an endpoint that loads
)

// Rollout brings endpoints to the named weight versions. Each endpoint is asked
// for its report first, so that an order is conditional on the number of orders
// that the endpoint has accepted: a late one can't follow a newer one.
type Rollout struct {
	targets map[string][]target // by rising version
	orders  map[string]*ordering
	started time.Duration // the last rollout on an endpoint began
}

type target struct {
	version int64
	named   time.Duration // at the earliest
	learned time.Duration // by this process, not earlier than it was named
}

type ordering struct {
	asked   time.Duration
	ordered time.Duration
	sent    bool
	report  Report
	have    bool
}

// Report is what an endpoint says of itself.
type Report struct {
	Models []ModelState
	Busy   bool
	Seq    int64
}

// Step is one thing to do for an endpoint: ask for its report, or give it an order.
type Step struct {
	Endpoint Endpoint
	Order    bool
	Model    string
	Version  int64
	Seq      int64 // the order is valid while the endpoint has accepted so many
}

// NewRollout returns a rollout without targets.
func NewRollout() *Rollout {
	return &Rollout{targets: map[string][]target{}, orders: map[string]*ordering{}}
}

// Name records at now that a version was named, at the earliest at the time named.
// Versions only rise.
func (r *Rollout) Name(w WeightVersion, named, now time.Duration) bool {
	ts := r.targets[w.Model]
	if len(ts) > 0 && ts[len(ts)-1].version >= w.Version {
		return false
	}
	if len(ts) == keptTargets {
		ts = ts[1:]
	}
	r.targets[w.Model] = append(ts, target{w.Version, named, now})
	return true
}

// Behind tells whether the endpoint has an older version of the model than a named
// one, and since when the first such version is named: each version is to be in
// place within a bound of its own, also when another is named meanwhile.
func (r *Rollout) Behind(models []ModelState, model string) (time.Duration, bool) {
	for _, m := range models {
		if m.Name != model {
			continue
		}
		for _, t := range r.targets[model] {
			if t.version > m.Version {
				return t.named, true
			}
		}
	}
	return 0, false
}

func (r *Rollout) needed(models []ModelState) (string, int64, bool) {
	for _, m := range models {
		ts := r.targets[m.Name]
		if len(ts) > 0 && m.Version < ts[len(ts)-1].version {
			return m.Name, ts[len(ts)-1].version, true
		}
	}
	return "", 0, false
}

// Loading tells whether the endpoint is about to be changed by this process.
func (r *Rollout) Loading(id string) bool {
	o := r.orders[id]
	return o != nil
}

// Reported takes an endpoint's report. It returns true when the endpoint has all
// named versions.
func (r *Rollout) Reported(id string, rep Report, now time.Duration) bool {
	o := r.orders[id]
	if o == nil {
		return false
	}
	if _, _, behind := r.needed(rep.Models); !behind {
		delete(r.orders, id)
		return true
	}
	o.report, o.have = rep, true
	return false
}

// Sent records that an order was sent.
func (r *Rollout) Sent(id string, now time.Duration) {
	if o := r.orders[id]; o != nil {
		o.sent, o.ordered, o.have = true, now, false
	}
}

// Forget drops what is known of orders, when the role passes on.
func (r *Rollout) Forget() { clear(r.orders) }

// Next returns what to do now for the endpoints. At most a share of a
// service's endpoints is out of use at a time, and their loads begin one by one.
func (r *Rollout) Next(endpoints []Endpoint, now time.Duration) []Step {
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	total, loading := map[string]int{}, map[string]int{}
	alive := map[string]bool{}
	for _, e := range endpoints {
		total[e.Service]++
		alive[e.ID] = true
		if r.Loading(e.ID) {
			loading[e.Service]++
		}
	}
	for id := range r.orders {
		if !alive[id] {
			delete(r.orders, id)
		}
	}
	var steps []Step
	for _, e := range endpoints {
		if s, ok := r.step(e, now, total, loading); ok {
			steps = append(steps, s)
		}
	}
	return steps
}

func (r *Rollout) step(e Endpoint, now time.Duration, total, loading map[string]int) (Step, bool) {
	model, version, behind := r.needed(e.Models)
	o := r.orders[e.ID]
	if o == nil {
		n := total[e.Service]
		if !behind || loading[e.Service] >= max(1, int(loadShare*float64(n))) || now < r.started+sweepTime/time.Duration(n) {
			return Step{}, false
		}
		loading[e.Service]++
		r.started = now
		r.orders[e.ID] = &ordering{asked: now}
		return Step{Endpoint: e}, true
	}
	if o.have && !o.report.Busy && (!o.sent || now >= o.ordered+orderExpiry) {
		if m, v, ok := r.needed(o.report.Models); ok {
			model, version = m, v
		}
		o.have = false
		return Step{Endpoint: e, Order: true, Model: model, Version: version, Seq: o.report.Seq}, true
	}
	if now >= o.asked+reportPause {
		o.asked = now
		return Step{Endpoint: e}, true
	}
	return Step{}, false
}
