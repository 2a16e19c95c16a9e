// Command galenaweir-entry serves callers on the entry hosts, behind the platform's load
// balancer.
package main

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/node"
	_ "github.com/galenaweir/galenaweir/plugins"
	"github.com/galenaweir/galenaweir/process"
	"github.com/galenaweir/galenaweir/settings"
	"github.com/galenaweir/galenaweir/tlsconf"
	"github.com/galenaweir/galenaweir/wait"
)

func main() {
	s := process.ParseCommandLine("galenaweir-entry", addForwardCommand, addStateCommand, addExplainCommand)
	if err := run(s); err != nil {
		log.Error().Err(err).Msg("entry ended")
		os.Exit(1)
	}
}

func run(s settings.Settings) error {
	drain, stop := process.ShutdownSignals()
	n, err := process.NewNode(s, node.RoleEntry)
	if err != nil {
		return err
	}
	p := n.Peer
	e := entry.New(entry.Options{
		ID: s.ID, FailureDomain: s.FailureDomain, CacheSecret: process.CacheSecret(s), SilenceLimit: n.SilenceLimit(),
		MaxBodyBytes: s.MaxBodyBytes, CallerTimeout: time.Duration(s.CallerTimeoutMs) * time.Millisecond,
		Config: p, Members: p, Pool: n.Pool, Claims: claimsvc.NewClient(p, n.Pool),
		ContextLookup: &entry.DirectoryLookup{Region: s.Region, Members: p, Pool: n.Pool}, Seed: rand.Uint64(),
	})
	var l kernel.Lifecycle
	l.Add("connections", n.ConnectionHooks())
	l.Add("operators", n.OperatorHooks(e.Ready))
	l.Add("server", n.ServerHooks(nil))
	l.Add("background", process.BackgroundHooks(stop, p.Run, func(ctx context.Context) { e.RunDemandExchange(ctx, p) }))
	l.Add("callers", callerHooks(s, e))
	l.Add("entry", kernel.Hooks{OnDrain: e.Drain})
	l.Add("balancer", kernel.Hooks{OnDrain: func(context.Context) error {
		wait.For(stop, time.Duration(s.DrainDelayMs)*time.Millisecond)
		return nil
	}})
	l.Add("membership", n.MembershipHooks())
	l.Add("readiness", kernel.Hooks{OnDrain: func(context.Context) error {
		e.BeginDrain()
		return nil
	}})
	return n.Run(&l, drain, stop)
}

// callerHooks returns the hooks of the server for callers. Draining waits until all responses
// have been sent.
func callerHooks(s settings.Settings, e *entry.Entry) kernel.Hooks {
	var srv *process.Server
	return kernel.Hooks{
		OnStart: func(context.Context) error {
			h, err := e.Handler()
			if err != nil {
				return err
			}
			conf, err := tlsconf.CallerConfig(s.TLS)
			if err != nil {
				return err
			}
			srv, err = process.Serve(s.CallerAddress, h, conf)
			return err
		},
		OnDrain: func(ctx context.Context) error { return srv.Shutdown(ctx) },
	}
}
