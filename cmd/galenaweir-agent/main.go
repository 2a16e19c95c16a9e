// Command galenaweir-agent runs beside an endpoint host.
package main

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/agent"
	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/directory"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/operator"
	_ "github.com/galenaweir/galenaweir/plugins"
	"github.com/galenaweir/galenaweir/process"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/storeclient"
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
	n, err := process.NewNode(s, node.RoleAgent)
	if err != nil {
		return err
	}
	p, secret := n.Peer, process.Secret(s)
	engine := &protocol.EngineByEndpoint{ProtocolAt: agent.ProtocolOf(p)}
	keeper := claimsvc.NewService(claimsvc.Options{ID: s.ID, Log: n.Log, Config: p, Members: p})
	contexts := agent.NewDirectory(agent.DirectoryOptions{ID: s.ID, Region: s.Region, Members: p, Pool: n.Pool, Shard: directory.DefaultOptions()})
	cache := agent.NewCache(agent.CacheOptions{
		Secret: secret, Engine: engine, Store: storeclient.New(storeclient.DefaultOptions()), Announce: contexts.Announce, Evicted: contexts.Evicted,
	})
	weights := agent.NewRollout(agent.RolloutOptions{
		ID: s.ID, Config: p, Engine: engine, Peers: &agent.GossipPeers{Members: p, Announcer: p}, Now: time.Now,
	})
	a := agent.New(agent.Options{
		ID: s.ID, CacheSecret: secret, SilenceLimit: n.Silence(), Config: p, Members: p, Engine: engine, Cache: cache,
		Directory: contexts, Gate: agent.NewGate(time.Now), Claims: keeper, ClaimClient: claimsvc.NewClient(p, n.Pool), Pool: n.Pool,
	})
	var l kernel.Lifecycle
	l.Add("connections", n.Connections())
	l.Add("operators", n.Operators(func() bool { return !a.Leaving() }))
	l.Add("claims", kernel.Hooks{OnDrain: func(context.Context) error {
		keeper.Close()
		return nil
	}})
	l.Add("server", n.Server(agent.ServerOptions(), func(r grpc.ServiceRegistrar) { rpc.RegisterAgentServer(r, a) }))
	l.Add("background", process.Background(stop, p.Run, keeper.Run, contexts.Run, cache.Run, weights.Run))
	l.Add("agent", kernel.Hooks{OnDrain: a.Drain})
	l.Add("membership", n.Membership())
	return n.Run(&l, drain, stop)
}
