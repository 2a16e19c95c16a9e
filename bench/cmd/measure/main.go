// Command measure replays the traces with each routing policy and writes the measured
// outcomes next to the expected ones.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/bench/measure"
)

type options struct {
	Out    string   `long:"out" default:"docs/measurements" description:"folder for latest.json, the table and the plots; empty for none"`
	Traces []string `long:"trace" description:"only these traces (may be repeated)"`
	Jobs   int      `long:"jobs" default:"6" description:"replays that run at once"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	start := time.Now()
	rep, err := measure.Measure(measure.Options{Traces: o.Traces, Jobs: o.Jobs})
	if err != nil {
		return err
	}
	fmt.Print(rep.Markdown())
	fmt.Fprintf(os.Stderr, "measured in %v\n", time.Since(start).Round(time.Second))
	if o.Out == "" {
		return nil
	}
	return rep.Write(o.Out)
}
