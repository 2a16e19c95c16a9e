// Command gentrace generates a trace and writes it as JSON lines.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/bench/trace"
)

type options struct {
	Trace string `long:"trace" description:"name of the trace"`
	Out   string `long:"out" description:"file to write; standard output when empty"`
	List  bool   `long:"list" description:"list the traces with their numbers of requests"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "gentrace:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.List {
		for _, s := range trace.Specs() {
			fmt.Print(trace.Generate(s).Summary())
		}
		return nil
	}
	s, err := trace.FindSpec(o.Trace)
	if err != nil {
		return err
	}
	if o.Out == "" {
		return trace.Write(os.Stdout, trace.Generate(s))
	}
	f, err := os.Create(o.Out)
	if err != nil {
		return fmt.Errorf("create the trace file: %w", err)
	}
	if err := trace.Write(f, trace.Generate(s)); err != nil {
		return err
	}
	return f.Close()
}
