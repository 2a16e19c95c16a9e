package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Guards against using outdated weights for too long because a newer target version
// extended the deadline of an earlier one.
func TestEachTargetKeepsItsOwnDeadline(t *testing.T) {
	r := NewRollout()
	old := []ModelState{{"m", 1}}
	require.True(t, r.AddTarget(WeightVersion{"m", 2}, 10*time.Second, 10*time.Second))
	require.True(t, r.AddTarget(WeightVersion{"m", 3}, 19*time.Second, 19*time.Second))
	since, behind := r.OutdatedSince(old, "m")
	require.True(t, behind)
	require.Equal(t, 10*time.Second, since)
	since, behind = r.OutdatedSince([]ModelState{{"m", 2}}, "m")
	require.True(t, behind)
	require.Equal(t, 19*time.Second, since)
	require.False(t, r.AddTarget(WeightVersion{"m", 2}, 20*time.Second, 20*time.Second), "an older version must not replace a newer one")
}

func newFleet(n int, version int64) []Endpoint {
	var es []Endpoint
	for i := range n {
		es = append(es, Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "s", Models: []ModelState{{"m", version}}})
	}
	return es
}

// Guards against a rollout that takes most of a service's endpoints out of use, never
// completes, or repeats an order that was carried out late.
func TestRolloutOfAFleet(t *testing.T) {
	const n = 12
	es := newFleet(n, 1)
	r := NewRollout()
	r.AddTarget(WeightVersion{"m", 2}, 0, 0)
	seq, loadEnd := map[string]int64{}, map[string]time.Duration{}
	dropOrder := map[string]bool{"e03": true} // the first order is lost
	var now time.Duration
	for ; now < 15*time.Second; now += 50 * time.Millisecond {
		loading := 0
		for i := range es {
			e := &es[i]
			if u, ok := loadEnd[e.ID]; ok && now >= u {
				e.Models[0].Version = 2
			}
			if _, long := r.Blocked(e.ID, now); long {
				loading++
			}
		}
		require.LessOrEqual(t, loading, n/2, "at %v", now)
		var managed []ManagedEndpoint
		for _, e := range es {
			managed = append(managed, ManagedEndpoint{Endpoint: e, HandoverDone: true})
		}
		for _, s := range r.NextSteps(managed, map[string]FleetCounts{"s": {Total: n}}, now) {
			id := s.Endpoint.ID
			if !s.IsOrder {
				_, busy := loadEnd[id]
				r.RecordReport(id, EndpointReport{Models: s.Endpoint.Models, Busy: busy && now < loadEnd[id], OrderSeq: seq[id]}, now)
				continue
			}
			require.Equal(t, seq[id], s.OrderSeq)
			r.RecordOrderSent(id, now)
			if dropOrder[id] {
				delete(dropOrder, id)
				continue
			}
			seq[id]++
			loadEnd[id] = now + 2*time.Second
		}
	}
	for _, e := range es {
		require.EqualValues(t, 2, e.Models[0].Version, e.ID)
		require.EqualValues(t, 1, seq[e.ID], e.ID)
	}
}

