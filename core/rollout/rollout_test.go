package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	endpointCount   = 12
	tickInterval    = 50 * time.Millisecond
	loadTime        = 800 * time.Millisecond
	simulationLimit = 5 * time.Minute
)

// simHost simulates one endpoint and its agent in virtual time.
type simHost struct {
	id            string
	machine       StateMachine
	engine        EngineState
	target        string
	loadEnd       time.Time // end of the current load
	dead          bool
	checksFencing bool
	view          map[string]Peer // the other endpoints as known to this agent
	issued        []int64
	partition     int
	lastAnnounced Peer
}

type message struct {
	at   time.Time
	to   *simHost
	peer Peer
}

type lateOrder struct {
	at     time.Time
	to     *simHost
	action Action
}

// simulation runs a rollout and records the extremes observed.
type simulation struct {
	t                 *testing.T
	seed              uint64
	rng               *rand.Rand
	now               time.Time
	hosts             []*simHost
	messages          []message
	lateOrders        []lateOrder
	view              View
	announcementDelay time.Duration
	partitioned       bool // the two partitions don't receive each other's announcements
	repeatOrders      bool // orders are repeated late and in random order
	peakLoading       int
	lowestServing     int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), announcementDelay: AnnounceDelay / 2, lowestServing: endpointCount,
		view: View{DesiredVersion: "v2", ConfigVersion: 2, MaxLoading: 2, MinServingShare: 0.75}}
	for i := range endpointCount {
		sim.hosts = append(sim.hosts, &simHost{id: fmt.Sprint("e", i), engine: EngineState{Version: "v1"}, checksFencing: true, view: map[string]Peer{}, partition: i % 2})
	}
	for _, h := range sim.hosts {
		for _, o := range sim.hosts {
			h.view[o.id] = Peer{o.id, true, "v1", Serving}
		}
	}
	return sim
}

func (sim *simulation) applyOrder(h *simHost, a Action) {
	if h.checksFencing && a.FencingToken <= h.engine.FencingToken {
		return
	}
	h.engine.FencingToken = max(h.engine.FencingToken, a.FencingToken)
	if !h.engine.Loading && h.engine.Version != a.Version {
		h.engine.Loading, h.target, h.loadEnd = true, a.Version, sim.now.Add(loadTime)
	}
}

func (sim *simulation) deliver() {
	var kept []message
	for _, m := range sim.messages {
		if m.at.After(sim.now) {
			kept = append(kept, m)
		} else if !m.to.dead {
			m.to.view[m.peer.Endpoint] = m.peer
		}
	}
	sim.messages = kept
	var late []lateOrder
	for _, o := range sim.lateOrders {
		if o.at.After(sim.now) {
			late = append(late, o)
		} else if !o.to.dead {
			sim.applyOrder(o.to, o.action)
		}
	}
	sim.lateOrders = late
}

func (sim *simulation) announce(h *simHost, s Stage) {
	p := Peer{h.id, !h.dead, h.engine.Version, s}
	if p == h.lastAnnounced {
		return
	}
	h.lastAnnounced = p
	for _, o := range sim.hosts {
		if o != h && (!sim.partitioned || o.partition == h.partition) {
			// Announcements of one agent arrive in order.
			sim.messages = append(sim.messages, message{sim.now.Add(sim.announcementDelay), o, p})
		}
	}
}

func (sim *simulation) step(h *simHost) {
	v := sim.view
	v.Self = h.id
	for _, o := range sim.hosts {
		v.Peers = append(v.Peers, h.view[o.id])
	}
	a, err := h.machine.Step(&v, h.engine, sim.now)
	require.NoError(sim.t, err, "seed %d", sim.seed)
	if a.SendOrder {
		h.issued = append(h.issued, a.FencingToken)
		sim.applyOrder(h, a)
		for sim.repeatOrders && sim.rng.IntN(2) == 0 {
			sim.lateOrders = append(sim.lateOrders, lateOrder{sim.now.Add(time.Duration(sim.rng.IntN(10_000)) * time.Millisecond), h, a})
		}
	}
	sim.announce(h, a.Stage)
}

