// Command galenaweir-agent runs beside an endpoint host.
package main

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/agent"
	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/directory"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/operator"
	"github.com/galenaweir/galenaweir/peer"
	_ "github.com/galenaweir/galenaweir/plugins"
	"github.com/galenaweir/galenaweir/process"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/storeclient"
	"github.com/galenaweir/galenaweir/tlsconf"
)

func main() {
	s := process.Parse("galenaweir-agent", operator.AddCommands)
	if err := run(s); err != nil {
		log.Error().Err(err).Msg("agent ended")
		os.Exit(1)
	}
}

func run(s settings.Settings) error {
	drain, stop := process.Signals()
	timeout := time.Duration(s.LogTimeoutMs) * time.Millisecond
	creds, err := tlsconf.Peers(s.TLS)
	if err != nil {
		return err
	}
	pool := dial.New(creds)
	defer pool.Close()
	p := peer.New(peer.Options{
		ID: s.ID, Role: node.RoleAgent, Address: s.RPCAddress, FailureDomain: s.FailureDomain, Region: s.Region,
		Log: logsvc.New(s.LogAddress, timeout), HostList: hostlist.New(s.HostListAddress, timeout), Contacts: s.Peers, Pool: pool,
		Seed: rand.Uint64(), Build: process.Version, Retention: time.Duration(s.LogRetentionS) * time.Second,
	})
	engine, err := kernel.New[protocol.Engine]("protocol.streaming")
	if err != nil {
		return err
	}
	keeper := claimsvc.NewService(claimsvc.Options{ID: s.ID, Log: logsvc.New(s.LogAddress, timeout), Config: p, Members: p})
	defer keeper.Close()
	go keeper.Run(stop)
	contexts := agent.NewDirectory(agent.DirectoryOptions{ID: s.ID, Region: s.Region, Members: p, Pool: pool, Shard: directory.DefaultOptions()})
	go contexts.Run(stop)
	cache := agent.NewCache(agent.CacheOptions{
		Secret: process.Secret(s), Engine: engine, Store: storeclient.New(storeclient.DefaultOptions()), Announce: contexts.Announce,
		Evicted: contexts.Evicted,
	})
	go cache.Run(stop)
	a := agent.New(agent.Options{
		ID: s.ID, CacheSecret: process.Secret(s), SilenceLimit: time.Duration(s.SilenceLimitMs) * time.Millisecond,
		Config: p, Members: p, Engine: engine, Cache: cache, Directory: contexts, Gate: agent.NewGate(time.Now),
		Claims: keeper, ClaimClient: claimsvc.NewClient(p, pool), Pool: pool,
	})
	opts := append(agent.ServerOptions(), grpc.Creds(creds))
	srv, err := peer.Serve(s.RPCAddress, p, opts, func(r grpc.ServiceRegistrar) { rpc.RegisterAgentServer(r, a) })
	if err != nil {
		return err
	}
	go p.Run(stop)
	weights := agent.NewRollout(agent.RolloutOptions{
		ID: s.ID, Config: p, Engine: engine, Peers: &agent.GossipPeers{Members: p, Announcer: p}, Now: time.Now,
	})
	go weights.Run(stop)
	operators, err := process.ServeOperators(s.OperatorAddress, func() bool { return p.Ready() && !a.Leaving() })
	if err != nil {
		return err
	}
	defer operators.Close()
	log.Info().Str("rpc_address", s.RPCAddress).Msg("agent started")
	<-drain.Done()
	log.Info().Msg("agent leaves")
	p.Leave()
	ctx, cancel := context.WithTimeout(stop, time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	err = a.Drain(ctx)
	process.StopGRPC(ctx, srv)
	return err
}
