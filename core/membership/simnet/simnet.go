// Package simnet simulates a network of membership machines in virtual time, for
// tests and for the benchmark. Messages are delayed and can be dropped in one
// direction; processes can be stopped, slow or paused.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/membership"
)

// Options configures a network.
type Options struct {
	Seed    uint64
	Nodes   int
	Domains int           // number of failure domains; default 3
	Delay   time.Duration // one-way message delay; default 2 ms
	Timeout time.Duration // timeout of an exchange; default 1 s. An indirect probe takes up to twice that
	// MessageSize returns the size of an encoded message in bytes. If nil, only the number
	// of messages is counted.
	MessageSize func(membership.Message) int
	// SnapshotSize returns the size of an encoded list of members in bytes. If nil,
	// the size counts as zero.
	SnapshotSize func([]membership.Member) int
	Machine      membership.Options // options of each machine, except Self and Rand
}

// Node is one simulated process.
type Node struct {
	ID              string
	Machine         *membership.Machine
	Running         bool
	PausedUntil     time.Duration // the process is paused until this time
	ProcessingDelay time.Duration // additional delay in handling a message
	ConfigVersion   int64         // configuration version in use

	Sent, Received           int // number of messages: requests, answers and probes
	SentBytes, ReceivedBytes int
	SnapshotsSent            int // snapshots sent to other nodes
	SnapshotsRefused         int // snapshot requests refused
	CPUTime                  time.Duration

	self           membership.Member
	tickPhase      time.Duration
	run            int           // incremented by each start and stop, to discard older events
	pollBase       time.Duration // time of the last read of the log or of the last newer version
	fetchingConfig bool
}

// Net is a simulated network.
type Net struct {
	Now   time.Duration
	Nodes []*Node
	// Drop reports whether messages from one node to another are dropped.
	Drop func(from, to *Node) bool
	// LogVersion is the configuration version at the tail of the configuration
	// stream, which is stored in the log.
	LogVersion int64
	// LogDown makes the log unavailable.
	LogDown bool

	opts      Options
	rand      *rand.Rand
	events    events
	seq       int
	byAddress map[string]*Node
}

type event struct {
	at     time.Duration
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Defaults of the options.
const (
	defaultDomains = 3
	defaultDelay   = 2 * time.Millisecond
	defaultTimeout = time.Second
	startEpochMs   = 1_800_000_000_000 // incarnations start here to have a realistic encoded length
)

// New returns a network in which all nodes are running and have the host list.
func New(o Options) *Net {
	if o.Domains == 0 {
		o.Domains = defaultDomains
	}
	if o.Delay == 0 {
		o.Delay = defaultDelay
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	n := &Net{opts: o, rand: rand.New(rand.NewPCG(o.Seed, 0)), Drop: func(_, _ *Node) bool { return false }, byAddress: map[string]*Node{}}
	for i := range o.Nodes {
		node := &Node{ID: fmt.Sprintf("host-%03d", i)}
		role := membership.RoleAgent
		if i%o.Nodes < o.Nodes*24/330 { // the proportion of entries in the target deployment
			role = membership.RoleEntry
		}
		node.self = membership.Member{ID: node.ID, Role: role, Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			FailureDomain: fmt.Sprintf("domain-%02d", i%o.Domains), Region: fmt.Sprintf("region-%d", i%o.Domains*3/o.Domains)}
		n.Nodes = append(n.Nodes, node)
		n.byAddress[node.self.Address] = node
	}
	for _, node := range n.Nodes {
		n.Start(node)
	}
	return n
}

// HostList returns a host list of the platform with all nodes.
func (n *Net) HostList() []membership.Host {
	var hs []membership.Host
	for _, node := range n.Nodes {
		s := node.self
		hs = append(hs, membership.Host{ID: s.ID, Role: s.Role, Address: s.Address, FailureDomain: s.FailureDomain, Region: s.Region})
	}
	return hs
}

// FailureDomain returns a node's failure domain.
func (n *Net) FailureDomain(node *Node) string { return node.self.FailureDomain }

// Region returns a node's region.
func (n *Net) Region(node *Node) string { return node.self.Region }

// Start starts or restarts a node without any earlier state.
func (n *Net) Start(node *Node) {
	o := n.opts.Machine
	o.Self = node.self
	o.Self.Incarnation = startEpochMs + uint64(n.Now.Milliseconds())
	o.Rand = rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64()))
	node.Machine, node.Running, node.ConfigVersion, node.fetchingConfig = membership.New(o), true, 0, false
	node.run++
	node.Machine.ApplyHostList(n.Now, n.HostList())
	node.pollBase = n.Now
	node.tickPhase = time.Duration(n.rand.Int64N(int64(time.Second)))
	n.scheduleTick(node, node.run, n.Now+node.tickPhase)
	n.schedulePoll(node, node.run)
}

