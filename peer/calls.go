package peer

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/rpc"
)

// callTimeout bounds a single exchange. An indirect probe may take up to twice as long.
func (p *Peer) callTimeout() time.Duration { return max(p.opts.ExchangeInterval, minCallTimeout) }

// runCommands starts the calls of the commands. The returned group is done when all
// of them have ended.
func (p *Peer) runCommands(commands []membership.Command) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, c := range commands {
		switch c.Kind {
		case membership.Exchange:
			wg.Go(func() { p.exchange(c) })
		case membership.IndirectProbe:
			wg.Go(func() { p.indirectProbe(c) })
		case membership.FetchMembers:
			wg.Go(func() { p.fetchMembers(c) })
		}
	}
	return &wg
}

// call runs f with a client of the process at the address. If the call times out,
// its connection is replaced, because it may be broken without either side noticing.
func (p *Peer) call(address string, timeout time.Duration, f func(context.Context, rpc.PeerClient) error) error {
	p.mu.Lock()
	parent := p.ctx
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	conn, err := p.opts.Pool.Get(address)
	if err != nil {
		return err
	}
	err = f(ctx, rpc.NewPeerClient(conn))
	if status.Code(err) == codes.DeadlineExceeded && parent.Err() == nil {
		if _, e := p.opts.Pool.Replace(address, conn); e != nil {
			log.Warn().Err(e).Str("address", address).Msg("failed to replace the timed-out connection")
		}
	}
	return err
}

func (p *Peer) exchange(c membership.Command) {
	answer, err := p.sendMessage(c.Address, EncodeGossipMessage(c.Message), p.callTimeout())
	if err != nil {
		p.updateMembership(func(now time.Duration) []membership.Command { return p.machine.HandleFailure(now, c.Target) })
		return
	}
	p.updateMembership(func(now time.Duration) []membership.Command {
		return p.machine.HandleAnswer(now, c.Target, decodeGossipMessage(answer))
	})
	p.handlePeerVersion(c.Address, answer.GetConfigVersion(), answer.GetConfigHash())
}

func (p *Peer) sendMessage(address string, m *rpc.GossipMessage, timeout time.Duration) (*rpc.GossipMessage, error) {
	var answer *rpc.GossipMessage
	err := p.call(address, timeout, func(ctx context.Context, c rpc.PeerClient) (err error) {
		answer, err = c.Exchange(ctx, m)
		return err
	})
	return answer, err
}

func (p *Peer) indirectProbe(c membership.Command) {
	reached := false
	err := p.call(c.ProberAddress, 2*p.callTimeout(), func(ctx context.Context, cl rpc.PeerClient) error {
		r, err := cl.IndirectProbe(ctx, &rpc.IndirectProbeRequest{Target: c.Target, Address: c.Address})
		reached = r.GetReached()
		return err
	})
	p.updateMembership(func(now time.Duration) []membership.Command {
		p.machine.HandleProbeResult(now, c.Target, err == nil && reached)
		return nil
	})
}

func (p *Peer) fetchMembers(c membership.Command) {
	var members []membership.Member
	err := p.call(c.Address, p.callTimeout(), func(ctx context.Context, cl rpc.PeerClient) error {
		r, err := cl.FetchMembers(ctx, &rpc.FetchMembersRequest{})
		members = decodeMembers(r.GetMembers())
		return err
	})
	p.updateMembership(func(now time.Duration) []membership.Command {
		if err != nil {
			p.machine.HandleFetchFailure(now)
			return nil
		}
		p.machine.MergeMembers(now, members)
		return nil
	})
}

// Exchange implements rpc.PeerServer. It merges the received gossip message and
// returns this process's own.
func (p *Peer) Exchange(_ context.Context, m *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	var answer membership.Message
	p.updateMembership(func(now time.Duration) []membership.Command {
		answer = p.machine.HandleMessage(now, decodeGossipMessage(m))
		return nil
	})
	if from, ok := p.Get(m.GetFrom()); ok {
		p.handlePeerVersion(from.Address, m.GetConfigVersion(), m.GetConfigHash())
	}
	return EncodeGossipMessage(answer), nil
}

// IndirectProbe implements rpc.PeerServer. It exchanges a message with the target on
// behalf of another process.
func (p *Peer) IndirectProbe(_ context.Context, r *rpc.IndirectProbeRequest) (*rpc.IndirectProbeReply, error) {
	p.mu.Lock()
	m := p.machine.ComposeMessage(p.now(), r.GetTarget())
	p.mu.Unlock()
	answer, err := p.sendMessage(r.GetAddress(), EncodeGossipMessage(m), p.callTimeout())
	if err != nil {
		return &rpc.IndirectProbeReply{}, nil
	}
	p.updateMembership(func(now time.Duration) []membership.Command {
		return p.machine.HandleAnswer(now, r.GetTarget(), decodeGossipMessage(answer))
	})
	return &rpc.IndirectProbeReply{Reached: answer.GetFrom() == r.GetTarget()}, nil
}

// FetchMembers implements rpc.PeerServer. It limits the number of concurrent fetches,
// which bounds the load on this process when many processes restart at once.
func (p *Peer) FetchMembers(context.Context, *rpc.FetchMembersRequest) (*rpc.FetchMembersReply, error) {
	p.mu.Lock()
	granted := p.machine.AcquireSnapshotPermit()
	var ms []membership.Member
	if granted {
		ms = p.machine.Snapshot()
	}
	p.mu.Unlock()
	if !granted {
		return nil, status.Error(codes.ResourceExhausted, "too many processes are fetching the members; ask another one")
	}
	defer func() {
		p.mu.Lock()
		p.machine.ReleaseSnapshotPermit()
		p.mu.Unlock()
	}()
	return EncodeMembers(ms), nil
}

// Status implements rpc.PeerServer.
func (p *Peer) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &rpc.StatusReply{Id: p.opts.ID, Role: p.opts.Role, Ready: p.ready.Load() && !p.leaving, ConfigVersion: p.configStream.Version(),
		Members: encodeMembers(p.machine.Members(p.now())), Build: p.opts.Build}
	if st := p.configStream.State(); st != nil {
		s.ConfigHash = st.Hash[:]
	}
	return s, nil
}
