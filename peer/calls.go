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

// timeout bounds an exchange. An indirect probe takes up to twice as long.
func (p *Peer) timeout() time.Duration { return max(p.o.Interval, minCallTimeout) }

// run starts the commands' calls. The group it returns ends with them.
func (p *Peer) run(cs []membership.Command) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, c := range cs {
		switch c.Kind {
		case membership.Exchange:
			wg.Go(func() { p.exchange(c) })
		case membership.IndirectProbe:
			wg.Go(func() { p.probe(c) })
		case membership.FetchMembers:
			wg.Go(func() { p.fetchMembers(c) })
		}
	}
	return &wg
}

// call runs f with a client of the process at the address. A connection on which
// the call timed out is replaced, since it may have gone silent for good.
func (p *Peer) call(address string, timeout time.Duration, f func(context.Context, rpc.PeerClient) error) error {
	p.mu.Lock()
	parent := p.ctx
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	conn, err := p.o.Pool.Get(address)
	if err != nil {
		return err
	}
	err = f(ctx, rpc.NewPeerClient(conn))
	if status.Code(err) == codes.DeadlineExceeded && parent.Err() == nil {
		if _, e := p.o.Pool.Renew(address, conn); e != nil {
			log.Warn().Err(e).Str("address", address).Msg("connection can't be replaced")
		}
	}
	return err
}

func (p *Peer) exchange(c membership.Command) {
	answer, err := p.send(c.Address, EncodeMessage(c.Message), p.timeout())
	if err != nil {
		p.update(func(now time.Duration) []membership.Command { return p.machine.HandleFailure(now, c.Target) })
		return
	}
	p.update(func(now time.Duration) []membership.Command {
		return p.machine.HandleAnswer(now, c.Target, decodeMessage(answer))
	})
	p.news(c.Address, answer.GetConfigVersion(), answer.GetConfigHash())
}

func (p *Peer) send(address string, m *rpc.GossipMessage, timeout time.Duration) (*rpc.GossipMessage, error) {
	var answer *rpc.GossipMessage
	err := p.call(address, timeout, func(ctx context.Context, c rpc.PeerClient) (err error) {
		answer, err = c.Exchange(ctx, m)
		return err
	})
	return answer, err
}

func (p *Peer) probe(c membership.Command) {
	reached := false
	err := p.call(c.ProberAddress, 2*p.timeout(), func(ctx context.Context, cl rpc.PeerClient) error {
		r, err := cl.IndirectProbe(ctx, &rpc.IndirectProbeRequest{Target: c.Target, Address: c.Address})
		reached = r.GetReached()
		return err
	})
	p.update(func(now time.Duration) []membership.Command {
		p.machine.HandleProbeResult(now, c.Target, err == nil && reached)
		return nil
	})
}

func (p *Peer) fetchMembers(c membership.Command) {
	var members []membership.Member
	err := p.call(c.Address, p.timeout(), func(ctx context.Context, cl rpc.PeerClient) error {
		r, err := cl.FetchMembers(ctx, &rpc.FetchMembersRequest{})
		members = decodeMembers(r.GetMembers())
		return err
	})
	p.update(func(now time.Duration) []membership.Command {
		if err != nil {
			p.machine.HandleFetchFailure(now)
			return nil
		}
		p.machine.MergeMembers(now, members)
		return nil
	})
}

// Exchange implements rpc.PeerServer.
func (p *Peer) Exchange(_ context.Context, m *rpc.GossipMessage) (*rpc.GossipMessage, error) {
	var answer membership.Message
	p.update(func(now time.Duration) []membership.Command {
		answer = p.machine.HandleMessage(now, decodeMessage(m))
		return nil
	})
	if from, ok := p.Get(m.GetFrom()); ok {
		p.news(from.Address, m.GetConfigVersion(), m.GetConfigHash())
	}
	return EncodeMessage(answer), nil
}

// IndirectProbe implements rpc.PeerServer: it exchanges a message with the target
// for another process.
func (p *Peer) IndirectProbe(_ context.Context, r *rpc.IndirectProbeRequest) (*rpc.IndirectProbeReply, error) {
	p.mu.Lock()
	m := p.machine.ComposeMessage(p.now(), r.GetTarget())
	p.mu.Unlock()
	answer, err := p.send(r.GetAddress(), EncodeMessage(m), p.timeout())
	if err != nil {
		return &rpc.IndirectProbeReply{}, nil
	}
	p.update(func(now time.Duration) []membership.Command {
		return p.machine.HandleAnswer(now, r.GetTarget(), decodeMessage(answer))
	})
	return &rpc.IndirectProbeReply{Reached: answer.GetFrom() == r.GetTarget()}, nil
}

// FetchMembers implements rpc.PeerServer.
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
	s := &rpc.StatusReply{Id: p.o.ID, Role: p.o.Role, Ready: p.ready.Load() && !p.leaving, ConfigVersion: p.stream.Version(),
		Members: encodeMembers(p.machine.Members(p.now())), Build: p.o.Build}
	if st := p.stream.State(); st != nil {
		s.ConfigHash = st.Hash[:]
	}
	return s, nil
}