// Stop stops a node as a crash does, without announcing it.
func (n *Net) Stop(node *Node) { node.Running = false; node.run++ }

// Run advances the virtual time.
func (n *Net) Run(d time.Duration) {
	end := n.Now + d
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(event)
		n.Now = e.at
		e.action()
	}
	n.Now = end
}

// RunUntil advances the virtual time in steps until the condition holds or the limit
// is reached. It returns the elapsed time and whether the condition holds.
func (n *Net) RunUntil(step, limit time.Duration, done func() bool) (time.Duration, bool) {
	start := n.Now
	for n.Now-start < limit {
		if done() {
			return n.Now - start, true
		}
		n.Run(step)
	}
	return n.Now - start, done()
}

func (n *Net) schedule(t time.Duration, action func()) {
	n.seq++
	heap.Push(&n.events, event{t, n.seq, action})
}

// scheduleOn schedules an action on a node. It is delayed while the node is paused
// and discarded if the node has been stopped or restarted since.
func (n *Net) scheduleOn(node *Node, run int, t time.Duration, action func()) {
	n.schedule(t, func() {
		switch {
		case !node.Running || node.run != run:
		case n.Now < node.PausedUntil:
			n.scheduleOn(node, run, node.PausedUntil, action)
		default:
			start := time.Now()
			action()
			node.CPUTime += time.Since(start)
		}
	})
}

func (n *Net) scheduleTick(node *Node, run int, t time.Duration) {
	n.scheduleOn(node, run, t, func() {
		n.RunCommands(node, node.Machine.Tick(n.Now))
		n.scheduleTick(node, run, max(n.Now, t+time.Second))
	})
}

// RunCommands runs the commands of a node.
func (n *Net) RunCommands(node *Node, cs []membership.Command) {
	for _, c := range cs {
		switch c.Kind {
		case membership.Exchange:
			n.exchange(node, c)
		case membership.IndirectProbe:
			n.indirectProbe(node, c)
		case membership.FetchMembers:
			n.fetchMembers(node, c)
		}
	}
}

func (n *Net) countMessage(from, to *Node, bytes int) {
	from.Sent++
	to.Received++
	from.SentBytes += bytes
	to.ReceivedBytes += bytes
}

func (n *Net) messageSize(m membership.Message) int {
	if n.opts.MessageSize == nil {
		return 0
	}
	return n.opts.MessageSize(m)
}

// call simulates a request. serve runs at the target and returns the size of the
// answer in bytes, negative for no answer; onResult runs at the caller with the
// result.
func (n *Net) call(from, to *Node, bytes int, timeout time.Duration, serve func() int, onResult func(ok bool)) {
	run, ended := from.run, false
	finish := func(ok bool) {
		if !ended {
			ended = true
			onResult(ok)
		}
	}
	n.scheduleOn(from, run, n.Now+timeout, func() { finish(false) })
	if to == nil || n.Drop(from, to) {
		from.Sent++
		from.SentBytes += bytes
		return
	}
	n.countMessage(from, to, bytes)
	n.scheduleOn(to, to.run, n.Now+n.opts.Delay+to.ProcessingDelay, func() {
		answerBytes := serve()
		if answerBytes < 0 || n.Drop(to, from) {
			return
		}
		n.countMessage(to, from, answerBytes)
		n.scheduleOn(from, run, n.Now+n.opts.Delay+from.ProcessingDelay, func() { finish(true) })
	})
}

func (n *Net) exchange(node *Node, c membership.Command) {
	var answer membership.Message
	target := n.byAddress[c.Address]
	n.call(node, target, n.messageSize(c.Message), n.opts.Timeout, func() int {
		answer = target.Machine.HandleMessage(n.Now, c.Message)
		n.fetchConfig(target, node, c.Message.ConfigVersion)
		return n.messageSize(answer)
	}, func(ok bool) {
		if !ok {
			n.RunCommands(node, node.Machine.HandleFailure(n.Now, c.Target))
			return
		}
		n.RunCommands(node, node.Machine.HandleAnswer(n.Now, c.Target, answer))
		n.fetchConfig(node, target, answer.ConfigVersion)
	})
}

