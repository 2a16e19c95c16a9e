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

// RolloutPeers exchanges rollout states between the agents. GossipRolloutPeers
// implements it.
type RolloutPeers interface {
	// Announce publishes the endpoint's rollout stage and loaded weight version.
	Announce(endpoint string, s rollout.Stage, version string)
	// Peers returns the announced states of the model's endpoints.
	Peers(doc *config.Document, model string) []rollout.Peer
}

// RolloutOptions configures an agent's part in weight rollouts.
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

// RolloutController updates the agent's engines to the weight version of the
// configuration in force. It needs neither the log nor any state from before a restart.
type RolloutController struct {
	opts     RolloutOptions
	machines map[string]*rollout.StateMachine
}

// NewRolloutController returns a rollout controller. It updates engines only while Run
// runs.
func NewRolloutController(o RolloutOptions) *RolloutController {
	return &RolloutController{opts: o, machines: map[string]*rollout.StateMachine{}}
}

// Run advances the rollout at each interval until ctx ends.
func (r *RolloutController) Run(ctx context.Context) {
	t := time.NewTicker(rolloutInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.advanceAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// advanceAll advances the rollout of each engine that this agent serves.
func (r *RolloutController) advanceAll(ctx context.Context) {
	st := r.opts.Config.Current()
	if st == nil {
		return
	}
	for id, e := range st.Doc.Endpoints {
		if e.Agent == r.opts.ID && e.Model != "" {
			r.advanceEndpoint(ctx, st, id, e)
		}
	}
}

// advanceEndpoint advances the rollout of one engine. An engine that does not answer is
// skipped.
func (r *RolloutController) advanceEndpoint(ctx context.Context, st *node.ConfigState, id string, e config.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	state, err := r.opts.Engine.EngineState(ctx, e.Address)
	if err != nil {
		log.Debug().Str("endpoint", id).Err(err).Msg("could not read the engine's state; its rollout is paused")
		return
	}
	machine := r.machines[id]
	if machine == nil {
		machine = &rollout.StateMachine{}
		r.machines[id] = machine
	}
	model := st.Doc.Models[e.Model]
	v := &rollout.View{
		Self: id, DesiredVersion: model.WeightVersion, ConfigVersion: st.Version, MaxLoading: model.MaxLoading,
		MinServingShare: model.MinServingShare, Peers: r.opts.Peers.Peers(st.Doc, e.Model),
	}
	action, err := machine.Step(v, rollout.EngineState{Version: state.WeightVersion, Loading: state.Loading, FencingToken: state.FencingToken}, r.opts.Now())
	if err != nil {
		log.Warn().Str("endpoint", id).Int64("config_version", st.Version).Int64("fencing", state.FencingToken).Err(err).Msg("no order is issued")
	}
	r.opts.Peers.Announce(id, action.Stage, state.WeightVersion)
	if !action.SendOrder {
		return
	}
	err = r.opts.Engine.SendOrder(ctx, e.Address, protocol.Order{FencingToken: action.FencingToken, WeightVersion: action.Version})
	log.Info().Str("decision", "load").Str("endpoint", id).Str("from", state.WeightVersion).Str("to", action.Version).
		Int64("config_version", st.Version).Int64("fencing", action.FencingToken).Int("peers", len(v.Peers)).Err(err).Msg("rollout")
}
