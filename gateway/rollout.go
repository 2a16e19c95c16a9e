package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// Timing of the group of entries, which divides the endpoints among its members. Each
// endpoint gets load orders only from the member that owns it.
const (
	groupName        = "galenaweir-entries"
	joinInterval     = 300 * time.Millisecond
	memberLease      = time.Second            // expires at the log unless renewed
	orderLease       = 700 * time.Millisecond // a member that could not renew for this long sends no orders
	joinTimeout      = 600 * time.Millisecond
	rolloutInterval  = 50 * time.Millisecond
	orderTimeout     = 800 * time.Millisecond
	orderTransitTime = 200 * time.Millisecond // from the decision to the arrival of the order
	peerStallTimeout = 2 * time.Second        // a peer's update of an endpoint whose weights have expired counts towards the limits for this long
)

// maintainMembership maintains this process's membership in the group of entries until ctx is done.
func (g *Gateway) maintainMembership(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := g.clock()
		name, decided := g.joinName(sentAt)
		if !decided {
			if !g.decideRole(ctx) {
				wait.For(ctx, joinInterval)
			}
			continue
		}
		m, err := g.join(ctx, name)
		if err == nil && g.recordJoin(m, sentAt) && g.learnMembers(ctx, m) {
			continue // the next join confirms that the list is current
		}
		wait.For(ctx, joinInterval)
	}
}

// joinName returns the name under which to join, and false if the members must be read first.
func (g *Gateway) joinName(now time.Duration) (string, bool) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	updating := func() bool {
		return slices.ContainsFunc(s.listedEndpoints(now), func(e forward.Endpoint) bool {
			return s.rollout.IsBehind(s.endpointState(e.ID).withObservedVersions(e.Models))
		})
	}
	return g.ownership.JoinName(updating, now)
}

