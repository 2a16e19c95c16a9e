// Command galenaweir-entry runs on the entry hosts, behind the platform's
// balancer.
package main

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/hostlist"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/peer"
	_ "github.com/galenaweir/galenaweir/plugins"
	"github.com/galenaweir/galenaweir/process"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/tlsconf"
	"github.com/galenaweir/galenaweir/wait"
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
	creds, err := tlsconf.Peers(s.TLS)
	if err != nil {
		return err
	}
	callerTLS, err := tlsconf.Callers(s.TLS)
	if err != nil {
		return err
	}
	pool := dial.New(creds)
	defer pool.Close()
	p := peer.New(peer.Options{
		ID: s.ID, Role: node.RoleEntry, Address: s.RPCAddress, FailureDomain: s.FailureDomain, Region: s.Region,
		Log: logsvc.New(s.LogAddress, timeout), HostList: hostlist.New(s.HostListAddress, timeout), Contacts: s.Peers, Pool: pool,
		Seed: rand.Uint64(), Build: process.Version, Retention: time.Duration(s.LogRetentionS) * time.Second,
	})
	srv, err := peer.Serve(s.RPCAddress, p, []grpc.ServerOption{grpc.Creds(creds)})
	if err != nil {
		return err
	}
	defer srv.Stop()
	go p.Run(stop)
	e := entry.New(entry.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, CacheSecret: process.Secret(s),
		SilenceLimit: time.Duration(s.SilenceLimitMs) * time.Millisecond, MaxBodyBytes: s.MaxBodyBytes,
		CallerTimeout: time.Duration(s.CallerTimeoutMs) * time.Millisecond,
		Config:        p, Members: p, Pool: pool, Claims: claimsvc.NewClient(p, pool),
		Contexts: &entry.DirectoryLookup{Region: s.Region, Members: p, Pool: pool}, Seed: rand.Uint64(),
	})
	go e.ShareUsage(stop, p)
	h, err := e.Handler()
	if err != nil {
		return err
	}
	callers, err := process.Serve(s.CallerAddress, h, callerTLS)
	if err != nil {
		return err
	}
	defer callers.Close()
	operators, err := process.ServeOperators(s.OperatorAddress, func() bool { return p.Ready() && e.Ready() })
	if err != nil {
		return err
	}
	defer operators.Close()
	log.Info().Str("caller_address", s.CallerAddress).Msg("entry started")
	<-drain.Done()
	e.BeginDrain()
	log.Info().Msg("entry leaves")
	p.Leave()
	wait.For(stop, time.Duration(s.DrainDelayMs)*time.Millisecond)
	ctx, cancel := context.WithTimeout(stop, time.Duration(s.DrainTimeoutMs)*time.Millisecond)
	defer cancel()
	if err := e.Drain(ctx); err != nil {
		return err
	}
	return callers.Shutdown(ctx)
}
