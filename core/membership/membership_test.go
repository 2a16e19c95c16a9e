package membership_test

import (
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
