package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// The group of entries, which share the endpoints that get orders.
const (
	groupName    = "galenaweir-entries"
	joinPause    = 300 * time.Millisecond
	memberLease  = time.Second            // kept by the log
	orderLease   = 700 * time.Millisecond // a holder that could not renew for so long gives no orders
	joinTimeout  = 600 * time.Millisecond
	rolloutPause = 50 * time.Millisecond
	orderTimeout = 800 * time.Millisecond
	orderTransit = 200 * time.Millisecond // from the decision to the order's arrival
)

// group keeps this process in the group of entries until ctx ends.
func (g *Gateway) group(ctx context.Context) {
	for ctx.Err() == nil {
		sent := g.clock()
		m, err := g.join(ctx)
		if err == nil && g.joined(m, sent) && g.readMembers(ctx, m.Generation) {
			continue // the next join confirms the list
		}
		wait.For(ctx, joinPause)
	}
}

func (g *Gateway) join(ctx context.Context) (Membership, error) {
	g.state.mu.Lock()
	generation := g.ownership.Generation()
	g.state.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return g.groups.Join(ctx, groupName, g.member, generation, memberLease)
}

// joined returns true when the members of the new generation are to be read.
func (g *Gateway) joined(m Membership, sent time.Duration) bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.ownership.RecordJoin(m.Generation, sent) {
		s.peers.members = g.ownership.Members()
		log.Info().Str("event", "members").Int64("generation", m.Generation).Int("count", len(s.peers.members)).Msg("entries of this deployment")
	}
	return !g.ownership.KnowsMembers(m.Generation)
}

func (g *Gateway) readMembers(ctx context.Context, generation int64) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	members, err := g.groups.Members(ctx, groupName)
	if err != nil {
		log.Warn().Str("event", "members_unread").Err(err).Msg("read again after the next join")
		return false
	}
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.ownership.RecordMembers(generation, members)
	return true
}

// roll brings named weight versions to the endpoints that this process owns.
func (g *Gateway) roll(ctx context.Context) {
	for wait.For(ctx, rolloutPause) {
		s := g.state
		s.mu.Lock()
		now := s.clock()
		s.step(now)
		var steps []forward.RolloutStep
		if !g.draining.Load() {
			managed, fleets := g.managed(now)
			steps = s.rollout.NextSteps(managed, fleets, now)
		}
		s.mu.Unlock()
		for _, st := range steps {
			go g.step(ctx, st)
		}
	}
}

// managed returns the endpoints that this process gives orders to, and counts those
// of each service.
func (g *Gateway) managed(now time.Duration) ([]forward.ManagedEndpoint, map[string]forward.FleetCounts) {
	s := g.state
	var out []forward.ManagedEndpoint
	fleets := map[string]forward.FleetCounts{}
	for _, e := range s.usableEndpoints(now) {
		e.Models = s.endpoint(e.ID).newest(e.Models)
		f := fleets[e.Service]
		f.Total++
		if st := s.endpoint(e.ID); now < st.loading || now < st.emptying {
			f.PeerUpdating++
			f.PeerLoading += boolInt(now < st.loading)
		}
		fleets[e.Service] = f
		if len(e.Models) == 0 || !g.ownership.IsSoleOwner(e.ID, now) {
			continue
		}
		st := s.endpoint(e.ID)
		m := forward.ManagedEndpoint{
			Endpoint: e, LongRunning: st.load.LongRunning + s.peers.load(e.ID).LongRunning, HandoverDone: g.ownership.Owns(e.ID, now), OrderSeq: st.seq,
		}
		if !m.HandoverDone && st.claimed > 0 && now < st.claimed+ms(g.settings.OrderHandoverMs) {
			continue
		}
		out = append(out, m)
	}
	return out, fleets
}

func (g *Gateway) step(ctx context.Context, st forward.RolloutStep) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if st.IsOrder {
		g.order(ctx, st)
		return
	}
	rep, err := g.orders.Report(ctx, st.Endpoint)
	if err != nil {
		log.Warn().Str("event", "report_unread").Str("endpoint", st.Endpoint.ID).Err(err).Msg("asked again")
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range rep.Models {
		s.observeVersion(st.Endpoint.ID, m.Name, m.Version)
	}
	if s.rollout.RecordReport(st.Endpoint.ID, rep, s.clock()) {
		for _, m := range rep.Models {
			s.peers.loadedWeights(st.Endpoint.ID, m.Name, m.Version, rep.OrderSeq, s.clock())
		}
		s.endpoint(st.Endpoint.ID).seq = rep.OrderSeq
		log.Info().Str("event", "weights_loaded").Str("endpoint", st.Endpoint.ID).Msg("the endpoint has the named weights")
	}
}

func (g *Gateway) order(ctx context.Context, st forward.RolloutStep) {
	s := g.state
	s.mu.Lock()
	may, fence := g.ownership.IsSoleOwner(st.Endpoint.ID, s.clock()), g.ownership.FencingToken()
	if may {
		s.rollout.RecordOrderSent(st.Endpoint.ID, s.clock())
	}
	s.mu.Unlock()
	if !may {
		return
	}
	status, err := g.orders.LoadVersion(ctx, LoadOrder{
		Endpoint: st.Endpoint, Model: st.Model, Version: st.Version, Holder: g.settings.ID, Fence: fence, Seq: st.OrderSeq,
	})
	e := log.Info()
	if err != nil || status >= http.StatusBadRequest {
		e = log.Warn()
	}
	e.Str("event", "weights_ordered").Str("endpoint", st.Endpoint.ID).Str("model", st.Model).Int64("version", st.Version).
		Int64("fence", fence).Int64("orders_before", st.OrderSeq).Int("status", status).Err(err).Msg("order to load a weight version")
}