// Guards against two processes that send orders to an endpoint within the handover
// pause while members leave the group and rejoin: one that has lost its lease without
// noticing, and its successor.
func TestNextOwnerWaitsForTheHandoverPause(t *testing.T) {
	const handover, lease = 3 * time.Second, 700 * time.Millisecond
	const step = 50 * time.Millisecond
	names := []string{"a", "b", "c", "d", "e"}
	cutOff := map[string][2]time.Duration{"b": {10 * time.Second, 16 * time.Second}, "d": {13 * time.Second, 15 * time.Second}}
	owners := map[string]*Ownership{}
	for _, n := range names {
		owners[n] = &Ownership{Self: n, Lease: lease, Handover: handover}
	}
	generation, members := Generation{Number: 1}, names
	lastOrder, lastOwner, lastFence := map[string]time.Duration{}, map[string]string{}, map[string]int64{}
	orders := 0
	for now := time.Duration(0); now < 40*time.Second; now += step {
		var alive []string
		for _, n := range names { // the log removes a member one second after its last join
			if c, ok := cutOff[n]; !ok || now < c[0]+time.Second || now >= c[1] {
				alive = append(alive, n)
			}
		}
		if len(alive) != len(members) {
			generation.Number, members = generation.Number+1, alive
		}
		for i, n := range names {
			c, isCut := cutOff[n]
			isOut := isCut && now >= c[0] && now < c[1]
			if !isOut && now%(5*step) == time.Duration(i)*step {
				o := owners[n]
				o.RecordJoin(generation, now)
				if !o.KnowsMembers(generation) {
					o.RecordMembers(generation, members)
				}
			}
			for e := range 12 {
				id := fmt.Sprint("endpoint", e)
				if !owners[n].Owns(id, now) {
					continue
				}
				orders++
				if previous, ok := lastOwner[id]; ok && previous != n {
					require.GreaterOrEqual(t, now-lastOrder[id], handover, "%s sent an order after %s to %s at %v", n, previous, id, now)
					require.Greater(t, owners[n].FencingToken(), lastFence[id])
				}
				require.GreaterOrEqual(t, owners[n].FencingToken(), lastFence[id])
				lastOrder[id], lastOwner[id], lastFence[id] = now, n, owners[n].FencingToken()
			}
		}
	}
	require.Greater(t, orders, 1000)
	for e := range 12 {
		require.Greater(t, lastOrder[fmt.Sprint("endpoint", e)], 39*time.Second, "every endpoint must have an owner at the end")
	}
}

// Guards against an order within the handover pause by a process that has just joined
// and does not know the previous owner's orders. The forwarding soak reproduces it
// with seed 2027.
func TestNewMemberWaitsForTheWholeHandoverPause(t *testing.T) {
	const handover, lease = 3200 * time.Millisecond, 700 * time.Millisecond
	firstSoleOwnership := func(o *Ownership, from, until time.Duration, generation int64, members []string, id string) (alone time.Duration) {
		alone = -1
		g := Generation{Number: generation}
		for now := from; now < until; now += 50 * time.Millisecond {
			o.RecordJoin(g, now)
			if !o.KnowsMembers(g) {
				o.RecordMembers(g, members)
			}
			if alone < 0 && o.IsSoleOwner(id, now) {
				alone = now
			}
		}
		return alone
	}
	a, b := &Ownership{Self: "a", Lease: lease, Handover: handover}, &Ownership{Self: "b", Lease: lease, Handover: handover}
	id := "" // endpoint that b owns while both are members
	for i := 0; id == ""; i++ {
		if rendezvous.Owner(rendezvous.Key(fmt.Append(nil, i)), []string{"a", "b"}) == "b" {
			id = fmt.Sprint(i)
		}
	}
	require.Positive(t, firstSoleOwnership(a, 0, 10*time.Second, 1, []string{"a"}, id))
	alone := firstSoleOwnership(b, 10*time.Second, 20*time.Second, 2, []string{"a", "b"}, id)
	require.GreaterOrEqual(t, alone, 10*time.Second+lease+handover)
	firstSoleOwnership(a, 10*time.Second, 11*time.Second, 2, []string{"a", "b"}, id) // until a's lease has expired
	require.EqualValues(t, -1, firstSoleOwnership(a, 11*time.Second, 20*time.Second, 2, []string{"a", "b"}, id))
	alone = firstSoleOwnership(a, 20*time.Second, 30*time.Second, 3, []string{"a"}, id)
	require.Less(t, alone, 22*time.Second, "a long-standing member must not wait for the whole handover pause")
}

