// Package simnet runs many membership machines in virtual time, for tests and
// for the benchmark. Messages take a delay and may be cut in one direction;
// processes can be dead, slow or paused.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/membership"
)

// Options sets a network.
type Options struct {
	Seed    uint64
	Nodes   int
	Domains int           // failure domains, default 3
	Delay   time.Duration // one way, default 2 ms
	Timeout time.Duration // of an exchange, default 1 s; an indirect probe takes up to twice that
	// Size returns the bytes of an encoded message; nil counts messages only.
	Size func(membership.Message) int
	// SnapshotBytes returns the bytes of an encoded list of members.
	SnapshotBytes func([]membership.Member) int
	Machine       membership.Options // Self and Rand are set for each node
}

// Node is one process.
type Node struct {
	ID      string
	M       *membership.Machine
	Up      bool
	Paused  time.Duration // until then nothing runs
	Slow    time.Duration // extra time to handle a message
	Version int64         // of the configuration

	Sent, Received           int // messages: requests, answers and probes
	SentBytes, ReceivedBytes int
	Snapshots                int // handed out
	Refused                  int // snapshots refused
	CPU                      time.Duration

	self     membership.Member
	phase    time.Duration
	life     int
	pollFrom time.Duration
	fetching bool
}

// Net is the network.
type Net struct {
	Now   time.Duration
	Nodes []*Node
	// Cut reports whether messages from one node to another are lost.
	Cut func(from, to *Node) bool
	// LogVersion is the version at the log's tail, LogDown its outage.
	LogVersion int64
	LogDown    bool

	o      Options
	rand   *rand.Rand
	events events
	seq    int
	byAddr map[string]*Node
}

type event struct {
	at  time.Duration
	seq int
	f   func()
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
	startEpochMs   = 1_800_000_000_000 // realistic length of an incarnation number
)

// New returns a network whose nodes all run and have the host list.
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
	n := &Net{o: o, rand: rand.New(rand.NewPCG(o.Seed, 0)), Cut: func(_, _ *Node) bool { return false }, byAddr: map[string]*Node{}}
	for i := range o.Nodes {
		x := &Node{ID: fmt.Sprintf("host-%03d", i)}
		role := membership.RoleAgent
		if i%o.Nodes < o.Nodes*24/330 {
			role = membership.RoleEntry
		}
		x.self = membership.Member{ID: x.ID, Role: role, Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
			FailureDomain: fmt.Sprintf("domain-%02d", i%o.Domains), Region: fmt.Sprintf("region-%d", i%o.Domains*3/o.Domains)}
		n.Nodes = append(n.Nodes, x)
		n.byAddr[x.self.Address] = x
	}
	for _, x := range n.Nodes {
		n.Start(x)
	}
	return n
}

// Hosts returns the platform's list with all nodes.
func (n *Net) Hosts() []membership.Host {
	var hs []membership.Host
	for _, x := range n.Nodes {
		s := x.self
		hs = append(hs, membership.Host{ID: s.ID, Role: s.Role, Address: s.Address, FailureDomain: s.FailureDomain, Region: s.Region})
	}
	return hs
}

// Domain returns the index of a node's failure domain.
func (n *Net) Domain(x *Node) string { return x.self.FailureDomain }

// Region returns a node's region.
func (n *Net) Region(x *Node) string { return x.self.Region }

// Start starts or restarts a node without memory.
func (n *Net) Start(x *Node) {
	o := n.o.Machine
	o.Self = x.self
	o.Self.Incarnation = startEpochMs + uint64(n.Now.Milliseconds())
	o.Rand = rand.New(rand.NewPCG(n.rand.Uint64(), n.rand.Uint64()))
	x.M, x.Up, x.Version, x.fetching = membership.New(o), true, 0, false
	x.life++
	x.M.HostList(n.Now, n.Hosts())
	x.pollFrom = n.Now
	x.phase = time.Duration(n.rand.Int64N(int64(time.Second)))
	n.tick(x, x.life, n.Now+x.phase)
	n.poll(x, x.life)
}

// Stop ends a node without notice.
func (n *Net) Stop(x *Node) { x.Up = false; x.life++ }

// Run advances the virtual time.
func (n *Net) Run(d time.Duration) {
	end := n.Now + d
	for len(n.events) > 0 && n.events[0].at <= end {
		e := heap.Pop(&n.events).(event)
		n.Now = e.at
		e.f()
	}
	n.Now = end
}

// RunUntil advances the time in steps until the condition holds, and returns
// the time that it took, or false after the limit.
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

func (n *Net) at(t time.Duration, f func()) {
	n.seq++
	heap.Push(&n.events, event{t, n.seq, f})
}

// on runs f in a life of a node, after its pause.
func (n *Net) on(x *Node, life int, t time.Duration, f func()) {
	n.at(t, func() {
		switch {
		case !x.Up || x.life != life:
		case n.Now < x.Paused:
			n.on(x, life, x.Paused, f)
		default:
			start := time.Now()
			f()
			x.CPU += time.Since(start)
		}
	})
}

func (n *Net) tick(x *Node, life int, t time.Duration) {
	n.on(x, life, t, func() {
		n.Do(x, x.M.Tick(n.Now))
		n.tick(x, life, max(n.Now, t+time.Second))
	})
}

// Do runs commands of a node.
func (n *Net) Do(x *Node, cs []membership.Command) {
	for _, c := range cs {
		switch c.Kind {
		case membership.Exchange:
			n.exchange(x, c)
		case membership.IndirectProbe:
			n.indirect(x, c)
		case membership.FetchMembers:
			n.fetch(x, c)
		}
	}
}

