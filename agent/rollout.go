package agent

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/rollout"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/protocol"
)

// RolloutPeers carries announcements between the agents; the gossip implements it.
type RolloutPeers interface {
	// Announce tells the others what the endpoint does and which version it has.
	Announce(endpoint string, s rollout.Stage, version string)
	// Peers returns the model's endpoints as the others announced them.
	Peers(doc *config.Document, model string) []rollout.Peer
}

// RolloutOptions sets up an agent's part in weight rollouts.
type RolloutOptions struct {
	ID     string
	Config node.Config
	Engine protocol.Engine
	Peers  RolloutPeers
	Now    func() time.Time
}

const (
	rolloutInterval = 200 * time.Millisecond
	rolloutTimeout  = time.Second // of a call to the engine
)

// Rollout brings the agent's engines to the weight version of the configuration in
// force. It needs neither the log nor any state from before a restart.
type Rollout struct {
	o        RolloutOptions
	machines map[string]*rollout.StateMachine
}

// NewRollout returns a rollout; it acts in Run.
func NewRollout(o RolloutOptions) *Rollout {
	return &Rollout{o: o, machines: map[string]*rollout.StateMachine{}}
}

// Run takes a step at each interval until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	t := time.NewTicker(rolloutInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Rollout) step(ctx context.Context) {
	st := r.o.Config.Current()
	if st == nil {
		return
	}
	for id, e := range st.Doc.Endpoints {
		if e.Agent == r.o.ID && e.Model != "" {
			r.endpoint(ctx, st, id, e)
		}
	}
}

// endpoint takes a step for one engine. An engine that does not answer is left
// alone until it does.
func (r *Rollout) endpoint(ctx context.Context, st *node.ConfigState, id string, e config.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	s, err := r.o.Engine.EngineState(ctx, e.Address)
	if err != nil {
		log.Debug().Str("endpoint", id).Err(err).Msg("engine gives no state; the rollout waits")
		return
	}
	m := r.machines[id]
	if m == nil {
		m = &rollout.StateMachine{}
		r.machines[id] = m
	}
	model := st.Doc.Models[e.Model]
	v := &rollout.View{
		Self: id, DesiredVersion: model.WeightVersion, ConfigVersion: st.Version, MaxLoading: model.MaxLoading,
		MinServingShare: model.MinServingShare, Peers: r.o.Peers.Peers(st.Doc, e.Model),
	}
	a, err := m.Step(v, rollout.EngineState{Version: s.WeightVersion, Loading: s.Loading, FencingToken: s.FencingToken}, r.o.Now())
	if err != nil {
		log.Warn().Str("endpoint", id).Int64("config_version", st.Version).Int64("fencing", s.FencingToken).Err(err).Msg("no order is issued")
	}
	r.o.Peers.Announce(id, a.Stage, s.WeightVersion)
	if !a.SendOrder {
		return
	}
	err = r.o.Engine.SendOrder(ctx, e.Address, protocol.Order{FencingToken: a.FencingToken, WeightVersion: a.Version})
	log.Info().Str("decision", "load").Str("endpoint", id).Str("from", s.WeightVersion).Str("to", a.Version).
		Int64("config_version", st.Version).Int64("fencing", a.FencingToken).Int("peers", len(v.Peers)).Err(err).Msg("rollout")
}