// Guards against two owners within the handover pause under random schedules. Each
// seed determines when members lose the log, when they are suspended, and how late
// they read the member list.
func TestOwnersDontOverlapUnderRandomFaults(t *testing.T) {
	const handover, lease, ttl, step = 3 * time.Second, 700 * time.Millisecond, time.Second, 50 * time.Millisecond
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, seed))
		names := []string{"a", "b", "c", "d"}
		type member struct {
			o                           *Ownership
			cutOffUntil, suspendedUntil time.Duration
			joined                      time.Duration // last join as recorded by the log
			isMember                    bool
			readAt                      time.Duration
			readGeneration              Generation
		}
		ms := map[string]*member{}
		for _, n := range names {
			ms[n] = &member{o: &Ownership{Self: n, Lease: lease, Handover: handover}}
		}
		generation := Generation{Number: 1}
		lastOrder, lastOwner, lastFence := map[string]time.Duration{}, map[string]string{}, map[string]int64{}
		for now := time.Duration(0); now < 60*time.Second; now += step {
			for _, n := range names {
				m := ms[n]
				if m.isMember && now >= m.joined+ttl {
					m.isMember = false
					generation.Number++
				}
				if rng.IntN(400) == 0 {
					m.cutOffUntil = now + time.Duration(rng.IntN(6000))*time.Millisecond
				}
				if rng.IntN(600) == 0 {
					m.suspendedUntil = now + time.Duration(rng.IntN(5000))*time.Millisecond
				}
			}
			for _, n := range names {
				m := ms[n]
				if now < m.suspendedUntil {
					continue
				}
				if now >= m.cutOffUntil && rng.IntN(5) == 0 {
					if !m.isMember {
						m.isMember = true
						generation.Number++
					}
					m.joined = now
					m.o.RecordJoin(generation, now)
					if !m.o.KnowsMembers(generation) {
						m.readAt, m.readGeneration = now+time.Duration(rng.IntN(8))*step, generation
					}
				}
				if m.readAt != 0 && now >= m.readAt && now >= m.cutOffUntil {
					var members []string
					for _, k := range names {
						if ms[k].isMember {
							members = append(members, k)
						}
					}
					m.o.RecordMembers(m.readGeneration, members)
					m.readAt = 0
				}
				for e := range 6 {
					id := fmt.Sprint("endpoint", e)
					if !m.o.Owns(id, now) {
						continue
					}
					if previous, ok := lastOwner[id]; ok && previous != n {
						require.GreaterOrEqual(t, now-lastOrder[id], handover, "seed %d: %s sent an order after %s to %s at %v", seed, n, previous, id, now)
						require.Greater(t, m.o.FencingToken(), lastFence[id], "seed %d", seed)
					}
					lastOrder[id], lastOwner[id], lastFence[id] = now, n, m.o.FencingToken()
				}
			}
		}
	}
}

// Guards against a rollout that stalls because one endpoint ignores its orders, sends
// no reports, or carries out orders late. The other endpoints must get the version in
// time, and the late one after it carries out its order. The forwarding soak
// reproduces it with seed 100 and --only "ignores orders while".
func TestStalledEndpointDoesNotDelayOthers(t *testing.T) {
	const n, orderDelay, loadTime = 4, 9 * time.Second, 1500 * time.Millisecond
	for _, behavior := range []string{"refuses", "silent", "late"} {
		es := newFleet(n, 1)
		r := NewRollout()
		r.AddTarget(WeightVersion{"m", 2}, 0, 0)
		loadedAt, seq := map[string]time.Duration{}, map[string]int64{}
		loadedAfter := map[string]time.Duration{}
		maxLoading := 0
		for now := time.Duration(0); now < 25*time.Second; now += 50 * time.Millisecond {
			loading := 0
			for i := range es {
				e := &es[i]
				if u, ok := loadedAt[e.ID]; ok && now >= u && e.Models[0].Version == 1 {
					e.Models[0].Version = 2
					loadedAfter[e.ID] = now
				}
				if all, _ := r.Blocked(e.ID, now); all {
					loading++
				}
			}
			maxLoading = max(maxLoading, loading)
			var managed []ManagedEndpoint
			for _, e := range es {
				managed = append(managed, ManagedEndpoint{Endpoint: e, HandoverDone: true})
			}
			for _, s := range r.NextSteps(managed, map[string]FleetCounts{"s": {Total: n}}, now) {
				id := s.Endpoint.ID
				faulty := id == "e00"
				if !s.IsOrder {
					if faulty && behavior == "silent" {
						continue
					}
					busy := loadedAt[id]-loadTime <= now && now < loadedAt[id]
					r.RecordReport(id, EndpointReport{Models: s.Endpoint.Models, Busy: busy, OrderSeq: seq[id]}, now)
					continue
				}
				r.RecordOrderSent(id, now)
				switch {
				case !faulty:
					seq[id]++
					loadedAt[id] = now + loadTime
				case behavior == "late" && loadedAt[id] == 0:
					loadedAt[id] = now + orderDelay + loadTime
				}
			}
		}
		for _, e := range es[1:] {
			require.Positive(t, loadedAfter[e.ID], "%s: %s", behavior, e.ID)
			require.Less(t, loadedAfter[e.ID], 9*time.Second, "%s: %s", behavior, e.ID)
		}
		require.Equal(t, behavior == "late", loadedAfter["e00"] > 0, behavior)
		require.LessOrEqual(t, maxLoading, 1, "%s: too many endpoints loading at once", behavior)
	}
}

