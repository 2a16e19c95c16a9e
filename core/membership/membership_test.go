package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/membership/simnet"
)

const settleTime = 60 * time.Second

func newNet(t *testing.T, nodes int) *simnet.Net {
	const seed = 7
	t.Logf("seed %d", seed)
	n := simnet.New(simnet.Options{Seed: seed, Nodes: nodes, Domains: 12})
	n.Run(settleTime)
	return n
}

// countObservers returns the number of running nodes that see a node in a state.
func countObservers(n *simnet.Net, of *simnet.Node, s membership.State) int {
	c := 0
	for _, node := range n.Nodes {
		if m, _ := node.Machine.Get(n.Now, of.ID); node.Running && node != of && m.State == s {
			c++
		}
	}
	return c
}

// converged returns a condition that reports whether all running nodes see all running
// nodes as live and all others as gone.
func converged(n *simnet.Net) func() bool {
	return func() bool {
		for _, node := range n.Nodes {
			want := membership.Gone
			if node.Running {
				want = membership.Live
			}
			if countObservers(n, node, want) < runningCount(n)-1 {
				return false
			}
		}
		return true
	}
}

func runningCount(n *simnet.Net) int {
	c := 0
	for _, node := range n.Nodes {
		if node.Running {
			c++
		}
	}
	return c
}

// Guards against a dead process that some members don't detect or detect late.
func TestAllMembersDetectDeadProcess(t *testing.T) {
	n := newNet(t, 60)
	node := n.Nodes[17]
	n.Stop(node)
	d, ok := n.RunUntil(100*time.Millisecond, time.Minute, func() bool { return countObservers(n, node, membership.Gone) == 59 })
	require.True(t, ok, "%d of 59 members detected it", countObservers(n, node, membership.Gone))
	t.Logf("all members detected the death after %v", d)
	n.Start(node)
	_, ok = n.RunUntil(time.Second, time.Minute, converged(n))
	assert.True(t, ok, "the restarted process isn't live at all members")
}

// Guards against suspecting a process that only one other can't reach, which indirect
// probes prevent, or a process that is slow but answers within the timeout.
func TestOneWayCutAndSlowHostAreNotSuspected(t *testing.T) {
	n := newNet(t, 60)
	cut := map[*simnet.Node]*simnet.Node{n.Nodes[0]: nil, n.Nodes[1]: nil, n.Nodes[2]: nil, n.Nodes[3]: nil}
	n.Drop = func(from, to *simnet.Node) bool {
		// Each of these nodes permanently loses its messages to the first node
		// that it sends to.
		if first, ok := cut[from]; ok && first == nil {
			cut[from] = to
		}
		return cut[from] == to
	}
	slow := n.Nodes[30]
	slow.ProcessingDelay = 300 * time.Millisecond
	for end := n.Now + 2*settleTime; n.Now < end; {
		n.Run(time.Second)
		for _, node := range n.Nodes {
			require.Zero(t, countObservers(n, node, membership.Suspect)+countObservers(n, node, membership.Gone), node.ID)
		}
	}
}

// Guards against a resumed process that suspects others because of its own pause.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	n := newNet(t, 60)
	node := n.Nodes[9]
	node.PausedUntil = n.Now + 90*time.Second
	n.Run(90 * time.Second)
	for range 60 {
		n.Run(time.Second)
		for _, other := range n.Nodes {
			m, _ := node.Machine.Get(n.Now, other.ID)
			require.True(t, other == node || m.State == membership.Live, "%s is %v at the resumed process", other.ID, m.State)
		}
	}
	_, ok := n.RunUntil(time.Second, settleTime, converged(n))
	assert.True(t, ok, "the resumed process isn't live at all members")
}

// Guards against a wrong host list that removes members that still answer or keeps
// members that don't exist.
func TestWrongHostListChangesNoLiveMember(t *testing.T) {
	n := newNet(t, 30)
	nonexistent := membership.Host{ID: "ghost", Role: membership.RoleAgent, Address: "10.9.9.9:7000"}
	wrong := append(n.HostList()[:10], nonexistent)
	wrong[3].Leaving = true
	for range 60 {
		for _, node := range n.Nodes {
			node.Machine.ApplyHostList(n.Now, wrong)
		}
		n.Run(time.Second)
		require.True(t, converged(n)(), "a wrong list changed a live member")
	}
	for _, node := range n.Nodes {
		got, _ := node.Machine.Get(n.Now, nonexistent.ID)
		assert.Equal(t, membership.Gone, got.State, node.ID)
	}
}

