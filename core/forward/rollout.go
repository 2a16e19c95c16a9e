package forward

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits and durations of a rollout.
const (
	// maxChangingShare is the share of a service's endpoints that may be emptied or
	// loading at a time.
	maxChangingShare = 0.5

	// maxLoadingShare is the share of a service's endpoints that may be excluded from
	// new requests at a time.
	maxLoadingShare = 0.3

	// unmanagedGrace is the time after the loss of ownership until an endpoint gets
	// requests again.
	unmanagedGrace = 500 * time.Millisecond

	// startInterval is the minimum time between the starts of two endpoint updates in
	// one process, so that the other processes learn of the first.
	startInterval = 300 * time.Millisecond

	// stateRetention is the time until the state of an endpoint that is no longer
	// managed is removed.
	stateRetention = 5 * time.Second

	orderRetryDelay = time.Second // an order without effect is repeated after this time

	// stallTimeout is the time after which an endpoint that does not carry out its
	// order gives way to others. It is tried again after deferralPeriod.
	stallTimeout   = 2 * time.Second
	deferralPeriod = 2 * time.Second

	reportInterval   = 300 * time.Millisecond // minimum time between two report requests to an endpoint
	propagationDelay = 250 * time.Millisecond // until all processes know that an endpoint is being emptied

	// emptyingLimit is the maximum time to let long prompts finish before the order, which
	// waits for the remaining ones.
	emptyingLimit = 2500 * time.Millisecond
)

// Rollout brings endpoints to their target weight versions. It requests a report from
// an endpoint before each order. The order is conditional on the number of orders
// that the endpoint had accepted by then, so a delayed order can't take effect after
// a newer one.
type Rollout struct {
	targets map[string][]target // by model, in ascending order of versions
	updates map[string]*endpointUpdate
	// RetireDelay is how long parts of older weights are fetched from stores after a newer
	// version was set.
	RetireDelay time.Duration
	lastStart   time.Duration // when this process last started to update an endpoint
	// deferredUntil holds the endpoints that did not carry out their orders, with the
	// time until which others go first.
	deferredUntil map[string]time.Duration
}

// stage is the progress of the update of one endpoint.
type stage int

const (
	emptying stage = iota // gets no new long prompts while the running ones finish
	awaitingReport
	orderSent
)

var stageNames = map[stage]string{emptying: "emptying", awaitingReport: "asking", orderSent: "ordered"}

// endpointUpdate is the state of the update of one endpoint.
type endpointUpdate struct {
	stage             stage
	stageSince        time.Duration // start of the current stage
	awaitedSince      time.Duration // time from which stalled counts
	lastManaged       time.Duration // when this process last managed the endpoint
	lastReportRequest time.Duration
	lastBusy          time.Duration // when the endpoint last reported that it was carrying out an order
	report            EndpointReport
	hasReport         bool
	// uncounted exempts an update that has stalled from the limits, while the endpoint gets no
	// prompts anyway: it takes nothing out of use, and must not delay the updates of others.
	uncounted bool
}

// ManagedEndpoint is an endpoint that this process may send orders to.
type ManagedEndpoint struct {
	Endpoint     Endpoint
	LongRunning  int  // long-running prompts on the endpoint, from all processes
	HandoverDone bool // no other process has sent an order within the handover pause
	// OrderSeq is the number of accepted orders that all processes know of. It is used if
	// another process may have sent an order within the handover pause.
	OrderSeq int64
	// Expired is set if the endpoint gets no prompts because its weights are too old.
	Expired bool
}

// EndpointReport is the state that an endpoint reports.
type EndpointReport struct {
	Models   []ModelState
	Busy     bool
	OrderSeq int64
	ClockMs  float64 // endpoints' clock, 0 if not stated
}

// RolloutStep is an action for an endpoint: a request for its report, or an order to load
// weights.
type RolloutStep struct {
	Endpoint Endpoint
	IsOrder  bool
	Model    string
	Version  int64
	OrderSeq int64 // number of accepted orders that the endpoint must have for the order to be valid
}

// NewRollout returns a rollout without targets.
func NewRollout() *Rollout {
	return &Rollout{RetireDelay: minRetireDelay, targets: map[string][]target{}, updates: map[string]*endpointUpdate{}, deferredUntil: map[string]time.Duration{}}
}

// Stages returns the stage of each endpoint that this process is updating.
func (r *Rollout) Stages() map[string]string {
	out := map[string]string{}
	for id, u := range r.updates {
		out[id] = stageNames[u.stage]
	}
	return out
}

// Blocked reports whether an endpoint should get no new requests at all, and whether
// it should get no long ones, because this process is updating it.
func (r *Rollout) Blocked(id string, now time.Duration) (all, long bool) {
	u := r.updates[id]
	if u == nil || now >= u.lastManaged+unmanagedGrace {
		return false, false
	}
	return u.stage != emptying, true
}

// RecordReport records an endpoint's report. It reports whether the endpoint has all
// target versions.
func (r *Rollout) RecordReport(id string, rep EndpointReport, now time.Duration) bool {
	u := r.updates[id]
	if u == nil {
		return false
	}
	if _, _, behind := r.pendingTarget(rep.Models); !behind {
		delete(r.updates, id)
		return true
	}
	u.report, u.hasReport = rep, true
	if rep.Busy {
		u.lastBusy = now
	}
	return false
}

// RecordOrderSent records that an order was sent.
func (r *Rollout) RecordOrderSent(id string, now time.Duration) {
	if u := r.updates[id]; u != nil {
		u.stage, u.stageSince, u.hasReport = orderSent, now, false
	}
}

