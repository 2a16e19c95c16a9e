package forward

import (
	"math"
	"slices"
	"time"
)

// Durations of the pace of a rollout.
const (
	// answerWait is how long an order without an answer holds the place of others. An order that
	// is carried out at once is answered within a round trip, and a report shows it too.
	answerWait = 400 * time.Millisecond

	// recentPeriod is how long a measurement says how orders are carried out lately.
	recentPeriod = 30 * time.Second

	// nominalOrderTime is assumed for an order until one has been measured.
	nominalOrderTime = 1500 * time.Millisecond

	maxOrderTimes = 12 // measured times to keep

	// repeatDelay is the time after which an order without an answer or effect is repeated, and
	// urgentRepeatDelay is the same if the time that is left is shorter than orders take.
	repeatDelay       = 2 * time.Second
	urgentRepeatDelay = time.Second

	// handoverCheckDelay is the time until an endpoint is looked at again that may still carry out
	// an order of its previous owner.
	handoverCheckDelay = 500 * time.Millisecond
)

// underwayOrder is an order that was sent to an endpoint and has had no effect yet.
type underwayOrder struct {
	model               string
	held, version       int64         // the endpoint's version when it was sent, and the ordered one
	firstSent, lastSent time.Duration // if the same order was sent several times
}

// orderOutcome tells whether the last order to an endpoint was answered.
type orderOutcome struct {
	at       time.Duration
	answered bool
}

// orderTime is the time that an endpoint took to carry out an order.
type orderTime struct {
	at, took time.Duration
}

// orderHistory is what a process has seen of its orders lately.
type orderHistory struct {
	underway map[string]underwayOrder // by endpoint
	outcomes map[string]orderOutcome  // newest of each endpoint, so that one that is silent doesn't stand for all
	times    []orderTime
}

func newOrderHistory() orderHistory {
	return orderHistory{underway: map[string]underwayOrder{}, outcomes: map[string]orderOutcome{}}
}

// recordSent records that an order was sent.
func (h *orderHistory) recordSent(id string, o underwayOrder, now time.Duration) {
	o.firstSent, o.lastSent = now, now
	if last, ok := h.underway[id]; ok && last.model == o.model && last.held == o.held && last.version == o.version {
		o.firstSent = last.firstSent
	}
	h.underway[id] = o
}

func (h *orderHistory) recordOutcome(id string, answered bool, now time.Duration) {
	h.outcomes[id] = orderOutcome{now, answered}
}

// observe compares the endpoint's versions with the order that is underway. An order that can
// have no effect any more is forgotten: after another one has been carried out, its condition
// doesn't hold.
func (h *orderHistory) observe(e Endpoint, now time.Duration) {
	o, ok := h.underway[e.ID]
	if !ok {
		return
	}
	for _, m := range e.Models {
		if m.Name != o.model || m.Version == o.held {
			continue
		}
		if m.Version == o.version {
			h.times = append(h.times, orderTime{now, now - o.firstSent})
			h.times = h.times[max(0, len(h.times)-maxOrderTimes):]
		}
		delete(h.underway, e.ID)
	}
}

// forgetOld removes what is older than recentPeriod.
func (h *orderHistory) forgetOld(now time.Duration) {
	h.times = slices.DeleteFunc(h.times, func(t orderTime) bool { return now >= t.at+recentPeriod })
	for id, o := range h.outcomes {
		if now >= o.at+recentPeriod {
			delete(h.outcomes, id)
		}
	}
	for id, o := range h.underway {
		if now >= o.lastSent+recentPeriod {
			delete(h.underway, id)
		}
	}
}

// unanswered reports whether most endpoints have left their last order unanswered. Such orders are
// carried out at a time that can't be foreseen, so it is of no use to empty the endpoints first.
func (h *orderHistory) unanswered() bool {
	n := 0
	for _, o := range h.outcomes {
		n += boolInt(!o.answered)
	}
	return n >= 2 && 2*n > len(h.outcomes)
}

