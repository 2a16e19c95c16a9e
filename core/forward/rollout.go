package forward

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Figures of a rollout.
const (
	changeShare = 0.5                     // of a service's endpoints are emptied or loaded at a time
	loadShare   = 0.3                     // of a service's endpoints get no requests at a time
	claimExpiry = 500 * time.Millisecond  // an endpoint whose ownership was lost is no longer kept free
	startPause  = 300 * time.Millisecond  // between two of one process, for the others to hear of the first
	orderMemory = 5 * time.Second         // an endpoint that is no longer managed is forgotten
	keptTargets = 8                       // versions of a model that are remembered
	orderExpiry = time.Second             // an order without effect is repeated after this
	followLimit = 2 * time.Second         // an endpoint that doesn't follow leaves its place to others after this
	asidePause  = 2 * time.Second         // and is tried again after this
	reportPause = 300 * time.Millisecond  // between two reports of an endpoint that loads
	noticePause = 250 * time.Millisecond  // until all processes know that an endpoint is being emptied
	emptyLimit  = 2500 * time.Millisecond // for long prompts to end before the order, which waits for the rest
)

// Rollout brings endpoints to the named weight versions. Each endpoint is asked
// for its report first, so that an order is conditional on the number of orders
// that the endpoint has accepted: a late one can't follow a newer one.
type Rollout struct {
	targets map[string][]target // by rising version
	orders  map[string]*ordering
	started time.Duration            // the last rollout on an endpoint began
	aside   map[string]time.Duration // endpoints that didn't follow, and until when others go first
}

type target struct {
	version int64
	named   time.Duration // at the earliest
	learned time.Duration // by this process, not earlier than it was named
}

// stage is how far the rollout on one endpoint is.
type stage int

const (
	emptying stage = iota // gets no long prompts, while those that run end
	asking                // its report is awaited
	ordered               // an order was sent
)

var stageNames = map[stage]string{emptying: "emptying", asking: "asking", ordered: "ordered"}

type ordering struct {
	stage   stage
	since   time.Duration // of the stage
	began   time.Duration // of asking
	managed time.Duration // last seen as managed by this process
	asked   time.Duration
	busy    time.Duration // it followed its order, as it said last
	report  Report
	have    bool
}

// Managed is an endpoint that this process gives orders to.
type Managed struct {
	Endpoint Endpoint
	Long     int   // long prompts that run there, of all processes
	Certain  bool  // no other process has given an order within the pause between holders
	Seq      int64 // when not certain: the number of orders that all processes know of
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
	return &Rollout{targets: map[string][]target{}, orders: map[string]*ordering{}, aside: map[string]time.Duration{}}
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

// Newest returns the newest named version of each model.
func (r *Rollout) Newest() map[string]int64 {
	out := map[string]int64{}
	for model, ts := range r.targets {
		out[model] = ts[len(ts)-1].version
	}
	return out
}

// Stages returns how far this process's rollouts are, by endpoint.
func (r *Rollout) Stages() map[string]string {
	out := map[string]string{}
	for id, o := range r.orders {
		out[id] = stageNames[o.stage]
	}
	return out
}

// Loading tells whether an endpoint should get no new requests, and whether it
// should get no long ones, as this process is about to change it.
func (r *Rollout) Loading(id string, now time.Duration) (all, long bool) {
	o := r.orders[id]
	if o == nil || now >= o.managed+claimExpiry {
		return false, false
	}
	return o.stage != emptying, true
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
	if rep.Busy {
		o.busy = now
	}
	return false
}

// Sent records that an order was sent.
func (r *Rollout) Sent(id string, now time.Duration) {
	if o := r.orders[id]; o != nil {
		o.stage, o.since, o.have = ordered, now, false
	}
}

// Fleet counts the endpoints of a service.
type Fleet struct {
	Total   int
	Claimed int // that other processes are about to change
	Loading int // of these, those that get no requests at all
}

// Next returns what to do now for the endpoints. At most a share of a service's
// endpoints is changed at a time, and a smaller share gets no requests.
func (r *Rollout) Next(managed []Managed, fleets map[string]Fleet, now time.Duration) []Step {
	slices.SortFunc(managed, func(a, b Managed) int {
		return cmp.Or(cmp.Compare(oldest(a.Endpoint), oldest(b.Endpoint)), cmp.Compare(a.Long, b.Long), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	changing, loading := map[string]int{}, map[string]int{}
	for service, f := range fleets {
		changing[service], loading[service] = f.Claimed, f.Loading
	}
	for id, until := range r.aside {
		if now >= until+orderMemory {
			delete(r.aside, id)
		}
	}
	for _, m := range managed {
		if o := r.orders[m.Endpoint.ID]; o != nil && o.stuck(now) {
			delete(r.orders, m.Endpoint.ID)
			r.aside[m.Endpoint.ID] = now + asidePause
		} else if o != nil {
			changing[m.Endpoint.Service]++
			if o.stage != emptying {
				loading[m.Endpoint.Service]++
			}
			o.managed = now
		}
	}
	for id, o := range r.orders {
		if now >= o.managed+orderMemory {
			delete(r.orders, id)
		}
	}
	var steps []Step
	for _, m := range managed {
		service := m.Endpoint.Service
		o := r.orders[m.Endpoint.ID]
		if o == nil {
			f := fleets[service]
			_, _, behind := r.needed(m.Endpoint.Models)
			if !behind || changing[service] >= max(1, int(changeShare*float64(f.Total))) || now < r.started+startPause || now < r.aside[m.Endpoint.ID] {
				continue
			}
			changing[service]++
			r.started = now
			r.orders[m.Endpoint.ID] = &ordering{stage: emptying, since: now, managed: now}
			continue
		}
		if o.stage == emptying {
			if loading[service] >= max(1, int(loadShare*float64(fleets[service].Total))) || !o.empty(m, now) {
				continue
			}
			loading[service]++
			o.stage, o.since, o.began = asking, now, now
		}
		if s, ok := o.step(r, m, now); ok {
			steps = append(steps, s)
		}
	}
	return steps
}

// oldest returns the lowest weight version of an endpoint: its time ends first.
func oldest(e Endpoint) int64 {
	v := int64(math.MaxInt64)
	for _, m := range e.Models {
		v = min(v, m.Version)
	}
	return v
}

// stuck tells whether an endpoint has not followed for so long that others should
// have its place. Its orders stay conditional, so that a late one does no harm.
func (o *ordering) stuck(now time.Duration) bool {
	return o.stage != emptying && now >= max(o.began, o.busy)+followLimit
}

// empty tells whether an endpoint that gets no long prompts may be changed now.
func (o *ordering) empty(m Managed, now time.Duration) bool {
	return now >= o.since+noticePause && m.Long == 0 || now >= o.since+emptyLimit
}

func (o *ordering) step(r *Rollout, m Managed, now time.Duration) (Step, bool) {
	mayOrder := m.Certain || o.report.Seq == m.Seq
	if o.have && !mayOrder {
		o.began = now // this process waits, not the endpoint
	}
	if o.have && !o.report.Busy && mayOrder && (o.stage == asking || now >= o.since+orderExpiry) {
		if model, version, ok := r.needed(o.report.Models); ok {
			o.have = false
			return Step{Endpoint: m.Endpoint, Order: true, Model: model, Version: version, Seq: o.report.Seq}, true
		}
	}
	if now >= o.asked+reportPause {
		o.asked = now
		return Step{Endpoint: m.Endpoint}, true
	}
	return Step{}, false
}
