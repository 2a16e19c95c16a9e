// Command ledger compares the losses of two runs of the users' benchmark by cause.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/bench/ledger"
)

type options struct {
	Journal string `long:"journal" default:"journal" description:"folder of the journal"`
	Args    struct {
		Before string `positional-arg-name:"BEFORE" description:"ID of the run before"`
		After  string `positional-arg-name:"AFTER" description:"ID of the run after"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	before, err := ledger.Load(o.Journal, o.Args.Before)
	if err != nil {
		return err
	}
	after, err := ledger.Load(o.Journal, o.Args.After)
	if err != nil {
		return err
	}
	return ledger.Print(os.Stdout, before, after)
}