// tick advances the time by one interval and runs the agents of live hosts in random
// order.
func (sim *simulation) tick() {
	sim.now = sim.now.Add(tickInterval)
	sim.deliver()
	loading, serving := 0, 0
	for _, i := range sim.rng.Perm(len(sim.hosts)) {
		h := sim.hosts[i]
		if h.dead {
			continue
		}
		if h.engine.Loading && !sim.now.Before(h.loadEnd) {
			h.engine.Loading, h.engine.Version = false, h.target
		}
		if sim.rng.IntN(2) == 0 {
			sim.step(h)
		}
		if h.engine.Loading {
			loading++
		} else {
			serving++
		}
	}
	sim.peakLoading, sim.lowestServing = max(sim.peakLoading, loading), min(sim.lowestServing, serving)
}

// runToCompletion runs until all live hosts serve the desired version and no late
// orders are left.
func (sim *simulation) runToCompletion() {
	for sim.now.Sub(time.Unix(0, 0)) < simulationLimit {
		sim.tick()
		done := len(sim.lateOrders) == 0
		for _, h := range sim.hosts {
			done = done && (h.dead || !h.engine.Loading && h.engine.Version == sim.view.DesiredVersion)
		}
		if done {
			return
		}
	}
	require.Fail(sim.t, "the rollout did not complete", "seed %d", sim.seed)
}

func (sim *simulation) requireIncreasingFencing() {
	for _, h := range sim.hosts {
		for i := 1; i < len(h.issued); i++ {
			require.Greater(sim.t, h.issued[i], h.issued[i-1], "seed %d: fencing tokens of %s", sim.seed, h.id)
		}
	}
}

func forEachSeed(t *testing.T, f func(sim *simulation)) {
	for seed := range uint64(20) {
		f(newSimulation(t, seed))
	}
}

// Guards against loading more endpoints at the same time than the limit allows and
// against serving with fewer than the required share, even when the version is
// reverted during the rollout.
func TestLimitAndCapacity(t *testing.T) {
	forEachSeed(t, func(sim *simulation) {
		sim.view.MaxLoading = 1 + int(sim.seed)%3
		for range 60 {
			sim.tick()
		}
		sim.view.DesiredVersion, sim.view.ConfigVersion = "v1", 3
		sim.runToCompletion()
		sim.view.DesiredVersion, sim.view.ConfigVersion = "v3", 4
		sim.runToCompletion()
		require.LessOrEqual(t, sim.peakLoading, sim.view.MaxLoading, "seed %d", sim.seed)
		require.GreaterOrEqual(t, sim.lowestServing, endpointCount*3/4, "seed %d", sim.seed)
		sim.requireIncreasingFencing()
	})
	sim := newSimulation(t, 0)
	sim.view.MaxLoading, sim.view.MinServingShare = endpointCount, 0.9
	sim.runToCompletion()
	require.GreaterOrEqual(t, sim.lowestServing, 11, "the required share must keep serving even if the limit allows more loads")
}

// Guards against violations of each rule about an endpoint's turn to load, with one or
// two other endpoints and a limit of one.
func TestTurn(t *testing.T) {
	now := time.Unix(0, 0)
	v := View{Self: "self", DesiredVersion: "v2", ConfigVersion: 1, MaxLoading: 1}
	before, after := "", ""
	for i := 0; before == "" || after == ""; i++ {
		if id := fmt.Sprint(i); v.compareByHash(id, v.Self) < 0 {
			before = id
		} else {
			after = id
		}
	}
	for _, c := range []struct {
		name       string
		from       Stage
		peers      []Peer
		minServing float64
		want       Stage
	}{
		{"first in hash order", Serving, []Peer{{after, true, "v1", Serving}}, 0, Announced},
		{"second in hash order", Serving, []Peer{{before, true, "v1", Serving}}, 0, Serving},
		{"the first endpoint is not live", Serving, []Peer{{before, false, "v1", Serving}}, 0, Announced},
		{"another endpoint is loading", Serving, []Peer{{after, true, "v1", Loading}}, 0, Serving},
		{"the loading endpoint is not live", Serving, []Peer{{after, false, "v1", Loading}}, 0, Announced},
		{"too few endpoints serving", Serving, []Peer{{"x", false, "v1", Serving}, {after, true, "v1", Serving}}, 0.7, Serving},
		{"both announced, first in hash order", Announced, []Peer{{after, true, "v1", Announced}}, 0, Loading},
		{"both announced, second in hash order", Announced, []Peer{{before, true, "v1", Announced}}, 0, Serving},
		{"another endpoint started to load", Announced, []Peer{{after, true, "v1", Loading}}, 0, Serving},
		{"too few endpoints serving after the announcement", Announced, []Peer{{"x", false, "v1", Serving}, {after, true, "v1", Serving}}, 0.7, Serving},
	} {
		m := StateMachine{stage: c.from, stageSince: now}
		v.Peers, v.MinServingShare = c.peers, c.minServing
		a, err := m.Step(&v, EngineState{Version: "v1"}, now.Add(AnnounceDelay))
		require.NoError(t, err)
		require.Equal(t, c.want, a.Stage, c.name)
		require.Equal(t, c.want == Loading, a.SendOrder, c.name)
	}
}

