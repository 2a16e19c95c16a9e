package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	endpoints = 12
	tick      = 50 * time.Millisecond
	loadTime  = 800 * time.Millisecond
	maxTime   = 5 * time.Minute
)

// host is one endpoint with its agent, in virtual time.
type host struct {
	id     string
	m      Machine
	e      Engine
	target string
	loaded time.Time // when the running load ends
	dead   bool
	fences bool
	seen   map[string]Peer // this agent's view of the others
	issued []int64
	group  int
	said   Peer // announced last
}

type message struct {
	at   time.Time
	to   *host
	peer Peer
}

type lateOrder struct {
	at time.Time
	to *host
	a  Action
}

// world runs a rollout and keeps the worst that was seen.
type world struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	now        time.Time
	hosts      []*host
	messages   []message
	late       []lateOrder
	view       View
	delay      time.Duration // of an announcement, at most
	split      bool          // groups do not see each other
	repeat     bool          // orders come again, late and in any order
	mostLoad   int
	leastServe int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), delay: AnnounceWait / 2, leastServe: endpoints,
		view: View{Desired: "v2", ConfigVersion: 2, MaxLoading: 2, MinServing: 0.75}}
	for i := range endpoints {
		w.hosts = append(w.hosts, &host{id: fmt.Sprint("e", i), e: Engine{Version: "v1"}, fences: true, seen: map[string]Peer{}, group: i % 2})
	}
	for _, h := range w.hosts {
		for _, o := range w.hosts {
			h.seen[o.id] = Peer{o.id, true, "v1", Serving}
		}
	}
	return w
}

func (w *world) order(h *host, a Action) {
	if h.fences && a.Fencing <= h.e.Fencing {
		return
	}
	h.e.Fencing = max(h.e.Fencing, a.Fencing)
	if !h.e.Loading && h.e.Version != a.Version {
		h.e.Loading, h.target, h.loaded = true, a.Version, w.now.Add(loadTime)
	}
}

func (w *world) deliver() {
	var kept []message
	for _, m := range w.messages {
		if m.at.After(w.now) {
			kept = append(kept, m)
		} else if !m.to.dead {
			m.to.seen[m.peer.Endpoint] = m.peer
		}
	}
	w.messages = kept
	var late []lateOrder
	for _, o := range w.late {
		if o.at.After(w.now) {
			late = append(late, o)
		} else if !o.to.dead {
			w.order(o.to, o.a)
		}
	}
	w.late = late
}

func (w *world) announce(h *host, s Stage) {
	p := Peer{h.id, !h.dead, h.e.Version, s}
	if p == h.said {
		return
	}
	h.said = p
	for _, o := range w.hosts {
		if o != h && (!w.split || o.group == h.group) {
			// The channel keeps the order of one agent's announcements.
			w.messages = append(w.messages, message{w.now.Add(w.delay), o, p})
		}
	}
}

func (w *world) step(h *host) {
	v := w.view
	v.Self = h.id
	for _, o := range w.hosts {
		v.Peers = append(v.Peers, h.seen[o.id])
	}
	a, err := h.m.Step(&v, h.e, w.now)
	require.NoError(w.t, err, "seed %d", w.seed)
	if a.Order {
		h.issued = append(h.issued, a.Fencing)
		w.order(h, a)
		for w.repeat && w.rng.IntN(2) == 0 {
			w.late = append(w.late, lateOrder{w.now.Add(time.Duration(w.rng.IntN(10_000)) * time.Millisecond), h, a})
		}
	}
	w.announce(h, a.Stage)
}

// tick advances by one step of each live agent, in random order.
func (w *world) tick() {
	w.now = w.now.Add(tick)
	w.deliver()
	loading, serving := 0, 0
	for _, i := range w.rng.Perm(len(w.hosts)) {
		h := w.hosts[i]
		if h.dead {
			continue
		}
		if h.e.Loading && !w.now.Before(h.loaded) {
			h.e.Loading, h.e.Version = false, h.target
		}
		if w.rng.IntN(2) == 0 {
			w.step(h)
		}
		if h.e.Loading {
			loading++
		} else {
			serving++
		}
	}
	w.mostLoad, w.leastServe = max(w.mostLoad, loading), min(w.leastServe, serving)
}

// settle runs until all live hosts serve the desired version and no order is late.
func (w *world) settle() {
	for w.now.Sub(time.Unix(0, 0)) < maxTime {
		w.tick()
		done := len(w.late) == 0
		for _, h := range w.hosts {
			done = done && (h.dead || !h.e.Loading && h.e.Version == w.view.Desired)
		}
		if done {
			return
		}
	}
	require.Fail(w.t, "the rollout does not end", "seed %d", w.seed)
}

func (w *world) rising() {
	for _, h := range w.hosts {
		for i := 1; i < len(h.issued); i++ {
			require.Greater(w.t, h.issued[i], h.issued[i-1], "seed %d: fencing numbers of %s", w.seed, h.id)
		}
	}
}

func eachSeed(t *testing.T, f func(w *world)) {
	for seed := range uint64(20) {
		f(newWorld(t, seed))
	}
}