// expectedTime returns the time that three of four orders take lately, where orders underway
// count with the time they have taken so far.
func (h *orderHistory) expectedTime(now time.Duration) time.Duration {
	var times []time.Duration
	for _, t := range h.times {
		times = append(times, t.took)
	}
	for _, o := range h.underway {
		if age := now - o.firstSent; age > nominalOrderTime {
			times = append(times, age)
		}
	}
	if len(times) == 0 {
		return nominalOrderTime
	}
	slices.Sort(times)
	return times[len(times)*3/4]
}

// pace is how fast the endpoints of a service must be updated for all to have their target
// versions in time.
type pace struct {
	changing, loading int           // limits of the endpoints that are changed, and that get no requests, at a time
	startInterval     time.Duration // between the starts of two updates in this process
}

// timeLeft returns the time until an endpoint's weights expire.
func (r *Rollout) timeLeft(e Endpoint, now time.Duration) time.Duration {
	if r.VersionBound == 0 {
		return math.MaxInt64
	}
	return r.behindSince(e) + r.VersionBound - now
}

// behindSince returns when the first version was named that one of the endpoint's models lacks.
func (r *Rollout) behindSince(e Endpoint) time.Duration {
	first := time.Duration(math.MaxInt64 / 2)
	for _, m := range e.Models {
		if since, behind := r.RetiredSince(m.Name, m.Version); behind {
			first = min(first, since)
		}
	}
	return first
}

// paceFor returns the pace for a service. The time within which the remaining orders must be sent
// is the time that is left less the time that orders take. Within the usual limits the rollout
// takes as few endpoints out of use as it can; beyond them it takes as many as that time demands,
// up to maxChangingShare.
func (r *Rollout) paceFor(service string, f FleetCounts, managed []ManagedEndpoint, now time.Duration) pace {
	expected := r.orders.expectedTime(now)
	window, own := time.Duration(math.MaxInt64), 0
	for _, m := range managed {
		if m.Endpoint.Service != service || m.Expired {
			continue
		}
		if r.IsBehind(m.Endpoint.Models) {
			own++
			window = min(window, r.timeLeft(m.Endpoint, now)-expected)
		}
	}
	half := max(1, int(maxChangingShare*float64(f.Total)))
	p := pace{changing: half, loading: max(1, int(maxLoadingShare*float64(f.Total))), startInterval: startInterval}
	if own == 0 {
		return p
	}
	p.startInterval = min(startInterval, max(window, 0)/time.Duration(own))
	held := min(expected, stallTimeout) // time for which an order holds a place
	needed := math.Ceil(float64(f.Behind) * float64(held) / float64(max(window, held)))
	p.loading = max(p.loading, min(half, int(needed)))
	return p
}

// repeatAfter returns the time after which an order without effect is repeated.
func (r *Rollout) repeatAfter(e Endpoint, now time.Duration) time.Duration {
	if r.timeLeft(e, now) < r.orders.expectedTime(now) {
		return urgentRepeatDelay
	}
	return repeatDelay
}

// mayStart reports whether the update of an endpoint may start: not while an order for its target
// is underway that may still have an effect, nor while it gives way to others.
func (r *Rollout) mayStart(e Endpoint, now time.Duration) bool {
	if now < r.deferredUntil[e.ID] {
		return false
	}
	return !r.orderUnderway(e) || now >= r.orders.underway[e.ID].lastSent+r.repeatAfter(e, now)
}

// orderUnderway reports whether an order for the endpoint's newest target is underway.
func (r *Rollout) orderUnderway(e Endpoint) bool {
	o, ok := r.orders.underway[e.ID]
	if !ok {
		return false
	}
	model, version, behind := r.pendingTarget(e.Models)
	return behind && o.model == model && o.version == version
}

// emptyingTime returns how long an endpoint may be emptied: as long as its order is still in time.
func (r *Rollout) emptyingTime(e Endpoint, now time.Duration) time.Duration {
	return min(emptyingLimit, max(r.timeLeft(e, now)-r.orders.expectedTime(now), propagationDelay))
}

// versionOf returns the version of a model, 0 if it is not among the models.
func versionOf(models []ModelState, name string) int64 {
	for _, m := range models {
		if m.Name == name {
			return m.Version
		}
	}
	return 0
}