// RecordOrderUnanswered records that an order got no answer. It may still be carried out, seconds
// later, so the endpoint gives way to others at once.
func (r *Rollout) RecordOrderUnanswered(id string, now time.Duration) {
	if r.updates[id] != nil {
		delete(r.updates, id)
		r.deferredUntil[id] = now + deferralPeriod
	}
}

// FleetCounts holds counts of the endpoints of a service.
type FleetCounts struct {
	Total        int
	PeerUpdating int // endpoints that other processes are about to change
	PeerLoading  int // those of PeerUpdating that get no requests at all
}

// NextSteps returns the steps that are due for the managed endpoints. It limits the share
// of a service's endpoints that are updated at a time, and further limits the share
// that gets no requests. An endpoint that does not carry out its order gives way to others,
// or is updated beside them once its weights have expired.
func (r *Rollout) NextSteps(managed []ManagedEndpoint, fleets map[string]FleetCounts, now time.Duration) []RolloutStep {
	slices.SortFunc(managed, func(a, b ManagedEndpoint) int {
		return cmp.Or(cmp.Compare(oldestVersion(a.Endpoint), oldestVersion(b.Endpoint)), cmp.Compare(r.deferredUntil[a.Endpoint.ID], r.deferredUntil[b.Endpoint.ID]), cmp.Compare(a.LongRunning, b.LongRunning), cmp.Compare(a.Endpoint.ID, b.Endpoint.ID))
	})
	changing, loading := map[string]int{}, map[string]int{}
	for service, f := range fleets {
		changing[service], loading[service] = f.PeerUpdating, f.PeerLoading
	}
	for id, until := range r.deferredUntil {
		if now >= until+stateRetention {
			delete(r.deferredUntil, id)
		}
	}
	for _, m := range managed {
		u := r.updates[m.Endpoint.ID]
		if u == nil {
			continue
		}
		u.lastManaged = now
		switch {
		case m.Expired && (u.uncounted || u.stalled(now)):
			u.uncounted = true
		case u.stalled(now):
			delete(r.updates, m.Endpoint.ID)
			r.deferredUntil[m.Endpoint.ID] = now + deferralPeriod
		default:
			u.uncounted = false
			changing[m.Endpoint.Service]++
			if u.stage != emptying {
				loading[m.Endpoint.Service]++
			}
		}
	}
	for id, u := range r.updates {
		if now >= u.lastManaged+stateRetention {
			delete(r.updates, id)
		}
	}
	var steps []RolloutStep
	for _, m := range managed {
		service := m.Endpoint.Service
		u := r.updates[m.Endpoint.ID]
		if u == nil && m.Expired && now < r.deferredUntil[m.Endpoint.ID] {
			u = &endpointUpdate{stage: awaitingReport, stageSince: now, awaitedSince: now, lastManaged: now, uncounted: true}
			r.updates[m.Endpoint.ID] = u
		}
		if u == nil {
			f := fleets[service]
			_, _, behind := r.pendingTarget(m.Endpoint.Models)
			if !behind || changing[service] >= max(1, int(maxChangingShare*float64(f.Total))) || now < r.lastStart+startInterval || now < r.deferredUntil[m.Endpoint.ID] {
				continue
			}
			changing[service]++
			r.lastStart = now
			r.updates[m.Endpoint.ID] = &endpointUpdate{stage: emptying, stageSince: now, lastManaged: now}
			continue
		}
		if u.stage == emptying {
			if loading[service] >= max(1, int(maxLoadingShare*float64(fleets[service].Total))) || !u.emptied(m, now) {
				continue
			}
			loading[service]++
			u.stage, u.stageSince, u.awaitedSince = awaitingReport, now, now
		}
		if s, ok := u.nextStep(r, m, now); ok {
			steps = append(steps, s)
		}
	}
	return steps
}

// oldestVersion returns the lowest weight version of an endpoint's models, whose
// deadline is the earliest.
func oldestVersion(e Endpoint) int64 {
	v := int64(math.MaxInt64)
	for _, m := range e.Models {
		v = min(v, m.Version)
	}
	return v
}

// stalled reports whether an endpoint has not carried out its order for so long that
// it should give way to others. Its orders remain conditional, so a delayed one does
// no harm.
func (u *endpointUpdate) stalled(now time.Duration) bool {
	return u.stage != emptying && now >= max(u.awaitedSince, u.lastBusy)+stallTimeout
}

// emptied reports whether an endpoint that gets no long prompts may be updated now.
func (u *endpointUpdate) emptied(m ManagedEndpoint, now time.Duration) bool {
	return now >= u.stageSince+propagationDelay && m.LongRunning == 0 || now >= u.stageSince+emptyingLimit
}

// nextStep returns the step that is due for the endpoint, if any: an order if the last
// report allows one, otherwise a request for a new report.
func (u *endpointUpdate) nextStep(r *Rollout, m ManagedEndpoint, now time.Duration) (RolloutStep, bool) {
	mayOrder := m.HandoverDone || u.report.OrderSeq == m.OrderSeq
	if u.hasReport && !mayOrder {
		u.awaitedSince = now // the delay is caused by this process, not by the endpoint
	}
	if u.hasReport && !u.report.Busy && mayOrder && (u.stage == awaitingReport || now >= u.stageSince+orderRetryDelay) {
		if model, version, ok := r.pendingTarget(u.report.Models); ok {
			u.hasReport = false
			return RolloutStep{Endpoint: m.Endpoint, IsOrder: true, Model: model, Version: version, OrderSeq: u.report.OrderSeq}, true
		}
	}
	if now >= u.lastReportRequest+reportInterval {
		u.lastReportRequest = now
		return RolloutStep{Endpoint: m.Endpoint}, true
	}
	return RolloutStep{}, false
}