// In the usual case no more endpoints load at once than the limit, and the share
// that must serve does; also when the version is turned back half-way.
func TestLimitAndCapacity(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.view.MaxLoading = 1 + int(w.seed)%3
		for range 60 {
			w.tick()
		}
		w.view.Desired, w.view.ConfigVersion = "v1", 3
		w.settle()
		w.view.Desired, w.view.ConfigVersion = "v3", 4
		w.settle()
		require.LessOrEqual(t, w.mostLoad, w.view.MaxLoading, "seed %d", w.seed)
		require.GreaterOrEqual(t, w.leastServe, endpoints*3/4, "seed %d", w.seed)
		w.rising()
	})
	w := newWorld(t, 0)
	w.view.MaxLoading, w.view.MinServing = endpoints, 0.9
	w.settle()
	require.GreaterOrEqual(t, w.leastServe, 11, "the share counts even where the limit would allow more")
}

// Each rule of a turn alone, for two endpoints beside this one; the limit is one.
func TestTurn(t *testing.T) {
	now := time.Unix(0, 0)
	v := View{Self: "self", Desired: "v2", ConfigVersion: 1, MaxLoading: 1}
	before, after := "", ""
	for i := 0; before == "" || after == ""; i++ {
		if id := fmt.Sprint(i); v.before(id, v.Self) < 0 {
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
		{"its turn", Serving, []Peer{{after, true, "v1", Serving}}, 0, Announced},
		{"another's turn", Serving, []Peer{{before, true, "v1", Serving}}, 0, Serving},
		{"the other is dead", Serving, []Peer{{before, false, "v1", Serving}}, 0, Announced},
		{"one loads", Serving, []Peer{{after, true, "v1", Loading}}, 0, Serving},
		{"the loading one died", Serving, []Peer{{after, false, "v1", Loading}}, 0, Announced},
		{"too few serve", Serving, []Peer{{"x", false, "v1", Serving}, {after, true, "v1", Serving}}, 0.7, Serving},
		{"both announced, first", Announced, []Peer{{after, true, "v1", Announced}}, 0, Loading},
		{"both announced, second", Announced, []Peer{{before, true, "v1", Announced}}, 0, Serving},
		{"one began to load", Announced, []Peer{{after, true, "v1", Loading}}, 0, Serving},
		{"too few serve meanwhile", Announced, []Peer{{"x", false, "v1", Serving}, {after, true, "v1", Serving}}, 0.7, Serving},
	} {
		m := Machine{stage: c.from, since: now}
		v.Peers, v.MinServing = c.peers, c.minServing
		a, err := m.Step(&v, Engine{Version: "v1"}, now.Add(AnnounceWait))
		require.NoError(t, err)
		require.Equal(t, c.want, a.Stage, c.name)
		require.Equal(t, c.want == Loading, a.Order, c.name)
	}
}

// With views split into two groups the bound is twice the limit.
func TestDisagreeingViews(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.split, w.view.MinServing = true, 0
		w.settle()
		require.LessOrEqual(t, w.mostLoad, 2*w.view.MaxLoading, "seed %d", w.seed)
	})
}

// Hosts that die while they announce or load don't stop the others, and agents
// that restart go on without exceeding the limit or repeating a fencing number.
func TestDeathsAndRestarts(t *testing.T) {
	eachSeed(t, func(w *world) {
		w.view.MinServing = 0.5
		for range 100 {
			w.tick()
			switch h := w.hosts[w.rng.IntN(endpoints)]; w.rng.IntN(30) {
			case 0:
				if !w.hosts[(h.group+1)%endpoints].dead {
					h.dead = true
					w.announce(h, Serving)
				}
			case 1:
				h.m = Machine{}
			}
		}
		w.settle()
		require.LessOrEqual(t, w.mostLoad, w.view.MaxLoading, "seed %d", w.seed)
		w.rising()
	})
}

// Orders that are repeated, delayed and reordered don't keep an endpoint on an
// old version, whether or not its engine checks fencing numbers.
func TestLateOrders(t *testing.T) {
	eachSeed(t, func(w *world) {
		for i, h := range w.hosts {
			h.fences = i%2 == 0
		}
		w.repeat = true
		for _, v := range []string{"v2", "v1", "v3"} {
			w.view.Desired = v
			w.view.ConfigVersion++
			for range 100 {
				w.tick()
			}
		}
		w.settle()
		w.rising()
	})
}

// An agent with an old configuration never orders an engine that has seen a later
// one, and numbers are used up rather than running into the next version's.
func TestFencing(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name    string
		fencing int64
		want    int64
		err     error
	}{
		{"first", 0, 5<<16 | 1, nil},
		{"of an earlier version", 4<<16 | 9, 5<<16 | 1, nil},
		{"after a restart", 5<<16 | 9, 5<<16 | 10, nil},
		{"of a later version", 6<<16 | 1, 0, ErrStaleConfig},
		{"used up", 5<<16 | 0xffff, 0, ErrAttempts},
	} {
		m := Machine{stage: Announced, since: now}
		v := View{Self: "e", Desired: "v2", ConfigVersion: 5, MaxLoading: 1}
		a, err := m.Step(&v, Engine{Version: "v1", Fencing: c.fencing}, now.Add(AnnounceWait))
		require.ErrorIs(t, err, c.err, c.name)
		require.Equal(t, c.want, a.Fencing, c.name)
		if c.err == nil {
			again, err := m.Step(&v, Engine{Version: "v1"}, now.Add(AnnounceWait+orderTimeout))
			require.NoError(t, err, c.name)
			require.Equal(t, c.want+1, again.Fencing, "repeated to an engine that lost it")
		}
	}
}
