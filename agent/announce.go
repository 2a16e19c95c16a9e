package agent

import (
	"maps"
	"slices"
	"sync"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/rollout"
	"github.com/galenaweir/galenaweir/node"
)

// Announcer spreads the state of this agent's endpoints; the gossip implements it.
type Announcer interface {
	SetEndpoints(es []membership.Endpoint)
}

// GossipPeers implements RolloutPeers on the members' announcements.
type GossipPeers struct {
	Members   node.Members
	Announcer Announcer

	mu  sync.Mutex
	own map[string]membership.Endpoint
}

// Announce implements RolloutPeers.
func (g *GossipPeers) Announce(endpoint string, s rollout.Stage, version string) {
	g.mu.Lock()
	if g.own == nil {
		g.own = map[string]membership.Endpoint{}
	}
	g.own[endpoint] = membership.Endpoint{ID: endpoint, WeightVersion: version, RolloutStage: uint32(s)}
	es := make([]membership.Endpoint, 0, len(g.own))
	for _, id := range slices.Sorted(maps.Keys(g.own)) {
		es = append(es, g.own[id])
	}
	g.mu.Unlock()
	g.Announcer.SetEndpoints(es)
}

// Peers implements RolloutPeers. An endpoint that no live agent has announced
// counts as not live.
func (g *GossipPeers) Peers(doc *config.Document, model string) []rollout.Peer {
	var ps []rollout.Peer
	for id, e := range doc.Endpoints {
		if e.Model != model {
			continue
		}
		p := rollout.Peer{Endpoint: id}
		if m, ok := g.Members.Get(e.Agent); ok {
			for _, a := range m.Endpoints {
				if a.ID == id {
					p.Live = m.State == node.Live
					p.Version, p.Stage = a.WeightVersion, rollout.Stage(a.RolloutStage)
				}
			}
		}
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b rollout.Peer) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return ps
}
