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

// board passes announcements on at once.
type board struct {
	mu    sync.Mutex
	peers map[string]rollout.Peer
}

func (b *board) Announce(endpoint string, s rollout.Stage, version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[endpoint] = rollout.Peer{Endpoint: endpoint, Live: true, Version: version, Stage: s}
}

func (b *board) Peers(*config.Document, string) (out []rollout.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		out = append(out, p)
	}
	return out
}

type changingConfig struct{ state *node.ConfigState }

func (c *changingConfig) Current() *node.ConfigState { return c.state }
func (c *changingConfig) Changed() <-chan struct{}   { return nil }

// All engines reach the version of the configuration over real sockets, no more
// at once than the limit, without the log; after a restart of the agent the next
// fencing number is above the engine's; a rollback is followed, also by engines
// that are sent the earlier order again and ignore its number.
func TestRollout(t *testing.T) {
	const n = 4
	doc := &config.Document{Models: map[string]config.Model{"m": {WeightVersion: "v2", MaxLoading: 1, MinServingShare: 0.5}}, Endpoints: map[string]config.Endpoint{}}
	var engines []*engine.Engine
	b := &board{peers: map[string]rollout.Peer{}}
	for i := range n {
		e := engine.New(engine.Options{Model: "m", WeightVersion: "v1", LoadTime: time.Nanosecond, ChecksFencing: i%2 == 0})
		s := httptest.NewServer(e.Handler())
		t.Cleanup(s.Close)
		engines = append(engines, e)
		id := fmt.Sprint("e", i)
		doc.Endpoints[id] = config.Endpoint{Agent: "a", Address: s.Listener.Addr().String(), Model: "m"}
		b.Announce(id, rollout.Serving, "v1")
	}
	cfg := &changingConfig{&node.ConfigState{Version: 7, Doc: doc}}
	now := time.Unix(0, 0)
	client := streaming.New()
	start := func() *Rollout {
		return NewRollout(RolloutOptions{ID: "a", Config: cfg, Engine: client, Peers: b, Now: func() time.Time { return now }})
	}
	r := start()
	until := func(version string) {
		for done := false; !done; {
			done = true
			r.step(t.Context())
			now = now.Add(rolloutInterval)
			busy := 0
			for _, e := range engines {
				for e.State().Loading {
					runtime.Gosched() // until the stand-in's timer has fired
				}
				done = done && e.State().WeightVersion == version
			}
			for _, p := range b.Peers(nil, "") {
				if p.Stage == rollout.Loading {
					busy++
				}
			}
			require.LessOrEqual(t, busy, 1)
		}
	}
	until("v2")
	first := engines[0].State().Fencing
	require.EqualValues(t, 7<<16|1, first)

	r = start() // the agent restarted
	back := *doc
	back.Models = map[string]config.Model{"m": {WeightVersion: "v1", MaxLoading: 1, MinServingShare: 0.5}}
	cfg.state = &node.ConfigState{Version: 8, Doc: &back}
	until("v1")
	require.Greater(t, engines[0].State().Fencing, first)
	for i, e := range engines {
		err := client.SendOrder(t.Context(), doc.Endpoints[fmt.Sprint("e", i)].Address, protocol.Order{FencingToken: first, WeightVersion: "v2"})
		require.Equal(t, i%2 == 0, err != nil, "an engine that checks refuses the old order")
		for e.State().Loading {
			runtime.Gosched()
		}
	}
	until("v1")
}
