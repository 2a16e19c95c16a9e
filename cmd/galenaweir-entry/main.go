// Command galenaweir-entry runs on the entry hosts, behind the platform's
// balancer.
package main

import (
	"context"
	"math/rand/v2"
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
	"github.com/galenaweir/galenaweir/peer"
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
	policy, err := kernel.New[routing.Policy]("routing.least_load")
	if err != nil {
		return err
	}
	pool := dial.New(insecure.NewCredentials())
	defer pool.Close()
	p := peer.New(peer.Options{
		ID: s.ID, Role: node.RoleEntry, Address: s.RPCAddress, FailureDomain: s.FailureDomain, Region: s.Region,
		Log: logsvc.New(s.LogAddress, timeout), HostList: hostlist.New(s.HostListAddress, timeout), Contacts: s.Peers, Pool: pool,
		Seed: rand.Uint64(), Build: process.Version, Retention: time.Duration(s.LogRetentionS) * time.Second,
	})
	srv, err := peer.Serve(s.RPCAddress, p)
	if err != nil {
		return err
	}
	defer srv.Stop()
	go p.Run(stop)
	e := entry.New(entry.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, CacheSecret: process.Secret(s),
		SilenceLimit: time.Duration(s.SilenceLimitMs) * time.Millisecond, MaxBodyBytes: s.MaxBodyBytes,
		Config: p, Members: p, Pool: pool, Routing: policy, Seed: uint64(time.Now().UnixNano()),
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
	closeOperators, err := process.ServeOperators(s.OperatorAddress, func() bool { return p.Ready() && e.Ready() })
	if err != nil {
		return err
	}
	defer closeOperators()
	log.Info().Str("caller_address", s.CallerAddress).Msg("entry started")
	<-drain.Done()
	p.Leave()
	ctx, cancel := context.WithTimeout(stop, time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	return e.Drain(ctx)
}
