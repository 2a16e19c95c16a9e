package forward

import (
	"cmp"
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
	// one process, so that the other processes learn of the first. It is shorter if the time
	// that is left demands it.
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
	// VersionBound is the time after the naming of a version within which endpoints must have it,
	// 0 if there is none.
	VersionBound time.Duration
	orders       orderHistory
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
	ordered           underwayOrder // the order that was decided last
	answered          bool          // the endpoint has answered the last order, or is carrying it out
	// uncounted exempts an update from the limits, while the endpoint gets no prompts anyway: it
	// takes nothing out of use, and must not delay the updates of others.
	uncounted bool
	// inService lets the endpoint get prompts until it is known that it carries out the order,
	// because orders are carried out at times that can't be foreseen.
	inService bool
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
	return &Rollout{RetireDelay: minRetireDelay, targets: map[string][]target{}, updates: map[string]*endpointUpdate{}, deferredUntil: map[string]time.Duration{}, orders: newOrderHistory()}
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
	return u.excluded(), true
}

// UpdatesAny reports whether this process is updating an endpoint.
func (r *Rollout) UpdatesAny(now time.Duration) bool {
	for id := range r.updates {
		if _, long := r.Blocked(id, now); long {
			return true
		}
	}
	return false
}

// RecordReport records an endpoint's report. It reports whether the endpoint has all
// target versions.
func (r *Rollout) RecordReport(id string, rep EndpointReport, now time.Duration) bool {
	u := r.updates[id]
	if u == nil {
		return false
	}
	if !r.IsBehind(rep.Models) {
		delete(r.updates, id)
		return true
	}
	u.report, u.hasReport = rep, true
	if rep.Busy {
		u.lastBusy, u.inService = now, false
		r.recordAnswered(id, u, now)
	}
	return false
}

// RecordOrderSent records that an order was sent.
func (r *Rollout) RecordOrderSent(id string, now time.Duration) {
	if u := r.updates[id]; u != nil {
		u.stage, u.stageSince, u.hasReport, u.answered = orderSent, now, false, false
		r.orders.recordSent(id, u.ordered, now)
	}
}

// RecordOrderAnswered records the answer to an order. If the endpoint carries out the order, it gets
// no requests until it has done so, also if it has given way to others meanwhile.
func (r *Rollout) RecordOrderAnswered(id string, accepted bool, now time.Duration) {
	u := r.updates[id]
	if u == nil && accepted {
		u = &endpointUpdate{stage: orderSent, stageSince: now, awaitedSince: now, lastManaged: now}
		r.updates[id] = u
	}
	if u == nil {
		return
	}
	u.inService = u.inService && !accepted
	r.recordAnswered(id, u, now)
}

func (r *Rollout) recordAnswered(id string, u *endpointUpdate, now time.Duration) {
	if u.stage == orderSent {
		u.answered = true
		r.orders.recordOutcome(id, true, now)
	}
}

// RecordOrderUnanswered records that an order got no answer. It may still be carried out, seconds
// later, so the endpoint gives way to others at once.
func (r *Rollout) RecordOrderUnanswered(id string, now time.Duration) {
	if u := r.updates[id]; u != nil && u.stage == orderSent && !u.answered {
		delete(r.updates, id)
		r.orders.recordOutcome(id, false, now)
	}
}

// FleetCounts holds counts of the endpoints of a service.
type FleetCounts struct {
	Total        int
	Behind       int // endpoints that lack a target version and whose weights have not expired
	PeerUpdating int // endpoints that other processes are about to change
	PeerLoading  int // those of PeerUpdating that get no requests at all
}

// NextSteps returns the steps that are due for the managed endpoints. It limits the share
// of a service's endpoints that are updated at a time, and further limits the share
// that gets no requests. An endpoint that does not carry out its order gives way to others.
// Those whose weights have expired are updated beside the others.
func (r *Rollout) NextSteps(managed []ManagedEndpoint, fleets map[string]FleetCounts, now time.Duration) []RolloutStep {
	for _, m := range managed {
		r.orders.observe(m.Endpoint, now)
	}
	r.sortByUrgency(managed)
	changing, loading, paces := map[string]int{}, map[string]int{}, map[string]pace{}
	for service, f := range fleets {
		changing[service], loading[service] = f.PeerUpdating, f.PeerLoading
		paces[service] = r.paceFor(service, f, managed, now)
	}
	r.continueUpdates(managed, changing, loading, now)
	r.forgetOld(now)
	var steps []RolloutStep
	for _, m := range managed {
		service := m.Endpoint.Service
		u, p := r.updates[m.Endpoint.ID], paces[service]
		if u == nil {
			if !r.IsBehind(m.Endpoint.Models) || !r.mayStart(m.Endpoint, now) || !m.Expired && (changing[service] >= p.changing || now < r.lastStart+p.startInterval) {
				continue
			}
			if !m.Expired {
				changing[service]++
				r.lastStart = now
			}
			r.updates[m.Endpoint.ID] = &endpointUpdate{stage: emptying, stageSince: now, lastManaged: now, uncounted: m.Expired}
			continue
		}
		if u.stage == emptying {
			late := r.orders.unanswered()
			if !late && !u.uncounted && loading[service] >= p.loading || !u.emptied(m, late, r.emptyingTime(m.Endpoint, now), now) {
				continue
			}
			u.stage, u.stageSince, u.awaitedSince, u.inService = awaitingReport, now, now, late
			loading[service] += boolInt(u.excluded() && !u.uncounted)
		}
		if s, ok := u.nextStep(r, m, now); ok {
			steps = append(steps, s)
		}
	}
	return steps
}

