// Command gendoc writes the reference page of the settings to a file.
package main

import (
	"fmt"
	"os"

	"github.com/galenaweir/galenaweir/settings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: gendoc FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(settings.Markdown()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
