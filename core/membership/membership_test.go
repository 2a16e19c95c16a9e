package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/membership/simnet"
)

const settle = 60 * time.Second

func newNet(t *testing.T, nodes int) *simnet.Net {
	const seed = 7
	t.Logf("seed %d", seed)
	n := simnet.New(simnet.Options{Seed: seed, Nodes: nodes, Domains: 12})
	n.Run(settle)
	return n
}

// seen counts the running nodes that hold the state of a node.
func seen(n *simnet.Net, of *simnet.Node, s membership.State) int {
	c := 0
	for _, x := range n.Nodes {
		if m, _ := x.M.Get(n.Now, of.ID); x.Up && x != of && m.State == s {
			c++
		}
	}
	return c
}

// everyone reports whether all running nodes see all running nodes live and all
// others gone.
func everyone(n *simnet.Net) func() bool {
	return func() bool {
		for _, y := range n.Nodes {
			want := membership.Gone
			if y.Up {
				want = membership.Live
			}
			if seen(n, y, want) < running(n)-1 {
				return false
			}
		}
		return true
	}
}

func running(n *simnet.Net) int {
	c := 0
	for _, x := range n.Nodes {
		if x.Up {
			c++
		}
	}
	return c
}

// Guards against deaths that stay unnoticed or are noticed late by some.
func TestDeadProcessIsSeenByAll(t *testing.T) {
	n := newNet(t, 60)
	x := n.Nodes[17]
	n.Stop(x)
	d, ok := n.RunUntil(100*time.Millisecond, time.Minute, func() bool { return seen(n, x, membership.Gone) == 59 })
	require.True(t, ok, "%d of 59 noticed", seen(n, x, membership.Gone))
	t.Logf("all saw the death after %v", d)
	n.Start(x)
	_, ok = n.RunUntil(time.Second, time.Minute, everyone(n))
	assert.True(t, ok, "the restarted process isn't live everywhere")
}

// Guards against suspicion of a process that only one other can't reach, which
// the indirect probes prevent, and of one that is slow but within the timeout.
func TestOneWayCutAndSlowHostAreNotSuspected(t *testing.T) {
	n := newNet(t, 60)
	cut := map[*simnet.Node]*simnet.Node{n.Nodes[0]: nil, n.Nodes[1]: nil, n.Nodes[2]: nil, n.Nodes[3]: nil}
	n.Cut = func(from, to *simnet.Node) bool {
		// The first that each of these writes to becomes unreachable for it.
		if y, ok := cut[from]; ok && y == nil {
			cut[from] = to
		}
		return cut[from] == to
	}
	slow := n.Nodes[30]
	slow.Slow = 300 * time.Millisecond
	for end := n.Now + 2*settle; n.Now < end; {
		n.Run(time.Second)
		for _, y := range n.Nodes {
			require.Zero(t, seen(n, y, membership.Suspect)+seen(n, y, membership.Gone), y.ID)
		}
	}
}

// unit is one machine that knows m0 to m7, with a clock in seconds.
type unit struct{ *membership.Machine }

func newUnit() unit {
	u := unit{membership.New(membership.Options{Self: membership.Member{ID: "x", Incarnation: 1}, Rand: rand.New(rand.NewPCG(7, 7))})}
	for i := range 8 {
		u.hear(0, membership.Member{ID: fmt.Sprint("m", i), Address: fmt.Sprint("a", i), State: membership.Live, Incarnation: 1})
	}
	return u
}

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (u unit) hear(s float64, updates ...membership.Member) membership.Message {
	return u.Receive(at(s), membership.Message{From: "m0", Incarnation: 1, Updates: updates})
}

func (u unit) state(s float64, id string) membership.State {
	m, _ := u.Get(at(s), id)
	return m.State
}

// Guards against a starved process, which hears others but runs late, that
// suspects them or cuts their time to refute short.
func TestLateTicksSuspendJudgement(t *testing.T) {
	u := newUnit()
	for s := range 20 {
		u.Tick(at(float64(s)))
	}
	u.hear(19, membership.Member{ID: "m1", State: membership.Suspect, Incarnation: 1})
	u.hear(60)
	assert.Empty(t, u.Failed(at(60), "m2"), "a failure that was noticed before the late tick")
	const rotation = 4 // out-neighbours among 9
	for s := range rotation + 1 {
		u.Tick(at(float64(60 + s)))
		u.hear(float64(60 + s))
		assert.Equal(t, s == rotation, len(u.Failed(at(60.5+float64(s)), "m2")) > 0, "%d ticks after the late one", s)
	}
	u.Tick(at(65))
	assert.Equal(t, membership.Suspect, u.state(65, "m1"), "the time of the suspect went on during the pause")
	for s := range 4 {
		u.hear(float64(66 + s))
		u.Tick(at(float64(66 + s)))
	}
	assert.Equal(t, membership.Gone, u.state(70, "m1"))
}