// Guards against endpoints that are left on old weights because others, whose orders are lost
// or carried out late, hold the places of the rollout. Load pattern: two of three endpoints
// carry out none of their first orders, so that each place is held by one of them.
func TestStalledUpdatesOfExpiredEndpointsHoldNoPlaces(t *testing.T) {
	const n, loadTime, bound, orderDelay = 12, time.Second, 9 * time.Second, 4 * time.Second
	es := newFleet(n, 1)
	r := NewRollout()
	r.AddTarget(WeightVersion{"m", 2}, 0, 0)
	loadedAt := map[string]time.Duration{}
	for now := time.Duration(0); now < bound+2*orderDelay; now += 50 * time.Millisecond {
		var managed []ManagedEndpoint
		inService := 0
		for i := range es {
			e := &es[i]
			if at, ok := loadedAt[e.ID]; ok && now >= at {
				e.Models[0].Version = 2
			}
			all, _ := r.Blocked(e.ID, now)
			inService += boolInt(!all)
			managed = append(managed, ManagedEndpoint{Endpoint: *e, HandoverDone: true, Expired: now >= bound && e.Models[0].Version == 1})
		}
		if now < bound {
			require.GreaterOrEqual(t, inService, n-n/3, "at %v", now)
		}
		for _, s := range r.NextSteps(managed, map[string]FleetCounts{"s": {Total: n}}, now) {
			id := s.Endpoint.ID
			if !s.IsOrder {
				r.RecordReport(id, EndpointReport{Models: s.Endpoint.Models, Busy: now >= loadedAt[id]-loadTime && now < loadedAt[id]}, now)
				continue
			}
			r.RecordOrderSent(id, now)
			switch {
			case id >= "e08":
				loadedAt[id] = now + loadTime
			case now >= bound && loadedAt[id] == 0:
				loadedAt[id] = now + orderDelay + loadTime
			}
		}
	}
	for _, e := range es {
		require.EqualValues(t, 2, e.Models[0].Version, e.ID)
	}
}

// Guards against orders that get no answer and are repeated at the same endpoints while others wait
// for their first.
func TestOrderWithoutAnswerGivesWayToOthers(t *testing.T) {
	const (
		n            = 18
		orderTimeout = 800 * time.Millisecond
		bound        = 10 * time.Second
	)
	es := newFleet(n, 1)
	r := NewRollout()
	r.AddTarget(WeightVersion{"m", 2}, 0, 0)
	ordered, unanswered := map[string]bool{}, map[string]time.Duration{}
	for now := time.Duration(0); now < bound; now += 50 * time.Millisecond {
		for id, at := range unanswered {
			if now >= at {
				delete(unanswered, id)
				r.RecordOrderUnanswered(id, now)
			}
		}
		var managed []ManagedEndpoint
		for _, e := range es {
			managed = append(managed, ManagedEndpoint{Endpoint: e, HandoverDone: true})
		}
		for _, s := range r.NextSteps(managed, map[string]FleetCounts{"s": {Total: n}}, now) {
			if s.IsOrder {
				r.RecordOrderSent(s.Endpoint.ID, now)
				ordered[s.Endpoint.ID], unanswered[s.Endpoint.ID] = true, now+orderTimeout
			} else {
				r.RecordReport(s.Endpoint.ID, EndpointReport{Models: s.Endpoint.Models}, now)
			}
		}
	}
	require.Len(t, ordered, n, "all are ordered within the bound")
}