func (n *Net) count(from, to *Node, bytes int) {
	from.Sent++
	to.Received++
	from.SentBytes += bytes
	to.ReceivedBytes += bytes
}

func (n *Net) size(m membership.Message) int {
	if n.o.Size == nil {
		return 0
	}
	return n.o.Size(m)
}

// call sends a request; serve runs at the target and returns the answer's
// bytes, done runs at the caller with the result.
func (n *Net) call(x, y *Node, bytes int, timeout time.Duration, serve func() int, done func(ok bool)) {
	life, ended := x.life, false
	end := func(ok bool) {
		if !ended {
			ended = true
			done(ok)
		}
	}
	n.on(x, life, n.Now+timeout, func() { end(false) })
	if y == nil || n.Cut(x, y) {
		x.Sent++
		x.SentBytes += bytes
		return
	}
	n.count(x, y, bytes)
	n.on(y, y.life, n.Now+n.o.Delay+y.Slow, func() {
		answer := serve()
		if answer < 0 || n.Cut(y, x) {
			return
		}
		n.count(y, x, answer)
		n.on(x, life, n.Now+n.o.Delay+x.Slow, func() { end(true) })
	})
}

func (n *Net) exchange(x *Node, c membership.Command) {
	var answer membership.Message
	y := n.byAddr[c.Address]
	n.call(x, y, n.size(c.Message), n.o.Timeout, func() int {
		answer = y.M.Receive(n.Now, c.Message)
		n.news(y, x, c.Message.ConfigVersion)
		return n.size(answer)
	}, func(ok bool) {
		if !ok {
			n.Do(x, x.M.Failed(n.Now, c.Target))
			return
		}
		n.Do(x, x.M.Answered(n.Now, c.Target, answer))
		n.news(x, y, answer.ConfigVersion)
	})
}

const probeBytes = 40

func (n *Net) indirect(x *Node, c membership.Command) {
	y, via := n.byAddr[c.Address], n.byAddr[c.ViaAddress]
	reported := false
	report := func(reached bool) {
		if !reported {
			reported = true
			x.M.Probed(n.Now, c.Target, reached)
		}
	}
	n.call(x, via, probeBytes, 2*n.o.Timeout, func() int {
		life := x.life
		n.call(via, y, probeBytes, n.o.Timeout, func() int { return probeBytes }, func(ok bool) {
			if n.Cut(via, x) {
				return
			}
			n.count(via, x, probeBytes)
			n.on(x, life, n.Now+n.o.Delay, func() { report(ok) })
		})
		return -1
	}, func(bool) { report(false) })
}

// snapshotTime is how long a process is busy with handing out a snapshot.
const snapshotTime = 50 * time.Millisecond

func (n *Net) fetch(x *Node, c membership.Command) {
	var members []membership.Member
	y := n.byAddr[c.Address]
	n.call(x, y, probeBytes, n.o.Timeout, func() int {
		if !y.M.Grant() {
			y.Refused++
			return probeBytes
		}
		n.on(y, y.life, n.Now+snapshotTime, y.M.Release)
		y.Snapshots++
		members = y.M.Snapshot()
		if n.o.SnapshotBytes == nil {
			return 0
		}
		return n.o.SnapshotBytes(members)
	}, func(bool) {
		if members == nil {
			x.M.FetchFailed(n.Now)
			return
		}
		x.M.Merge(n.Now, members)
	})
}

// news fetches a newer version from a peer.
func (n *Net) news(x, y *Node, version int64) {
	if version <= x.Version || x.fetching {
		return
	}
	x.fetching = true
	n.call(x, y, probeBytes, n.o.Timeout, func() int { return probeBytes }, func(ok bool) {
		x.fetching = false
		if ok {
			n.accept(x, y.Version)
		}
	})
}

func (n *Net) accept(x *Node, version int64) {
	if version <= x.Version {
		return
	}
	x.Version = version
	x.M.SetConfig(version, nil)
	x.pollFrom = n.Now
	n.Do(x, x.M.NotifyAll(n.Now))
}

func (n *Net) poll(x *Node, life int) {
	polls := membership.PollsLog(x.self, x.M.Members(n.Now))
	from := x.pollFrom
	n.on(x, life, from+membership.PollDelay(polls, time.Second, n.rand.Int64N), func() {
		if x.pollFrom == from {
			x.pollFrom = n.Now
			if !n.LogDown {
				n.accept(x, n.LogVersion)
			}
		}
		n.poll(x, life)
	})
}

// Role returns a node's role.
func (n *Net) Role(x *Node) string { return x.self.Role }

// PollSeconds returns the usual time between a node's reads of the log, with the
// wait of a poller's read, which this network leaves out.
func (n *Net) PollSeconds(x *Node) float64 {
	polls := membership.PollsLog(x.self, x.M.Members(n.Now))
	d := membership.PollDelay(polls, time.Second, func(limit int64) int64 { return limit / 2 })
	if polls {
		d += membership.TailWait * time.Second
	}
	return d.Seconds()
}

// Wait runs until the condition holds at all running nodes and returns the time
// it took, or the limit.
func (n *Net) Wait(step, limit time.Duration, done func(*Node) bool) time.Duration {
	d, _ := n.RunUntil(step, limit, func() bool {
		for _, x := range n.Nodes {
			if x.Up && !done(x) {
				return false
			}
		}
		return true
	})
	return d
}