// Guards against a member that is gone while the platform's list has it and others
// reach it, and against one that the list lacks and that is kept.
func TestListedSuspectIsProbedAgain(t *testing.T) {
	for _, listed := range []bool{true, false} {
		u := newUnit()
		var hosts []membership.Host
		for i := range 8 {
			if id := fmt.Sprint("m", i); i > 0 {
				u.hear(0, membership.Member{ID: id, State: membership.Suspect, Incarnation: 1})
				hosts = append(hosts, membership.Host{ID: id})
			}
		}
		if listed {
			u.HostList(0, hosts)
		}
		probed := map[string]bool{}
		for s := range 12 {
			for _, c := range u.Tick(at(float64(s))) {
				if c.Kind == membership.IndirectProbe {
					probed[c.Target] = true
					u.Probed(at(float64(s)), c.Target, true)
				}
			}
			u.hear(float64(s))
		}
		assert.Equal(t, listed, len(probed) > 0, "listed: %t", listed)
		want := membership.Gone
		if listed {
			want = membership.Suspect
		}
		for i := 1; i < 8; i++ {
			assert.Equal(t, want, u.state(12, fmt.Sprint("m", i)), "listed: %t", listed)
		}
	}
}

// Guards against members that missed an update and never get it.
func TestAllMembersAreRepeated(t *testing.T) {
	u := newUnit()
	repeated := map[string]bool{}
	for s := range 200 {
		for _, c := range u.Tick(at(float64(s))) {
			for _, x := range c.Message.Updates {
				if s > 100 && x.Address != "" {
					repeated[x.ID] = true
				}
			}
		}
	}
	assert.Len(t, repeated, 8)
}

// Guards against a process that hands out more snapshots at a time than its limit.
func TestGrantsAreLimited(t *testing.T) {
	u := newUnit()
	for range 4 {
		require.True(t, u.Grant())
	}
	require.False(t, u.Grant())
	u.Release()
	assert.True(t, u.Grant())
}

// Guards against a process that hears from nobody and judges or spreads verdicts.
func TestIsolatedProcessJudgesNobody(t *testing.T) {
	u := newUnit()
	u.Merge(0, nil)
	u.hear(0, membership.Member{ID: "m1", State: membership.Suspect, Incarnation: 1})
	for s := range 30 {
		for _, c := range u.Tick(at(float64(s))) {
			assert.NotEqual(t, membership.FetchMembers, c.Kind)
			for _, x := range c.Message.Updates {
				assert.False(t, s > 4 && x.State == membership.Suspect && x.ID != c.Target, "a verdict spreads after %d s", s)
			}
		}
		assert.Equal(t, s <= 4, len(u.Failed(at(float64(s)), "m2")) > 0, "after %d s", s)
		u.Probed(at(float64(s)), "m2", true)
		u.Probed(at(float64(s)), "m2", true)
	}
	assert.Equal(t, membership.Suspect, u.state(30, "m1"))
	u.hear(30)
	fetched := 0
	for s := 30.0; s < 34; s++ {
		for _, c := range u.Tick(at(s)) {
			if c.Kind == membership.FetchMembers {
				fetched++
			}
		}
		u.hear(s)
	}
	assert.Positive(t, fetched, "the members aren't fetched again")
	u.Merge(at(34), []membership.Member{{ID: "m1", Address: "a1", State: membership.Live, Incarnation: 1}})
	assert.Equal(t, membership.Live, u.state(34, "m1"), "its own verdict stands against the others'")
}

// Guards against a member that is gone at once because another process says so.
func TestGoneOfOthersIsDoubted(t *testing.T) {
	u := newUnit()
	gone := membership.Member{ID: "m1", State: membership.Gone, Incarnation: 1}
	for s := range 8 {
		u.Tick(at(float64(s)))
		u.hear(float64(s), gone)
		require.Equal(t, membership.Suspect, u.state(float64(s), "m1"), "after %d s", s)
	}
	u.hear(8, gone)
	assert.Equal(t, membership.Gone, u.state(8, "m1"))
	u.hear(9, membership.Member{ID: "m1", Address: "a1", State: membership.Live, Incarnation: 2})
	assert.Equal(t, membership.Live, u.state(9, "m1"))
}

// Guards against a resumed process that suspects others for its own lateness.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	n := newNet(t, 60)
	x := n.Nodes[9]
	x.Paused = n.Now + 90*time.Second
	n.Run(90 * time.Second)
	for range 60 {
		n.Run(time.Second)
		for _, y := range n.Nodes {
			m, _ := x.M.Get(n.Now, y.ID)
			require.True(t, y == x || m.State == membership.Live, "%s is %v at the resumed process", y.ID, m.State)
		}
	}
	_, ok := n.RunUntil(time.Second, settle, everyone(n))
	assert.True(t, ok, "the resumed process isn't live everywhere")
}

