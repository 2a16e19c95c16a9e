package main

import (
	"errors"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/gateway"
	"github.com/galenaweir/galenaweir/platform"
	"github.com/galenaweir/galenaweir/process"
)

// settingsVariable is the environment variable that holds the path of the settings file.
const settingsVariable = "GALENAWEIR_SETTINGS"

// heapShare is the share of the host's memory that the Go runtime's soft memory limit is set
// to; above the limit, garbage is collected more often. The rest is left for stacks, buffers
// and the program itself.
const heapShare = 0.5

// forwardCommand is the "forward" subcommand, which forwards callers' requests to endpoints.
type forwardCommand struct {
	Settings string `long:"settings" env:"GALENAWEIR_SETTINGS" value-name:"FILE" description:"settings of a forwarding entry, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func addForwardCommand(p *flags.Parser) error {
	_, err := p.AddCommand("forward", "forward requests unchanged to endpoints", "Serves callers on the platform's hosts: forwards their requests unchanged to the endpoints listed in the platform's log.", &forwardCommand{})
	return err
}

// Execute implements flags.Commander.
func (c *forwardCommand) Execute([]string) error {
	if c.Settings == "" {
		return errors.New("no settings file: pass --settings or set " + settingsVariable)
	}
	s, err := gateway.LoadSettings(c.Settings)
	if err != nil || c.Check {
		return err
	}
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMb<<20)))
	}
	debug.SetGCPercent(50) // peak memory costs more than CPU time for garbage collection
	flush := process.LogToStdout(s.ID)
	logClient, engines := platform.NewLogClient(s.LogAddress), platform.NewEngineClient()
	drain, _ := process.ShutdownSignals()
	g := gateway.New(gateway.Options{
		Settings: s, Clock: gateway.Boottime, Seed: rand.Uint64(), HeaderCodec: platform.HeaderCodec{},
		Operators: logClient.OperatorFeed(), Endpoints: logClient.EndpointFeed(), GroupClient: logClient, EndpointControl: engines, StoreClient: engines, NamingStore: logClient, StreamStore: logClient, PartStore: logClient,
	})
	go c.reloadOnSIGHUP(g)
	err = g.Run(drain)
	return errors.Join(err, flush())
}

// reloadOnSIGHUP reloads the settings on each SIGHUP.
func (c *forwardCommand) reloadOnSIGHUP(g *gateway.Gateway) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		s, err := gateway.LoadSettings(c.Settings)
		if err != nil {
			log.Error().Str("event", "settings_rejected").Err(err).Msg("cannot load the settings; the previous ones stay in force")
			continue
		}
		g.Reload(s)
	}
}
