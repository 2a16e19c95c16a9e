// Command galenaweir-agent runs beside an endpoint host. It admits requests to the
// host's endpoints and runs them there.
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
	s := process.ParseCommandLine("galenaweir-agent", operator.AddCommands)
	if err := run(s); err != nil {
		log.Error().Err(err).Msg("agent stopped with an error")
		os.Exit(1)
	}
}

func run(s settings.Settings) error {
	drain, stop := process.ShutdownSignals()
	n, err := process.NewNode(s, node.RoleAgent)
	if err != nil {
		return err
	}
	p, secret := n.Peer, process.CacheSecret(s)
	engines := &protocol.EngineByEndpoint{ProtocolAt: agent.NewProtocolLookup(p)}
	claimService := claimsvc.NewService(claimsvc.Options{ID: s.ID, Log: n.Log, Config: p, Members: p})
	contextDirectory := agent.NewContextDirectory(agent.DirectoryOptions{ID: s.ID, Region: s.Region, Members: p, Pool: n.Pool, Shard: directory.DefaultOptions()})
	cache := agent.NewCacheManager(agent.CacheOptions{
		Secret: secret, Engine: engines, Store: storeclient.New(storeclient.DefaultOptions()), OnContextLocation: contextDirectory.Announce, OnPiecesEvicted: contextDirectory.AnnounceEvictions,
	})
	weightRollout := agent.NewRolloutController(agent.RolloutOptions{
		ID: s.ID, Config: p, Engine: engines, Peers: &agent.GossipRolloutPeers{Members: p, Announcer: p}, Now: time.Now,
	})
	a := agent.New(agent.Options{
		ID: s.ID, CacheSecret: secret, SilenceLimit: n.SilenceLimit(), Config: p, Members: p, Engine: engines, Cache: cache,
		Directory: contextDirectory, Gate: agent.NewAdmissionGate(time.Now), ClaimService: claimService, ClaimClient: claimsvc.NewClient(p, n.Pool), Pool: n.Pool,
	})
	var l kernel.Lifecycle // starts components in this order, drains them in reverse order
	l.Add("connections", n.ConnectionHooks())
	l.Add("operators", n.OperatorHooks(func() bool { return !a.Leaving() }))
	l.Add("claims", kernel.Hooks{OnDrain: func(context.Context) error {
		claimService.Close()
		return nil
	}})
	l.Add("server", n.ServerHooks(agent.ServerOptions(), func(r grpc.ServiceRegistrar) { rpc.RegisterAgentServer(r, a) }))
	l.Add("background", process.BackgroundHooks(stop, p.Run, claimService.Run, contextDirectory.Run, cache.Run, weightRollout.Run))
	l.Add("agent", kernel.Hooks{OnDrain: a.Drain})
	l.Add("membership", n.MembershipHooks())
	return n.Run(&l, drain, stop)
}
