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

// settingsVariable holds the path of the settings file.
const settingsVariable = "GALENAWEIR_SETTINGS"

// heapShare is the part of the host's memory that the heap may take before it is
// collected more often; the rest is for stacks, buffers and the program itself.
const heapShare = 0.5

// forwardCommand forwards callers' requests on the platform.
type forwardCommand struct {
	Settings string `long:"settings" env:"GALENAWEIR_SETTINGS" value-name:"FILE" description:"settings of a forwarding entry, JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func addForward(p *flags.Parser) error {
	_, err := p.AddCommand("forward", "forward requests unchanged to endpoints", "Serves callers on the platform's hosts: forwards their requests unchanged to the endpoints that the platform's log lists.", &forwardCommand{})
	return err
}

// Execute implements flags.Commander.
func (c *forwardCommand) Execute([]string) error {
	if c.Settings == "" {
		return errors.New("no settings: give --settings or set " + settingsVariable)
	}
	s, err := gateway.LoadSettings(c.Settings)
	if err != nil || c.Check {
		return err
	}
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMb<<20)))
	}
	debug.SetGCPercent(50) // memory at its peak is dearer than the collector's time
	flush := process.LogToStdout(s.ID)
	store, engines := platform.NewLogClient(s.LogAddress), platform.NewEngineClient()
	drain, _ := process.Signals()
	g := gateway.New(gateway.Options{
		Settings: s, Clock: gateway.Boottime, Seed: rand.Uint64(), Dialect: platform.HeaderCodec{},
		Operators: store.OperatorFeed(), Endpoints: store.EndpointFeed(), Groups: store, Orders: engines, Stores: engines,
	})
	go c.reload(g)
	err = g.Run(drain)
	return errors.Join(err, flush())
}

// reload reads the settings again at each SIGHUP.
func (c *forwardCommand) reload(g *gateway.Gateway) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for range hup {
		s, err := gateway.LoadSettings(c.Settings)
		if err != nil {
			log.Error().Str("event", "settings_rejected").Err(err).Msg("the former settings stay in force")
			continue
		}
		g.Reload(s)
	}
}