// sortByUrgency sorts endpoints by how long they have been behind. Those with an order for their
// target underway come last.
func (r *Rollout) sortByUrgency(managed []ManagedEndpoint) {
	underway, since := map[string]int{}, map[string]time.Duration{}
	for _, m := range managed {
		underway[m.Endpoint.ID], since[m.Endpoint.ID] = boolInt(r.orderUnderway(m.Endpoint)), r.behindSince(m.Endpoint)
	}
	slices.SortFunc(managed, func(a, b ManagedEndpoint) int {
		i, j := a.Endpoint.ID, b.Endpoint.ID
		return cmp.Or(
			cmp.Compare(underway[i], underway[j]), cmp.Compare(since[i], since[j]), cmp.Compare(r.orders.underway[i].lastSent, r.orders.underway[j].lastSent),
			cmp.Compare(r.deferredUntil[i], r.deferredUntil[j]), cmp.Compare(a.LongRunning, b.LongRunning), cmp.Compare(i, j),
		)
	})
}

// continueUpdates counts the updates of the managed endpoints, and ends those that give way to
// others.
func (r *Rollout) continueUpdates(managed []ManagedEndpoint, changing, loading map[string]int, now time.Duration) {
	for _, m := range managed {
		u := r.updates[m.Endpoint.ID]
		if u == nil {
			continue
		}
		u.lastManaged, u.uncounted = now, m.Expired
		switch {
		case u.stage == orderSent && !u.answered && now >= u.stageSince+answerWait:
			delete(r.updates, m.Endpoint.ID)
			r.orders.recordOutcome(m.Endpoint.ID, false, now)
		case m.Expired:
		case u.stalled(now):
			delete(r.updates, m.Endpoint.ID)
			r.deferredUntil[m.Endpoint.ID] = now + deferralPeriod
		default:
			changing[m.Endpoint.Service]++
			loading[m.Endpoint.Service] += boolInt(u.excluded())
		}
	}
}

// forgetOld removes the state of endpoints that are no longer managed.
func (r *Rollout) forgetOld(now time.Duration) {
	r.orders.forgetOld(now)
	for id, until := range r.deferredUntil {
		if now >= until+stateRetention {
			delete(r.deferredUntil, id)
		}
	}
	for id, u := range r.updates {
		if now >= u.lastManaged+stateRetention {
			delete(r.updates, id)
		}
	}
}

// excluded reports whether the endpoint gets no requests.
func (u *endpointUpdate) excluded() bool { return u.stage != emptying && !u.inService }

// stalled reports whether an endpoint has not carried out its order for so long that
// it should give way to others. Its orders remain conditional, so a delayed one does
// no harm.
func (u *endpointUpdate) stalled(now time.Duration) bool {
	return u.stage != emptying && now >= max(u.awaitedSince, u.lastBusy)+stallTimeout
}

// emptied reports whether an endpoint that gets no long prompts may be updated now. An endpoint
// with expired weights gets no prompts anyway, and one that carries out its orders late is not
// empty when it does.
func (u *endpointUpdate) emptied(m ManagedEndpoint, late bool, limit, now time.Duration) bool {
	return now >= u.stageSince+propagationDelay && (m.LongRunning == 0 || late || m.Expired || now >= u.stageSince+limit)
}

// nextStep returns the step that is due for the endpoint, if any: an order if the last
// report allows one, otherwise a request for a new report.
func (u *endpointUpdate) nextStep(r *Rollout, m ManagedEndpoint, now time.Duration) (RolloutStep, bool) {
	mayOrder := m.HandoverDone || u.report.OrderSeq == m.OrderSeq
	if u.hasReport && !mayOrder {
		delete(r.updates, m.Endpoint.ID) // it need not be out of use until the handover is done
		r.deferredUntil[m.Endpoint.ID] = now + handoverCheckDelay
		return RolloutStep{}, false
	}
	if u.hasReport && !u.report.Busy && mayOrder && (u.stage == awaitingReport || now >= u.stageSince+orderRetryDelay) {
		if model, version, ok := r.pendingTarget(u.report.Models); ok {
			u.hasReport = false
			u.ordered = underwayOrder{model: model, held: versionOf(u.report.Models, model), version: version}
			return RolloutStep{Endpoint: m.Endpoint, IsOrder: true, Model: model, Version: version, OrderSeq: u.report.OrderSeq}, true
		}
	}
	if now >= u.lastReportRequest+reportInterval {
		u.lastReportRequest = now
		return RolloutStep{Endpoint: m.Endpoint}, true
	}
	return RolloutStep{}, false
}
