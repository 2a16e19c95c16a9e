// Package peer runs the membership and the configuration of one process over
// gRPC, the platform's log and its host list. It implements node.Config and
// node.Members; docs/design.md, sections 5 and 8.
package peer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/wait"
)

// HostList reads the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context) (hostlist.List, error)
}

// Options sets a peer.
type Options struct {
	ID, Role, Address, FailureDomain, Region string

	Log       logsvc.Log
	HostList  HostList
	Contacts  []string // addresses to try when the host list is unavailable
	Pool      *dial.Pool
	Seed      uint64
	Build     string
	Retention time.Duration // of the log, default 7 days
	Interval  time.Duration // between exchanges, default 1 s; scales all other intervals
}

// Defaults and factors of the interval.
const (
	defaultInterval  = time.Second
	defaultRetention = 7 * 24 * time.Hour
	listIntervals    = 600 // between reads of the host list, about 40 KB at 330 hosts
	retryIntervals   = 2   // after a failed read of the host list
	minCallTimeout   = time.Second
)

// Peer is one process among the others. It is safe for concurrent use.
type Peer struct {
	rpc.UnimplementedPeerServer
	o     Options
	start time.Time
	ctx   context.Context // of the running calls, set by Run

	mu       sync.Mutex
	machine  *membership.Machine
	stream   *config.Stream
	rand     *rand.Rand
	changed  chan struct{}
	fetching bool
	conflict int64 // version that a peer was found to hold with another document
	leaving  bool

	logDown    bool          // the last read failed
	pollFrom   time.Duration // last read of the log or news of a neighbour
	stuckAt    time.Duration // when the stream was first found stuck, 0 for not
	snapshotAt time.Duration // last attempt to write a snapshot, 0 for none

	listRead chan struct{} // closes after the first attempt to read the host list
	current  atomic.Pointer[node.ConfigState]
	ready    atomic.Bool
	members  atomic.Pointer[view]
}

// view is the members at one moment.
type view struct {
	all  []node.Member
	byID map[string]node.Member
}

// New returns a peer that knows nothing yet.
func New(o Options) *Peer {
	o.Interval = cmp.Or(o.Interval, defaultInterval)
	o.Retention = cmp.Or(o.Retention, defaultRetention)
	p := &Peer{o: o, start: time.Now(), stream: config.NewStream(), changed: make(chan struct{}), listRead: make(chan struct{}), ctx: context.Background()}
	p.rand = rand.New(rand.NewPCG(o.Seed, uint64(p.start.UnixNano())))
	p.machine = membership.New(membership.Options{
		Self: membership.Member{ID: o.ID, Role: o.Role, Address: o.Address, FailureDomain: o.FailureDomain, Region: o.Region, Incarnation: uint64(p.start.UnixMilli())},
		Rand: rand.New(rand.NewPCG(p.rand.Uint64(), p.rand.Uint64())), ExchangeInterval: o.Interval,
	})
	p.machine.SetSeeds(o.Contacts)
	p.publishMembers()
	return p
}

// now is the time of the state machines.
func (p *Peer) now() time.Duration { return time.Since(p.start) }

// Run drives the peer until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){p.tickLoop, p.listLoop, p.pollLoop, p.startLoop} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

func (p *Peer) tickLoop(ctx context.Context) {
	t := time.NewTicker(p.o.Interval)
	defer t.Stop()
	for {
		p.update(func(now time.Duration) []membership.Command { return p.machine.Tick(now) })
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// update changes the machine, publishes the members and runs the commands. The
// group it returns ends with their calls.
func (p *Peer) update(f func(now time.Duration) []membership.Command) *sync.WaitGroup {
	p.mu.Lock()
	cs := f(p.now())
	p.publishMembers()
	p.mu.Unlock()
	return p.run(cs)
}

func (p *Peer) publishMembers() {
	ms := p.machine.Members(p.now())
	v := &view{all: make([]node.Member, 0, len(ms)), byID: make(map[string]node.Member, len(ms))}
	for _, m := range ms {
		x := toNode(m)
		v.all = append(v.all, x)
		v.byID[m.ID] = x
	}
	p.members.Store(v)
}

func toNode(m membership.Member) node.Member {
	return node.Member{ID: m.ID, Role: m.Role, Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region,
		State: node.MemberState(m.State), Endpoints: m.Endpoints}
}

func (p *Peer) listLoop(ctx context.Context) {
	first := sync.OnceFunc(func() { close(p.listRead) })
	for {
		next := retryIntervals * p.o.Interval
		l, err := p.o.HostList.Hosts(ctx)
		if err == nil {
			hosts := make([]membership.Host, 0, len(l.Hosts))
			for _, h := range l.Hosts {
				hosts = append(hosts, membership.Host{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region, Leaving: h.Leaving})
			}
			p.update(func(now time.Duration) []membership.Command { p.machine.ApplyHostList(now, hosts); return nil })
			next = listIntervals * p.o.Interval
		} else if ctx.Err() == nil {
			log.Warn().Err(err).Msg("host list is unavailable; members stay as known through gossip")
		}
		first()
		if !wait.For(ctx, next+p.jitter(next/2)) {
			return
		}
	}
}

func (p *Peer) jitter(limit time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rand.Int64N(int64(limit) + 1))
}

// All implements node.Members.
func (p *Peer) All() []node.Member { return p.members.Load().all }

// Get implements node.Members.
func (p *Peer) Get(id string) (node.Member, bool) {
	if m, ok := p.members.Load().byID[id]; ok {
		return m, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.machine.Get(p.now(), id)
	return toNode(m), ok
}

// Leave announces that this process is leaving and waits until the neighbours
// have heard it or their time is up. Ready is false from then on.
func (p *Peer) Leave() {
	p.update(func(now time.Duration) []membership.Command {
		p.leaving = true
		return p.machine.Leave(now)
	}).Wait()
}

// SetEndpoints announces this process's endpoints: weight versions and leaving.
func (p *Peer) SetEndpoints(es []membership.Endpoint) {
	p.update(func(now time.Duration) []membership.Command { return p.machine.SetEndpoints(now, es) })
}

// SetUsage announces the demand of customers above half of their limit at this
// entry; it is called every 2 s.
func (p *Peer) SetUsage(us []membership.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machine.SetUsage(p.now(), us)
}

// Usage returns the announced demands of all entries with their ages.
func (p *Peer) Usage() []membership.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Usage(p.now())
}

// Ready reports whether the configuration in force is known to be the newest
// that could be learned at the start, and the process isn't leaving.
func (p *Peer) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready.Load() && !p.leaving
}
