// Command galenaweir-agent runs beside an endpoint host.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/agent"
	"github.com/galenaweir/galenaweir/core/directory"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/operator"
	"github.com/galenaweir/galenaweir/process"
	"github.com/galenaweir/galenaweir/protocol"
	_ "github.com/galenaweir/galenaweir/protocol/streaming"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
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
	timeout := time.Duration(s.LogTimeoutMs) * time.Millisecond
	cfg := node.NewLogConfig(logsvc.New(s.LogAddress, timeout))
	members := node.NewListMembers(hostlist.New(s.HostListAddress, timeout))
	go cfg.Run(stop)
	go members.Run(stop)
	engine, err := kernel.New[protocol.Engine]("protocol.streaming")
	if err != nil {
		return err
	}
	pool := dial.New(insecure.NewCredentials())
	defer pool.Close()
	contexts := agent.NewDirectory(agent.DirectoryOptions{ID: s.ID, Region: s.Region, Members: members, Pool: pool, Shard: directory.DefaultOptions()})
	go contexts.Run(stop)
	cache := agent.NewCache(agent.CacheOptions{
		Secret: process.Secret(s), Engine: engine, Store: storeclient.New(storeclient.DefaultOptions()), Announce: contexts.Announce,
		Evicted: contexts.Evicted,
	})
	go cache.Run(stop)
	a := agent.New(agent.Options{
		ID: s.ID, CacheSecret: process.Secret(s), SilenceLimit: time.Duration(s.SilenceLimitMs) * time.Millisecond,
		Config: cfg, Members: members, Engine: engine, Cache: cache, Directory: contexts, Gate: agent.NewGate(time.Now),
	})
	l, err := net.Listen("tcp", s.RPCAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w; free the port or change rpc_address", s.RPCAddress, err)
	}
	srv := grpc.NewServer()
	rpc.RegisterAgentServer(srv, a)
	go func() { _ = srv.Serve(l) }()
	closeOperators, err := process.ServeOperators(s.OperatorAddress, func() bool { return cfg.Current() != nil && !a.Leaving() })
	if err != nil {
		return err
	}
	defer closeOperators()
	log.Info().Str("rpc_address", s.RPCAddress).Msg("agent started")
	<-drain.Done()
	ctx, cancel := context.WithTimeout(stop, time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	err = a.Drain(ctx)
	srv.Stop()
	return err
}