// Guards against a flapping member that affects routing each time it returns.
func TestFlappingMemberIsSuspectForLonger(t *testing.T) {
	n := newNet(t, 20)
	node := n.Nodes[5]
	var suspectTimes []time.Duration
	for range 4 {
		node.PausedUntil = n.Now + 14*time.Second
		n.Run(14 * time.Second)
		d, ok := n.RunUntil(100*time.Millisecond, 5*time.Minute, converged(n))
		require.True(t, ok)
		suspectTimes = append(suspectTimes, d)
	}
	t.Logf("times as suspect after the end of each pause: %v", suspectTimes)
	for i := 1; i < len(suspectTimes); i++ {
		assert.Greater(t, suspectTimes[i], suspectTimes[i-1]+suspectTimes[i-1]/2)
	}
}

// Guards against the two sides of a partition not merging after it heals, and against
// a side that loses its own members.
func TestRegionCutOffForAnHourMerges(t *testing.T) {
	n := newNet(t, 60)
	cut := true
	n.Drop = func(from, to *simnet.Node) bool {
		return cut && (n.Region(from) == "region-2") != (n.Region(to) == "region-2")
	}
	n.Run(time.Hour)
	a, b := n.Nodes[0], n.Nodes[59]
	require.NotEqual(t, n.Region(a), n.Region(b))
	assert.Len(t, a.Machine.Members(n.Now), 40)
	assert.Len(t, b.Machine.Members(n.Now), 20)
	cut = false
	before := totalSent(n)
	d, ok := n.RunUntil(time.Second, 30*time.Second, converged(n))
	require.True(t, ok, "the two sides didn't merge within 30 s")
	rate := float64(totalSent(n)-before) / 60 / d.Seconds()
	t.Logf("merged after %v with %.1f messages per second and process", d, rate)
	assert.Less(t, rate, maxEventRate)
}

func totalSent(n *simnet.Net) int {
	c := 0
	for _, node := range n.Nodes {
		c += node.Sent
	}
	return c
}

// maxEventRate is the maximum number of messages per second and process during events.
// The normal rate is 2; the limit of 2 KB/s allows 6 messages of the usual size.
const maxEventRate = 6.0

// Guards against excessive messages or snapshots when a whole failure domain restarts
// at once.
func TestFailureDomainRestartLimitsTraffic(t *testing.T) {
	n := newNet(t, 120)
	var domain []*simnet.Node
	for _, node := range n.Nodes {
		if n.FailureDomain(node) == "domain-03" {
			domain = append(domain, node)
			n.Stop(node)
		}
	}
	n.Run(5 * time.Second)
	before := totalSent(n)
	for _, node := range domain {
		n.Start(node)
	}
	d, ok := n.RunUntil(time.Second, time.Minute, converged(n))
	require.True(t, ok, "the failure domain hasn't rejoined")
	snapshots := 0
	for _, node := range n.Nodes {
		snapshots += node.SnapshotsSent
		assert.LessOrEqual(t, node.SnapshotsSent, 20, node.ID)
	}
	rate := float64(totalSent(n)-before) / 120 / d.Seconds()
	t.Logf("%d processes rejoined after %v, %.1f messages per second and process, %d snapshots", len(domain), d, rate, snapshots)
	assert.Less(t, rate, maxEventRate)
	for _, node := range domain {
		assert.True(t, node.Machine.Joined(), node.ID)
	}
}

// Guards against a process that was isolated from all others and, after it reconnects,
// spreads that they are gone.
func TestIsolatedProcessDoesNotDeclareOthersGone(t *testing.T) {
	n := newNet(t, 40)
	node := n.Nodes[11]
	cut := true
	n.Drop = func(from, to *simnet.Node) bool { return cut && (from == node) != (to == node) }
	n.Run(5 * time.Minute)
	cut = false
	for range 60 {
		n.Run(time.Second)
		for _, other := range n.Nodes {
			if other != node {
				require.Zero(t, countObservers(n, other, membership.Gone)-boolToInt(seesGone(n, node, other)), other.ID)
			}
		}
	}
	assert.True(t, converged(n)(), "the membership hasn't converged")
}

func seesGone(n *simnet.Net, at, of *simnet.Node) bool {
	m, _ := at.Machine.Get(n.Now, of.ID)
	return m.State == membership.Gone
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
