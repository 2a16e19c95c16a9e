package agent

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/rollout"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/protocol/streaming"
	"github.com/galenaweir/galenaweir/standin/engine"
)

// fakeRolloutPeers implements RolloutPeers in memory, without delay.
type fakeRolloutPeers struct {
	mu    sync.Mutex
	peers map[string]rollout.Peer
}

func (f *fakeRolloutPeers) Announce(endpoint string, s rollout.Stage, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[endpoint] = rollout.Peer{Endpoint: endpoint, Live: true, Version: version, Stage: s}
}

func (f *fakeRolloutPeers) Peers(*config.Document, string) (out []rollout.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		out = append(out, p)
	}
	return out
}

type changingConfig struct{ state *node.ConfigState }

func (c *changingConfig) Current() *node.ConfigState { return c.state }
func (c *changingConfig) Changed() <-chan struct{}   { return nil }

// Guards against engines that don't reach the configured weight version, also after a
// rollback or a repeated earlier order; against more concurrent loads than the limit;
// and against fencing numbers that don't increase after the agent has restarted.
func TestRollout(t *testing.T) {
	const n = 4
	doc := &config.Document{Models: map[string]config.Model{"m": {WeightVersion: "v2", MaxLoading: 1, MinServingShare: 0.5}}, Endpoints: map[string]config.Endpoint{}}
	var engines []*engine.Engine
	peers := &fakeRolloutPeers{peers: map[string]rollout.Peer{}}
	for i := range n {
		e := engine.New(engine.Options{Model: "m", WeightVersion: "v1", WeightLoadTime: time.Nanosecond, ChecksFencing: i%2 == 0})
		s := httptest.NewServer(e.Handler())
		t.Cleanup(s.Close)
		engines = append(engines, e)
		id := fmt.Sprint("e", i)
		doc.Endpoints[id] = config.Endpoint{Agent: "a", Address: s.Listener.Addr().String(), Model: "m"}
		peers.Announce(id, rollout.Serving, "v1")
	}
	cfg := &changingConfig{&node.ConfigState{Version: 7, Doc: doc}}
	now := time.Unix(0, 0)
	client := streaming.New()
	newRollout := func() *RolloutController {
		return NewRolloutController(RolloutOptions{ID: "a", Config: cfg, Engine: client, Peers: peers, Now: func() time.Time { return now }})
	}
	r := newRollout()
	runUntil := func(version string) {
		for done := false; !done; {
			done = true
			r.advanceAll(t.Context())
			now = now.Add(rolloutInterval)
			loading := 0
			for _, e := range engines {
				for e.State().Loading {
					runtime.Gosched() // until the stand-in has loaded the version
				}
				done = done && e.State().WeightVersion == version
			}
			for _, p := range peers.Peers(nil, "") {
				if p.Stage == rollout.Loading {
					loading++
				}
			}
			require.LessOrEqual(t, loading, 1)
		}
	}
	runUntil("v2")
	firstFencing := engines[0].State().FencingToken
	require.EqualValues(t, 7<<16|1, firstFencing)

	r = newRollout() // simulates a restart of the agent
	rollbackDoc := *doc
	rollbackDoc.Models = map[string]config.Model{"m": {WeightVersion: "v1", MaxLoading: 1, MinServingShare: 0.5}}
	cfg.state = &node.ConfigState{Version: 8, Doc: &rollbackDoc}
	runUntil("v1")
	require.Greater(t, engines[0].State().FencingToken, firstFencing)
	for i, e := range engines {
		err := client.SendOrder(t.Context(), doc.Endpoints[fmt.Sprint("e", i)].Address, protocol.Order{FencingToken: firstFencing, WeightVersion: "v2"})
		require.Equal(t, i%2 == 0, err != nil, "an engine that checks fencing numbers refuses the old order")
		for e.State().Loading {
			runtime.Gosched()
		}
	}
	runUntil("v1")
}
