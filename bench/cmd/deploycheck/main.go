// Command deploycheck checks the files that the platform uses to deploy galenaweir.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/galenaweir/galenaweir/platform/deploycheck"
)

type options struct {
	File string `long:"file" default:"deploy/system.toml" description:"deployment file in its folder of the repository"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := deploycheck.Check(o.File); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(o.File + ": correct")
}
