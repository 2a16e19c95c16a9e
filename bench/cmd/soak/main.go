// Command soak runs a deployment on loopback under load with faults drawn from a seed.
// It exits with status 1 if the run fails or any guarantee of the design is violated.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/bench/soak"
)

type options struct {
	Bin    string        `long:"bin" default:"bin" description:"folder of the programs"`
	Seed   uint64        `long:"seed" default:"1" description:"seed of faults and load"`
	Length time.Duration `long:"length" default:"50s" description:"time after which no further fault begins"`
	Rounds int           `long:"rounds" default:"0" description:"most rounds of faults, 0 for as many as fit"`
	Folder string        `long:"folder" description:"folder for the processes' logs, default a new temporary one"`
}

// extraRunTime is the time that a run may take in addition to its length.
const extraRunTime = 90 * time.Second

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	violations, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak failed:", err)
	}
	if err != nil || violations > 0 {
		os.Exit(1)
	}
}

func run(o options) (violations int, err error) {
	if o.Folder == "" {
		if o.Folder, err = os.MkdirTemp("", "galenaweir-soak-"); err != nil {
			return 0, err
		}
	}
	fmt.Printf("seed %d, logs in %s\n", o.Seed, o.Folder)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, o.Length+extraRunTime)
	defer cancel()
	r, err := soak.Run(ctx, soak.Options{Bin: o.Bin, Folder: o.Folder, Seed: o.Seed, Length: o.Length, Rounds: o.Rounds, Out: os.Stdout})
	if r == nil {
		return 0, err
	}
	return len(r.Violations), cmp.Or(err, r.Print(os.Stdout))
}
