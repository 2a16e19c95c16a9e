// Command standin runs one of the stand-ins for the systems that galenaweir
// depends on: the log service, the host list, an engine, a plain service or a
// store host.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/standin/engine"
	"github.com/galenaweir/galenaweir/standin/hostlist"
	"github.com/galenaweir/galenaweir/standin/logsvc"
	"github.com/galenaweir/galenaweir/standin/service"
	"github.com/galenaweir/galenaweir/standin/store"
)

type logCommand struct {
	Listen    string        `long:"listen" required:"true" description:"IP number and port"`
	Retention time.Duration `long:"retention" default:"0s" description:"how long records are kept; 0s for ever"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute([]string) error {
	return serve(logsvc.New(c.Retention, time.Now).Handler(), c.Listen)
}

type hostListCommand struct {
	Listen string        `long:"listen" required:"true" description:"IP number and port"`
	Lag    time.Duration `long:"lag" default:"2s" description:"age of what readers see"`
	Hosts  string        `long:"hosts" description:"file with the hosts as a JSON array"`
}

// Execute implements flags.Commander.
func (c *hostListCommand) Execute([]string) error {
	var hosts []hostlist.Host
	if c.Hosts != "" {
		b, err := os.ReadFile(c.Hosts)
		if err != nil {
			return fmt.Errorf("read the host list file: %w", err)
		}
		if err := json.Unmarshal(b, &hosts); err != nil {
			return fmt.Errorf("decode the host list file %s: %w", c.Hosts, err)
		}
	}
	return serve(hostlist.New(hosts, c.Lag, time.Now).Handler(), c.Listen)
}

type engineCommand struct {
	Listen         string        `long:"listen" required:"true" description:"IP number and port"`
	Model          string        `long:"model" required:"true" description:"model served"`
	WeightVersion  string        `long:"weight-version" default:"v1" description:"weight version loaded at the start"`
	Slots          int           `long:"slots" default:"16" description:"sequences decoded at once"`
	CachePieces    int           `long:"cache-pieces" default:"256" description:"capacity of the prefix cache in pieces of 256 tokens"`
	PieceBytes     int           `long:"piece-bytes" default:"4096" description:"KV bytes of one piece"`
	PrefillRate    float64       `long:"prefill" default:"8000" description:"prefill rate in tokens per second"`
	DecodeInterval time.Duration `long:"decode" default:"5ms" description:"time between tokens"`
	LoadLag        time.Duration `long:"load-lag" default:"500ms" description:"age of the load report"`
	KeepAlive      time.Duration `long:"keep-alive" default:"500ms" description:"interval of keep-alive comments"`
	LoadTime       time.Duration `long:"load-time" default:"800ms" description:"time to load new weights"`
	ChecksFencing  bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
}

// finishedRetention is how long a client can resume the stream of a finished
// sequence.
const finishedRetention = 30 * time.Second

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Options{
		Model: c.Model, WeightVersion: c.WeightVersion, Slots: c.Slots, CachePieces: c.CachePieces,
		PieceBytes: c.PieceBytes, PrefillTokensPerSecond: c.PrefillRate, DecodeInterval: c.DecodeInterval,
		LoadReportLag: c.LoadLag, KeepAliveInterval: c.KeepAlive, FinishedRetention: finishedRetention,
		WeightLoadTime: c.LoadTime, ChecksFencing: c.ChecksFencing,
	})
	return serve(e.Handler(), c.Listen)
}

type serviceCommand struct {
	Listen []string `long:"listen" required:"true" description:"IP number and port of a replica; repeat for more replicas of one ledger"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	ledger := service.NewLedger()
	errs := make(chan error, len(c.Listen))
	for _, addr := range c.Listen {
		go func() { errs <- serve(service.NewReplica(ledger).Handler(), addr) }()
	}
	var joined error
	for range c.Listen {
		joined = errors.Join(joined, <-errs)
	}
	return joined
}

type storeCommand struct {
	Listen      string  `long:"listen" required:"true" description:"IP number and port"`
	MemoryBytes int64   `long:"memory-bytes" default:"67108864" description:"size of the memory tier"`
	DiskBytes   int64   `long:"disk-bytes" default:"268435456" description:"size of the disk tier"`
	LinkRate    float64 `long:"link" default:"50000000" description:"rate of the link in bytes per second"`
	DiskRate    float64 `long:"disk-rate" default:"20000000" description:"rate of the disk in bytes per second"`
}

// uncommittedTTL is the time after which a slot whose writer died before its
// commit is freed.
const uncommittedTTL = time.Minute

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error {
	return serve(store.New(store.Options{
		MemoryBytes: c.MemoryBytes, DiskBytes: c.DiskBytes, LinkBytesPerSecond: c.LinkRate,
		DiskBytesPerSecond: c.DiskRate, UncommittedTTL: uncommittedTTL,
	}).Handler(), c.Listen)
}

// readHeaderTimeout is the longest that a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// serve handles HTTP requests on addr until the process receives SIGINT or
// SIGTERM.
func serve(h http.Handler, addr string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", addr, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", addr, err)
	}
	return nil
}

// command is a subcommand with its name, description and options.
type command struct {
	name, description string
	options           flags.Commander
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for _, c := range []command{
		{"log", "append-only log service", &logCommand{}},
		{"hostlist", "list of hosts", &hostListCommand{}},
		{"engine", "model engine", &engineCommand{}},
		{"service", "plain service", &serviceCommand{}},
		{"store", "store host for cache blocks", &storeCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.description, c.description, c.options); err != nil {
			panic(err) // a struct tag of the options is invalid
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(1)
	}
}