// probeBytes is the assumed size of probes and of requests and answers whose encoded
// size isn't computed.
const probeBytes = 40

func (n *Net) indirectProbe(node *Node, c membership.Command) {
	target, prober := n.byAddress[c.Address], n.byAddress[c.ProberAddress]
	reported := false
	report := func(reached bool) {
		if !reported {
			reported = true
			node.Machine.HandleProbeResult(n.Now, c.Target, reached)
		}
	}
	n.call(node, prober, probeBytes, 2*n.opts.Timeout, func() int {
		run := node.run
		n.call(prober, target, probeBytes, n.opts.Timeout, func() int { return probeBytes }, func(ok bool) {
			if n.Drop(prober, node) {
				return
			}
			n.countMessage(prober, node, probeBytes)
			n.scheduleOn(node, run, n.Now+n.opts.Delay, func() { report(ok) })
		})
		return -1
	}, func(bool) { report(false) })
}

// snapshotDuration is the time that sending a snapshot takes.
const snapshotDuration = 50 * time.Millisecond

func (n *Net) fetchMembers(node *Node, c membership.Command) {
	var members []membership.Member
	target := n.byAddress[c.Address]
	n.call(node, target, probeBytes, n.opts.Timeout, func() int {
		if !target.Machine.AcquireSnapshotPermit() {
			target.SnapshotsRefused++
			return probeBytes
		}
		n.scheduleOn(target, target.run, n.Now+snapshotDuration, target.Machine.ReleaseSnapshotPermit)
		target.SnapshotsSent++
		members = target.Machine.Snapshot()
		if n.opts.SnapshotSize == nil {
			return 0
		}
		return n.opts.SnapshotSize(members)
	}, func(bool) {
		if members == nil {
			node.Machine.HandleFetchFailure(n.Now)
			return
		}
		node.Machine.MergeMembers(n.Now, members)
	})
}

// fetchConfig fetches the configuration from a peer if the version is newer.
func (n *Net) fetchConfig(node, peer *Node, version int64) {
	if version <= node.ConfigVersion || node.fetchingConfig {
		return
	}
	node.fetchingConfig = true
	n.call(node, peer, probeBytes, n.opts.Timeout, func() int { return probeBytes }, func(ok bool) {
		node.fetchingConfig = false
		if ok {
			n.applyConfig(node, peer.ConfigVersion)
		}
	})
}

func (n *Net) applyConfig(node *Node, version int64) {
	if version <= node.ConfigVersion {
		return
	}
	node.ConfigVersion = version
	node.Machine.SetConfig(version, nil)
	node.pollBase = n.Now
	n.RunCommands(node, node.Machine.NotifyNeighbours(n.Now))
}

func (n *Net) schedulePoll(node *Node, run int) {
	polls := membership.PollsConfigStream(node.self, node.Machine.Members(n.Now))
	from := node.pollBase
	n.scheduleOn(node, run, from+membership.ConfigPollDelay(polls, time.Second, n.rand.Int64N), func() {
		if node.pollBase == from {
			node.pollBase = n.Now
			if !n.LogDown {
				n.applyConfig(node, n.LogVersion)
			}
		}
		n.schedulePoll(node, run)
	})
}

// Role returns a node's role.
func (n *Net) Role(node *Node) string { return node.self.Role }

// PollSeconds returns the mean time between two reads of the log by a node. It
// includes the wait of a long poll, which this network doesn't simulate.
func (n *Net) PollSeconds(node *Node) float64 {
	polls := membership.PollsConfigStream(node.self, node.Machine.Members(n.Now))
	d := membership.ConfigPollDelay(polls, time.Second, func(limit int64) int64 { return limit / 2 })
	if polls {
		d += membership.LongPollIntervals * time.Second
	}
	return d.Seconds()
}

// RunUntilAll advances the virtual time until the condition holds at all running nodes
// or the limit is reached, and returns the elapsed time.
func (n *Net) RunUntilAll(step, limit time.Duration, done func(*Node) bool) time.Duration {
	d, _ := n.RunUntil(step, limit, func() bool {
		for _, node := range n.Nodes {
			if node.Running && !done(node) {
				return false
			}
		}
		return true
	})
	return d
}