// Guards against a host list that removes members that still answer, or that
// keeps members that don't exist.
func TestWrongHostListChangesNoLiveMember(t *testing.T) {
	n := newNet(t, 30)
	ghost := membership.Host{ID: "ghost", Role: membership.RoleAgent, Address: "10.9.9.9:7000"}
	wrong := append(n.Hosts()[:10], ghost)
	wrong[3].Leaving = true
	for range 60 {
		for _, x := range n.Nodes {
			x.M.HostList(n.Now, wrong)
		}
		n.Run(time.Second)
		require.True(t, everyone(n)(), "a wrong list changed a live member")
	}
	for _, x := range n.Nodes {
		g, _ := x.M.Get(n.Now, ghost.ID)
		assert.Equal(t, membership.Gone, g.State, x.ID)
	}
}

// Guards against a flapping member that changes routing at each of its flaps.
func TestFlappingMemberStaysSuspectLonger(t *testing.T) {
	n := newNet(t, 20)
	x := n.Nodes[5]
	var shown []time.Duration
	for range 4 {
		x.Paused = n.Now + 14*time.Second
		n.Run(14 * time.Second)
		d, ok := n.RunUntil(100*time.Millisecond, 5*time.Minute, everyone(n))
		require.True(t, ok)
		shown = append(shown, d)
	}
	t.Logf("shown as suspect after the end of each pause for %v", shown)
	for i := 1; i < len(shown); i++ {
		assert.Greater(t, shown[i], shown[i-1]+shown[i-1]/2)
	}
}

// Guards against sides of a partition that don't merge, and against a side that
// loses its own members.
func TestRegionCutOffForAnHourMerges(t *testing.T) {
	n := newNet(t, 60)
	cut := true
	n.Cut = func(from, to *simnet.Node) bool {
		return cut && (n.Region(from) == "region-2") != (n.Region(to) == "region-2")
	}
	n.Run(time.Hour)
	a, b := n.Nodes[0], n.Nodes[59]
	require.NotEqual(t, n.Region(a), n.Region(b))
	assert.Len(t, a.M.Members(n.Now), 40)
	assert.Len(t, b.M.Members(n.Now), 20)
	cut = false
	before := sent(n)
	d, ok := n.RunUntil(time.Second, 30*time.Second, everyone(n))
	require.True(t, ok, "the two sides didn't merge within 30 s")
	rate := float64(sent(n)-before) / 60 / d.Seconds()
	t.Logf("merged after %v with %.1f messages a second for each process", d, rate)
	assert.Less(t, rate, maxStormRate)
}

func sent(n *simnet.Net) int {
	c := 0
	for _, x := range n.Nodes {
		c += x.Sent
	}
	return c
}

// maxStormRate bounds the messages a second for each process during events. The
// quiet rate is 2, and 2 KB/s allow 6 messages of the usual size.
const maxStormRate = 6.0

// Guards against a storm of messages or snapshots when a whole failure domain
// restarts at once.
func TestFailureDomainRestartIsNoStorm(t *testing.T) {
	n := newNet(t, 120)
	var domain []*simnet.Node
	for _, x := range n.Nodes {
		if n.Domain(x) == "domain-03" {
			domain = append(domain, x)
			n.Stop(x)
		}
	}
	n.Run(5 * time.Second)
	before := sent(n)
	for _, x := range domain {
		n.Start(x)
	}
	d, ok := n.RunUntil(time.Second, time.Minute, everyone(n))
	require.True(t, ok, "the domain isn't back")
	snapshots := 0
	for _, x := range n.Nodes {
		snapshots += x.Snapshots
		assert.LessOrEqual(t, x.Snapshots, 20, x.ID)
	}
	rate := float64(sent(n)-before) / 120 / d.Seconds()
	t.Logf("%d processes back after %v, %.1f messages a second for each process, %d snapshots", len(domain), d, rate, snapshots)
	assert.Less(t, rate, maxStormRate)
	for _, x := range domain {
		assert.True(t, x.M.Joined(), x.ID)
	}
}

// Guards against a process that was cut off from all others and declares them
// gone to the rest when it is back.
func TestIsolatedProcessDoesNotPoisonTheOthers(t *testing.T) {
	n := newNet(t, 40)
	x := n.Nodes[11]
	cut := true
	n.Cut = func(from, to *simnet.Node) bool { return cut && (from == x) != (to == x) }
	n.Run(5 * time.Minute)
	cut = false
	for range 60 {
		n.Run(time.Second)
		for _, y := range n.Nodes {
			if y != x {
				require.Zero(t, seen(n, y, membership.Gone)-b2i(goneAt(n, x, y)), y.ID)
			}
		}
	}
	assert.True(t, everyone(n)(), "not healed")
}

func goneAt(n *simnet.Net, at, of *simnet.Node) bool {
	m, _ := at.M.Get(n.Now, of.ID)
	return m.State == membership.Gone
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
