package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// The group of entries. Its first partition makes the holder of the orders.
const (
	groupName    = "galenaweir-entries"
	joinPause    = 400 * time.Millisecond
	memberLease  = 1500 * time.Millisecond // kept by the log
	orderLease   = time.Second             // a holder that could not renew for so long gives no orders
	joinTimeout  = 700 * time.Millisecond
	rolloutPause = 100 * time.Millisecond
	orderTimeout = 800 * time.Millisecond
	membersPause = 10 * time.Second // also without a change, as answers may be lost
)

// group keeps this process in the group of entries until ctx ends.
func (g *Gateway) group(ctx context.Context) {
	var generation, membersOf int64 = 0, -1
	var membersAt time.Duration
	for ctx.Err() == nil {
		sent := g.clock()
		m, err := g.join(ctx, generation)
		if err == nil {
			generation = max(generation, m.Generation)
			g.joined(m, sent)
			if generation != membersOf || g.clock()-membersAt > membersPause {
				if g.readMembers(ctx) {
					membersOf, membersAt = generation, g.clock()
				}
			}
		}
		wait.For(ctx, joinPause)
	}
}

func (g *Gateway) join(ctx context.Context, generation int64) (Membership, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return g.groups.Join(ctx, groupName, g.member, generation, memberLease)
}

func (g *Gateway) joined(m Membership, sent time.Duration) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.leadership.Joined(m.Leader, m.Generation, sent) {
		if !m.Leader {
			s.rollout.Forget()
		}
		log.Info().Str("event", "order_holder").Bool("holder", m.Leader).Int64("generation", m.Generation).Msg("the role of giving orders changed")
	}
}

func (g *Gateway) readMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	members, err := g.groups.Members(ctx, groupName)
	if err != nil {
		log.Warn().Str("event", "members_unread").Err(err).Msg("the former list of entries is kept")
		return false
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.members = members
	log.Info().Str("event", "members").Int("count", len(members)).Msg("entries of this deployment")
	return true
}

// roll brings named weight versions to the endpoints while this process holds the role.
func (g *Gateway) roll(ctx context.Context) {
	for wait.For(ctx, rolloutPause) {
		s := g.state
		s.mu.Lock()
		now := s.clock()
		var steps []forward.Step
		if g.leadership.MayOrder(now) && !g.draining.Load() {
			steps = s.rollout.Next(s.usableEndpoints(now), now)
		}
		s.mu.Unlock()
		for _, st := range steps {
			go g.step(ctx, st)
		}
	}
}

func (g *Gateway) step(ctx context.Context, st forward.Step) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if st.Order {
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
	if s.rollout.Reported(st.Endpoint.ID, rep, s.clock()) {
		log.Info().Str("event", "weights_loaded").Str("endpoint", st.Endpoint.ID).Msg("the endpoint has the named weights")
	}
}

func (g *Gateway) order(ctx context.Context, st forward.Step) {
	s := g.state
	s.mu.Lock()
	may, fence := g.leadership.MayOrder(s.clock()), g.leadership.Fence()
	if may {
		s.rollout.Sent(st.Endpoint.ID, s.clock())
	}
	s.mu.Unlock()
	if !may {
		return
	}
	status, err := g.orders.LoadVersion(ctx, LoadOrder{
		Endpoint: st.Endpoint, Model: st.Model, Version: st.Version, Holder: g.settings.ID, Fence: fence, Seq: st.Seq,
	})
	e := log.Info()
	if err != nil || status >= http.StatusBadRequest {
		e = log.Warn()
	}
	e.Str("event", "weights_ordered").Str("endpoint", st.Endpoint.ID).Str("model", st.Model).Int64("version", st.Version).
		Int64("fence", fence).Int64("orders_before", st.Seq).Int("status", status).Err(err).Msg("order to load a weight version")
}
