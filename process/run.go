package process

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/peer"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/tlsconf"
)

// Node holds what every program needs: the connections to other processes, the
// platform's log, and the peer, which provides the configuration and the members.
type Node struct {
	Settings settings.Settings
	Creds    credentials.TransportCredentials
	Pool     *dial.Pool
	Log      logsvc.Log
	Peer     *peer.Peer
}

// NewNode returns a node with the given role. It starts nothing.
func NewNode(s settings.Settings, role string) (*Node, error) {
	creds, err := tlsconf.PeerCredentials(s.TLS)
	if err != nil {
		return nil, err
	}
	timeout := time.Duration(s.LogTimeoutMs) * time.Millisecond
	n := &Node{Settings: s, Creds: creds, Pool: dial.New(creds), Log: logsvc.New(s.LogAddress, timeout)}
	n.Peer = peer.New(peer.Options{
		ID: s.ID, Role: role, Address: s.RPCAddress, FailureDomain: s.FailureDomain, Region: s.Region, Log: n.Log,
		HostList: hostlist.New(s.HostListAddress, timeout), SeedAddresses: s.Peers, Pool: n.Pool, RandomSeed: rand.Uint64(),
		Build: Version, LogRetention: time.Duration(s.LogRetentionS) * time.Second,
	})
	return n, nil
}

// SilenceLimit returns the silence limit from the settings.
func (n *Node) SilenceLimit() time.Duration {
	return time.Duration(n.Settings.SilenceLimitMs) * time.Millisecond
}

// ConnectionHooks returns hooks that close the connections to other processes during
// cleanup.
func (n *Node) ConnectionHooks() kernel.Hooks {
	return kernel.Hooks{OnClean: func() error {
		n.Pool.Close()
		return nil
	}}
}

// OperatorHooks returns hooks that serve metrics, health and readiness. Components drain
// in reverse order, so one that is added early stays available during the drain.
func (n *Node) OperatorHooks(ready func() bool) kernel.Hooks {
	var s *Server
	return kernel.Hooks{
		OnStart: func(context.Context) (err error) {
			s, err = ServeOperatorHTTP(n.Settings.OperatorAddress, func() bool { return n.Peer.Ready() && ready() })
			return err
		},
		OnDrain: func(context.Context) error {
			s.Close()
			return nil
		},
	}
}

// ServerHooks returns hooks that serve gRPC to the other processes.
func (n *Node) ServerHooks(opts []grpc.ServerOption, register ...func(grpc.ServiceRegistrar)) kernel.Hooks {
	var s *grpc.Server
	return kernel.Hooks{
		OnStart: func(context.Context) (err error) {
			s, err = peer.Serve(n.Settings.RPCAddress, n.Peer, append(opts, grpc.Creds(n.Creds)), register...)
			return err
		},
		OnDrain: func(ctx context.Context) error {
			StopGRPC(ctx, s)
			return nil
		},
	}
}

// BackgroundHooks returns hooks that run each loop in its own goroutine until stop is
// cancelled.
func BackgroundHooks(stop context.Context, loops ...func(context.Context)) kernel.Hooks {
	return kernel.Hooks{OnStart: func(context.Context) error {
		for _, f := range loops {
			go f(stop)
		}
		return nil
	}}
}

// MembershipHooks returns hooks that announce during the drain that this process is
// leaving.
func (n *Node) MembershipHooks() kernel.Hooks {
	return kernel.Hooks{OnDrain: func(context.Context) error {
		n.Peer.Leave()
		return nil
	}}
}

// Run starts the components, waits until the context drain is cancelled, and drains
// the components in reverse order. Cancelling stop, or exceeding the drain timeout,
// aborts the drain.
func (n *Node) Run(l *kernel.Lifecycle, drain, stop context.Context) error {
	if err := l.Start(stop); err != nil {
		return err
	}
	log.Info().Str("rpc_address", n.Settings.RPCAddress).Str("caller_address", n.Settings.CallerAddress).Msg("started")
	<-drain.Done()
	log.Info().Msg("leaving")
	ctx, cancel := context.WithTimeout(stop, time.Duration(n.Settings.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	return l.Drain(ctx)
}
