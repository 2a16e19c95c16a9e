// Package peer runs group membership and configuration distribution for one process,
// using gRPC, the platform's log and its host list. It implements node.Config and
// node.Members; see docs/design.md, sections 5 and 8.
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

// Options configures a Peer.
type Options struct {
	ID, Role, Address, FailureDomain, Region string

	Log              logsvc.Log
	HostList         HostList
	SeedAddresses    []string // peers that can be reached without the host list
	Pool             *dial.Pool
	RandomSeed       uint64
	Build            string
	LogRetention     time.Duration // retention period of the log; default 7 days
	ExchangeInterval time.Duration // between gossip exchanges; default 1 s; scales all other intervals
}

// Default options, and delays in multiples of the exchange interval.
const (
	defaultInterval        = time.Second
	defaultRetention       = 7 * 24 * time.Hour
	hostListIntervals      = 600         // between reads of the host list, which is about 40 KB for 330 hosts
	hostListRetryIntervals = 2           // delay after a failed read of the host list
	minCallTimeout         = time.Second // lower bound of callTimeout for the short exchange intervals of tests
)

// Peer is this process's view of the group. It is safe for concurrent use.
type Peer struct {
	rpc.UnimplementedPeerServer
	opts      Options
	startedAt time.Time
	ctx       context.Context // parent of all outgoing calls; replaced by Run

	mu              sync.Mutex
	machine         *membership.Machine
	configStream    *config.Stream
	agreement       config.PeerAgreement // of the peers, while the log is unusable
	rand            *rand.Rand
	configChanged   chan struct{}
	fetchingConfig  bool
	conflictVersion int64 // version for which a peer was found to hold a different document
	leaving         bool

	logUnavailable      bool          // the last read of the log failed
	lastConfigCheck     time.Duration // end of the last log read or configuration fetch from a peer
	stuckSince          time.Duration // when the stream was first found stuck at trimmed records; 0 if it is not
	lastSnapshotAttempt time.Duration // 0 if no snapshot was attempted

	hostListAttempted chan struct{} // closed after the first attempt to read the host list
	currentConfig     atomic.Pointer[node.ConfigState]
	ready             atomic.Bool
	members           atomic.Pointer[memberView]
}

// memberView is an immutable snapshot of the members.
type memberView struct {
	all  []node.Member
	byID map[string]node.Member
}

// New returns a peer that knows only itself and has no configuration.
func New(o Options) *Peer {
	o.ExchangeInterval = cmp.Or(o.ExchangeInterval, defaultInterval)
	o.LogRetention = cmp.Or(o.LogRetention, defaultRetention)
	p := &Peer{opts: o, startedAt: time.Now(), configStream: config.NewStream(), configChanged: make(chan struct{}), hostListAttempted: make(chan struct{}), ctx: context.Background()}
	p.rand = rand.New(rand.NewPCG(o.RandomSeed, uint64(p.startedAt.UnixNano())))
	p.machine = membership.New(membership.Options{
		Self: membership.Member{ID: o.ID, Role: o.Role, Address: o.Address, FailureDomain: o.FailureDomain, Region: o.Region, Incarnation: uint64(p.startedAt.UnixMilli())},
		Rand: rand.New(rand.NewPCG(p.rand.Uint64(), p.rand.Uint64())), ExchangeInterval: o.ExchangeInterval,
	})
	p.machine.SetSeeds(o.SeedAddresses)
	p.publishMembers()
	return p
}

// now returns the time since the start of the process, the clock of the membership
// state machine.
func (p *Peer) now() time.Duration { return time.Since(p.startedAt) }

// Run runs the peer until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){p.membershipLoop, p.hostListLoop, p.configPollLoop, p.readinessLoop} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

func (p *Peer) membershipLoop(ctx context.Context) {
	t := time.NewTicker(p.opts.ExchangeInterval)
	defer t.Stop()
	for {
		p.updateMembership(func(now time.Duration) []membership.Command { return p.machine.Tick(now) })
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateMembership applies f to the membership state machine, publishes the members
// and runs the resulting commands. The returned group is done when their calls have
// ended.
func (p *Peer) updateMembership(f func(now time.Duration) []membership.Command) *sync.WaitGroup {
	p.mu.Lock()
	commands := f(p.now())
	p.publishMembers()
	p.mu.Unlock()
	return p.runCommands(commands)
}

func (p *Peer) publishMembers() {
	ms := p.machine.Members(p.now())
	v := &memberView{all: make([]node.Member, 0, len(ms)), byID: make(map[string]node.Member, len(ms))}
	for _, m := range ms {
		x := toNodeMember(m)
		v.all = append(v.all, x)
		v.byID[m.ID] = x
	}
	p.members.Store(v)
}

func toNodeMember(m membership.Member) node.Member {
	return node.Member{ID: m.ID, Role: m.Role, Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region,
		State: node.MemberState(m.State), Endpoints: m.Endpoints}
}

func (p *Peer) hostListLoop(ctx context.Context) {
	markAttempted := sync.OnceFunc(func() { close(p.hostListAttempted) })
	for {
		delay := hostListRetryIntervals * p.opts.ExchangeInterval
		list, err := p.opts.HostList.Hosts(ctx)
		if err == nil {
			hosts := make([]membership.Host, 0, len(list.Hosts))
			for _, h := range list.Hosts {
				hosts = append(hosts, membership.Host{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region, Leaving: h.Leaving})
			}
			p.updateMembership(func(now time.Duration) []membership.Command { p.machine.ApplyHostList(now, hosts); return nil })
			delay = hostListIntervals * p.opts.ExchangeInterval
		} else if ctx.Err() == nil {
			log.Warn().Err(err).Msg("host list unavailable; keeping the members known through gossip")
		}
		markAttempted()
		if !wait.For(ctx, delay+p.jitter(delay/2)) {
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
	m, ok := p.machine.Get(p.now(), id) // also finds members that are gone, which memberView omits
	return toNodeMember(m), ok
}

// Leave announces that this process is leaving, and waits until each neighbour has
// received the announcement or its call has failed. Ready returns false from then on.
func (p *Peer) Leave() {
	p.updateMembership(func(now time.Duration) []membership.Command {
		p.leaving = true
		return p.machine.Leave(now)
	}).Wait()
}

// SetEndpoints announces this process's endpoints with their weight versions and
// whether they are leaving.
func (p *Peer) SetEndpoints(es []membership.Endpoint) {
	p.updateMembership(func(now time.Duration) []membership.Command { return p.machine.SetEndpoints(now, es) })
}

// SetDemands announces the demands that limits.Limiter.Report returned at this entry.
// The entry calls it every limits.ReportInterval.
func (p *Peer) SetDemands(demands []membership.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machine.SetDemands(p.now(), demands)
}

// Demands returns the demands announced by all entries, each with its age.
func (p *Peer) Demands() []membership.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Demands(p.now())
}

// Ready reports whether the current configuration is known to be the newest that was
// available at start-up, and the process isn't leaving.
func (p *Peer) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready.Load() && !p.leaving
}
