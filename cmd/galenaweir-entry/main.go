// Command galenaweir-entry runs on the entry hosts, behind the platform's
// balancer.
package main

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
	_ "github.com/galenaweir/galenaweir/core/routing/leastload"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/process"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/settings"
)

func main() {
	s := process.Parse("galenaweir-entry")
	if err := run(s); err != nil {
		log.Error().Err(err).Msg("entry ended")
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
	policy, err := kernel.New[routing.Policy]("routing.least_load")
	if err != nil {
		return err
	}
	pool := dial.New(insecure.NewCredentials())
	defer pool.Close()
	e := entry.New(entry.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, CacheSecret: process.Secret(s),
		SilenceLimit: time.Duration(s.SilenceLimitMs) * time.Millisecond, MaxBodyBytes: s.MaxBodyBytes,
		Config: cfg, Members: members, Pool: pool, Routing: policy,
		Contexts: &entry.DirectoryLookup{Region: s.Region, Members: members, Pool: pool}, Seed: uint64(time.Now().UnixNano()),
	})
	h, err := e.Handler()
	if err != nil {
		return err
	}
	closeCallers, err := process.Serve(s.CallerAddress, h)
	if err != nil {
		return err
	}
	defer closeCallers()
	closeOperators, err := process.ServeOperators(s.OperatorAddress, e.Ready)
	if err != nil {
		return err
	}
	defer closeOperators()
	log.Info().Str("caller_address", s.CallerAddress).Msg("entry started")
	<-drain.Done()
	ctx, cancel := context.WithTimeout(stop, time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	return e.Drain(ctx)
}
