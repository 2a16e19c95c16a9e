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

// EndpointAnnouncer publishes the state of this agent's endpoints to the other members. The
// gossip protocol implements it.
type EndpointAnnouncer interface {
	SetEndpoints(es []membership.Endpoint)
}

// GossipRolloutPeers implements RolloutPeers with the endpoint states that members gossip.
type GossipRolloutPeers struct {
	Members   node.Members
	Announcer EndpointAnnouncer

	mu        sync.Mutex
	announced map[string]membership.Endpoint
}

// Announce implements RolloutPeers.
func (g *GossipRolloutPeers) Announce(endpoint string, s rollout.Stage, version string) {
	g.mu.Lock()
	if g.announced == nil {
		g.announced = map[string]membership.Endpoint{}
	}
	g.announced[endpoint] = membership.Endpoint{ID: endpoint, WeightVersion: version, RolloutStage: uint32(s)}
	es := make([]membership.Endpoint, 0, len(g.announced))
	for _, id := range slices.Sorted(maps.Keys(g.announced)) {
		es = append(es, g.announced[id])
	}
	g.mu.Unlock()
	g.Announcer.SetEndpoints(es)
}

// Peers implements RolloutPeers. An endpoint is live only if a live agent has
// announced it.
func (g *GossipRolloutPeers) Peers(doc *config.Document, model string) []rollout.Peer {
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
