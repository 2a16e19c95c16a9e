// Command capacity measures how the cost of each role grows with the size of the
// deployment, and writes docs/measurements/capacity.json and docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/bench/capacity"
)

type options struct {
	Root  string   `long:"root" description:"root of the repository, to write the results; empty for none"`
	Bin   string   `long:"bin" default:"bin" description:"folder of the programs"`
	Parts []string `long:"part" description:"only these parts (may be repeated); nothing is written then"`
	Page  bool     `long:"page" description:"measure nothing; write the page again from the committed figures"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	log.DefaultLogger.Level = log.ErrorLevel // otherwise hundreds of peers in this process log each configuration version
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Page {
		r, err := capacity.Read(o.Root)
		if err != nil {
			return err
		}
		return r.Write(o.Root)
	}
	start := time.Now()
	only := map[string]bool{}
	for _, p := range o.Parts {
		only[p] = true
	}
	r, err := capacity.Measure(context.Background(), capacity.Options{Bin: o.Bin, Parts: only, Progress: func(s string) { fmt.Fprintln(os.Stderr, s) }})
	if err != nil {
		return err
	}
	fmt.Print(r.Markdown())
	fmt.Fprintf(os.Stderr, "measured in %v\n", time.Since(start).Round(time.Second))
	if o.Root == "" || len(only) > 0 {
		return nil
	}
	return r.Write(o.Root)
}