// Guards against more than twice the limit of endpoints that load at the same time
// during a network partition into two parts.
func TestDisagreeingViews(t *testing.T) {
	forEachSeed(t, func(sim *simulation) {
		sim.partitioned, sim.view.MinServingShare = true, 0
		sim.runToCompletion()
		require.LessOrEqual(t, sim.peakLoading, 2*sim.view.MaxLoading, "seed %d", sim.seed)
	})
}

// Guards against a rollout that stalls when hosts fail while they announce or load,
// and against agents that exceed the limit or reuse a fencing token after a restart.
func TestCrashesAndRestarts(t *testing.T) {
	forEachSeed(t, func(sim *simulation) {
		sim.view.MinServingShare = 0.5
		for range 100 {
			sim.tick()
			switch h := sim.hosts[sim.rng.IntN(endpointCount)]; sim.rng.IntN(30) {
			case 0:
				if !sim.hosts[(h.partition+1)%endpointCount].dead {
					h.dead = true
					sim.announce(h, Serving)
				}
			case 1:
				h.machine = StateMachine{}
			}
		}
		sim.runToCompletion()
		require.LessOrEqual(t, sim.peakLoading, sim.view.MaxLoading, "seed %d", sim.seed)
		sim.requireIncreasingFencing()
	})
}

// Guards against an endpoint that stays on an old version after repeated, delayed and
// reordered orders, whether or not its engine checks fencing tokens.
func TestLateOrders(t *testing.T) {
	forEachSeed(t, func(sim *simulation) {
		for i, h := range sim.hosts {
			h.checksFencing = i%2 == 0
		}
		sim.repeatOrders = true
		for _, v := range []string{"v2", "v1", "v3"} {
			sim.view.DesiredVersion = v
			sim.view.ConfigVersion++
			for range 100 {
				sim.tick()
			}
		}
		sim.runToCompletion()
		sim.requireIncreasingFencing()
	})
}

// Guards against orders from an agent with an old configuration to an engine that has
// seen a later one, and against attempt numbers that overflow into the next
// configuration version.
func TestFencingTokens(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name    string
		fencing int64
		want    int64
		err     error
	}{
		{"first", 0, 5<<16 | 1, nil},
		{"token of an earlier version", 4<<16 | 9, 5<<16 | 1, nil},
		{"after a restart", 5<<16 | 9, 5<<16 | 10, nil},
		{"token of a later version", 6<<16 | 1, 0, ErrStaleConfig},
		{"tokens exhausted", 5<<16 | 0xffff, 0, ErrAttemptsExhausted},
	} {
		m := StateMachine{stage: Announced, stageSince: now}
		v := View{Self: "e", DesiredVersion: "v2", ConfigVersion: 5, MaxLoading: 1}
		a, err := m.Step(&v, EngineState{Version: "v1", FencingToken: c.fencing}, now.Add(AnnounceDelay))
		require.ErrorIs(t, err, c.err, c.name)
		require.Equal(t, c.want, a.FencingToken, c.name)
		if c.err == nil {
			again, err := m.Step(&v, EngineState{Version: "v1"}, now.Add(AnnounceDelay+orderTimeout))
			require.NoError(t, err, c.name)
			require.Equal(t, c.want+1, again.FencingToken, "an order that the engine lost must be repeated with the next token")
		}
	}
}