// decideRole reads the members and decides whether to join as a standby.
func (g *Gateway) decideRole(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	list, err := g.groupClient.Members(ctx, groupName)
	if err == nil && g.observeEra("group", list.Era) == forward.EraStale {
		err = errStaleAnswer
	}
	if err != nil {
		log.Warn().Str("event", "members_unread").Err(err).Msg("cannot read the group members before joining; retrying")
		return false
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.ownership.DecideRole(list.Members, g.clock())
	log.Info().Str("event", "member_role").Str("name", g.ownership.ListedName()).Msg("joining the group of entries under this name")
	return true
}

func (g *Gateway) join(ctx context.Context, name string) (forward.Generation, error) {
	g.state.mu.Lock()
	generation := g.ownership.Generation()
	g.state.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return g.groupClient.Join(ctx, groupName, name, generation.Number, memberLease)
}

// recordJoin records the result of a join that was sent at the given time. It reports whether
// the members of a new generation have to be read.
func (g *Gateway) recordJoin(m forward.Generation, sentAt time.Duration) bool {
	if g.observeEra("group", m.Era) == forward.EraStale {
		return false
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.ownership.RecordJoin(m, sentAt) {
		s.peerLoads.members = g.ownership.Members()
		g.offerIfRead(m)
		g.updateLimitGroup()
		log.Info().Str("event", "members").Int64("era", int64(m.Era)).Int64("generation", m.Number).Int("count", len(s.peerLoads.members)).Msg("group of entries changed")
	}
	if listed, generation, provedAt, ok := g.ownership.ConfirmedMembers(); ok {
		s.warmUpGroup.RecordMembers(g.memberID, listed, generation, provedAt, memberLease, s.clock())
	}
	return !g.ownership.KnowsMembers(m)
}

// learnMembers learns the members of a new generation from a peer or from the log. It reports whether
// they are known now.
func (g *Gateway) learnMembers(ctx context.Context, generation forward.Generation) bool {
	known, read := g.adoptMembers(generation)
	return known || read && g.readMembers(ctx, generation)
}

// offerIfRead tells the peers the list that was just confirmed, if this process has read it from the
// log. The caller holds the state's mutex.
func (g *Gateway) offerIfRead(generation forward.Generation) {
	if l := g.readList; g.state.settings.SharedMemberLists && l.Generation == generation && len(l.Members) > 0 {
		go g.offerMembers(l)
	}
	g.readList = forward.OfferedList{}
}

func (g *Gateway) readMembers(ctx context.Context, generation forward.Generation) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	list, err := g.groupClient.Members(ctx, groupName)
	if err == nil && list.Era != generation.Era {
		err = errStaleAnswer
	}
	if err != nil {
		log.Warn().Str("event", "members_unread").Err(err).Msg("cannot read the group members; retrying after the next join")
		return false
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.ownership.RecordMembers(generation, list.Members)
	g.state.memberReads.Settled()
	g.readList = forward.OfferedList{Generation: generation, Members: list.Members}
	return true
}

// runRollouts rolls out named weight versions to the endpoints that this process owns, until ctx
// is done.
func (g *Gateway) runRollouts(ctx context.Context) {
	updated := false
	for wait.For(ctx, rolloutInterval) {
		g.withdrawPrompts()
		s := g.state
		s.mu.Lock()
		now := s.clock()
		s.recordActivity(now)
		var steps []forward.RolloutStep
		if !g.draining.Load() {
			managed, fleets := g.managedEndpoints(now)
			steps = s.rollout.NextSteps(managed, fleets, now)
		}
		updates := s.rollout.UpdatesAny(now)
		s.mu.Unlock()
		if updates != updated { // the next regular report may be later than what it has to tell is valid for
			g.requestReport()
		}
		updated = updates
		for _, st := range steps {
			go g.runStep(ctx, st)
		}
	}
}

// managedEndpoints returns the endpoints that this process may send orders to, and the endpoint
// counts of each service. Until a handover is done, an endpoint is left out if a peer reported
// within the handover pause that it is loading weights or being emptied.
func (g *Gateway) managedEndpoints(now time.Duration) ([]forward.ManagedEndpoint, map[string]forward.FleetCounts) {
	s := g.state
	var out []forward.ManagedEndpoint
	fleets := map[string]forward.FleetCounts{}
	for _, e := range s.listedEndpoints(now) {
		e.Models = s.endpointState(e.ID).withObservedVersions(e.Models)
		f := fleets[e.Service]
		f.Total++
		st, expired := s.endpointState(e.ID), s.weightsExpired(e.Models, now)
		f.Behind += boolInt(!expired && s.rollout.IsBehind(e.Models))
		stalled := expired && now >= st.loadingSince+peerStallTimeout
		if loading := now < st.loadingUntil; (loading || now < st.emptyingUntil) && !stalled {
			f.PeerUpdating++
			f.PeerLoading += boolInt(loading)
		}
		fleets[e.Service] = f
		if len(e.Models) == 0 || !g.ownership.IsSoleOwner(e.ID, now) {
			continue
		}
		m := forward.ManagedEndpoint{
			Endpoint: e, LongRunning: st.load.LongRunning + s.peerLoads.load(e.ID).LongRunning, HandoverDone: g.ownership.Owns(e.ID, now), OrderSeq: st.orderCount, Expired: expired,
		}
		if !m.HandoverDone {
			if at, heard := s.peerUpdates.Last(st.hash); heard && now < at+g.peerUpdatePause() {
				continue
			}
		}
		out = append(out, m)
	}
	return out, fleets
}

// peerUpdatePause returns how long after a peer's last report that it updates an endpoint the peer may
// have sent an order to it within the handover pause. The caller holds the state's mutex.
func (g *Gateway) peerUpdatePause() time.Duration {
	return g.ownership.Handover + g.state.peerLoads.interval()
}

// recordPeerUpdate records a peer's report that it is loading weights on an endpoint or emptying it,
// also of an endpoint that the list lacks. It returns the state of a listed one, nil otherwise.
func (g *Gateway) recordPeerUpdate(endpoint uint32, member string, now time.Duration) *endpointState {
	s := g.state
	pause := g.peerUpdatePause()
	last, heard := s.peerUpdates.Last(endpoint)
	s.peerUpdates.Record(endpoint, pause, now)
	id, listed := s.endpointsByHash[endpoint]
	if !heard || now >= last+pause {
		log.Info().Str("event", "peer_updates_endpoint").Str("peer", member).Str("endpoint", id).Uint32("endpoint_hash", endpoint).Bool("listed", listed).Msg("a peer loads weights on the endpoint or empties it for that")
	}
	if !listed {
		return nil
	}
	return s.endpointState(id)
}

// runStep sends a load order, or reads an endpoint's state to see whether its weights are loaded.
func (g *Gateway) runStep(ctx context.Context, st forward.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if st.IsOrder {
		g.sendOrder(ctx, st)
		return
	}
	if !g.mayReadState(st.Endpoint.ID) {
		return
	}
	started := g.clock()
	rep, info, err := g.endpointControl.ReadState(ctx, st.Endpoint)
	g.observeControl(st.Endpoint, info, started)
	if err != nil {
		log.Warn().Str("event", "report_unread").Str("endpoint", st.Endpoint.ID).Err(err).Msg("cannot read the endpoint's state; retrying")
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportClock.ObserveReport(rep, started, s.clock())
	for _, m := range rep.Models {
		s.observeVersion(st.Endpoint.ID, m.Name, m.Version)
	}
	if s.rollout.RecordReport(st.Endpoint.ID, rep, s.clock()) {
		for _, m := range rep.Models {
			s.peerLoads.recordLoaded(st.Endpoint.ID, m.Name, m.Version, rep.OrderSeq, s.clock())
		}
		s.endpointState(st.Endpoint.ID).orderCount = rep.OrderSeq
		log.Info().Str("event", "weights_loaded").Str("endpoint", st.Endpoint.ID).Msg("endpoint has loaded the named weights")
	}
}

// sendOrder sends a load order if this process still owns the endpoint.
func (g *Gateway) sendOrder(ctx context.Context, st forward.RolloutStep) {
	s := g.state
	s.mu.Lock()
	owned, fencingToken := g.ownership.IsSoleOwner(st.Endpoint.ID, s.clock()), g.ownership.FencingToken()
	handoverDone := g.ownership.Owns(st.Endpoint.ID, s.clock())
	peerUpdate, heard := s.peerUpdates.Last(endpointHash(st.Endpoint.ID))
	if owned {
		s.rollout.RecordOrderSent(st.Endpoint.ID, s.clock())
		s.countOrder(st.Endpoint.ID, s.clock())
	}
	s.mu.Unlock()
	if !owned {
		return
	}
	started := g.clock()
	status, info, err := g.endpointControl.SendLoadOrder(ctx, LoadOrder{
		Endpoint: st.Endpoint, Model: st.Model, Version: st.Version, Owner: g.settings.ID, FencingToken: fencingToken, ExpectedOrderCount: st.OrderSeq,
	})
	g.observeControl(st.Endpoint, info, started)
	s.mu.Lock()
	if err != nil {
		s.rollout.RecordOrderUnanswered(st.Endpoint.ID, s.clock())
	} else {
		s.rollout.RecordOrderAnswered(st.Endpoint.ID, status == http.StatusAccepted, s.clock())
	}
	s.mu.Unlock()
	e := log.Info()
	if err != nil || status >= http.StatusBadRequest {
		e = log.Warn()
	}
	if heard {
		e.Dur("peer_update_ms", started-peerUpdate)
	}
	e.Str("event", "weights_ordered").Str("endpoint", st.Endpoint.ID).Str("model", st.Model).Int64("version", st.Version).
		Int64("fence", fencingToken).Bool("handover_done", handoverDone).Int64("orders_before", st.OrderSeq).Int("status", status).Err(err).Msg("load order for a weight version")
}
