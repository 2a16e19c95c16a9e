package forward

import "maps"

// CostShare is a named part of the cost of a candidate.
type CostShare struct {
	Name string  `json:"name"`
	Ms   float64 `json:"ms"`
}

// CostShares returns the parts of the cost that Choose computed for a candidate. A part that is not
// known here is in "other", so that the sum is always the cost.
func (t *PlacementRequest) CostShares(c *Candidate, ch *Choice, cost float64) []CostShare {
	var out []CostShare
	rest := cost
	add := func(name string, ms float64, applies bool) {
		if applies && ms != 0 {
			out = append(out, CostShare{name, ms})
			rest -= ms
		}
	}
	add("other failure domain", crossDomainMs, c.Endpoint.FailureDomain != t.FailureDomain)
	add("warming up", coldPenaltyMs, c.Endpoint.WarmUpRemaining > 0)
	if t.Prompt != nil && t.Engine != nil {
		prefill := float64(ch.Load.PrefillTokens)
		add("queue", t.queueMs(c.Load, ch.Load), true)
		add("fetch", ch.FetchMs, true)
		add("prefill", prefill/prefillTokensPerMs, true)
		add("evicted cache", evictionCostShare*(prefill+float64(ch.FetchedTokens))/prefillTokensPerMs, true)
		add("shared parts prefilled again", recomputeCostShare*float64(ch.RecomputedTokens)/prefillTokensPerMs, true)
		add("order of preference", t.spreadMs(c.Endpoint.ID), true)
	} else {
		slots := float64(max(c.Endpoint.Slots, 1))
		add("active requests", plainRequestMs*float64(c.Load.Active)/slots, true)
		add("queue", max(0, float64(c.Load.Active)-slots+1)*plainRequestMs, true)
	}
	add("suspect", suspectPenaltyMs, !c.Usable)
	add("about to load weights", suspectPenaltyMs, c.AvoidLongRunning && t.Prompt != nil && t.Prompt.LongRunning())
	add("older weights", outdatedPenaltyMs, c.Outdated)
	const roundingMs = 1e-6
	add("other", rest, rest > roundingMs || rest < -roundingMs)
	return out
}

// MaxWait returns the expected wait in ms above which a prompt is refused if other requests cause a
// part of it; see ShouldShed.
func MaxWait(r *Route) float64 { return maxWaitShare * r.LatencyTarget.Seconds() * 1000 }

// KeepTransfers returns a function that takes back the transfers which are recorded after the call.
func KeepTransfers(stores []*StoreView) (restore func()) {
	kept := make([]StoreView, len(stores))
	for i, v := range stores {
		kept[i].busyUntil = v.busyUntil
	}
	return func() {
		for i, v := range stores {
			v.busyUntil = kept[i].busyUntil
		}
	}
}

// KeepUse returns a function that takes back the uses of parts which are recorded after the call,
// and what is derived then from the evidence.
func (h *PartHolds) KeepUse(keys []uint64) (restore func()) {
	explained, doubts, kept := h.explained, maps.Clone(h.doubts), map[*suspectState]SuspectPart{}
	for _, k := range keys {
		if s := h.parts[k]; s != nil {
			kept[s] = s.SuspectPart
		}
	}
	return func() {
		h.explained, h.doubts = explained, doubts
		for s, p := range kept {
			s.LastUse = p.LastUse
		}
	}
}

// KeepService returns a function that takes back what is recorded for a service after the call.
func (s *Shedder) KeepService(name string) (restore func()) {
	d := s.services[name]
	if d == nil {
		return func() { delete(s.services, name) }
	}
	kept := *d
	return func() { *d = kept }
}

// KeepService returns a function that forgets a service which becomes known after the call.
func (b *StreamBuilds) KeepService(name string) (restore func()) {
	if _, known := b.services[name]; known {
		return func() {}
	}
	return func() { delete(b.services, name) }
}

// Clone returns a copy that shares nothing.
func (q *LimitQueue) Clone() *LimitQueue {
	return &LimitQueue{refusedAt: maps.Clone(q.refusedAt), nextAt: q.nextAt}
}
