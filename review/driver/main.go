// Command driver plays the cases of the review that are scripts: it starts entries as processes
// with the command of the deploy file, against stand-ins on loopback, and exits with 1 if the rule
// of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// cases are the cases by name. Each reports whether the rule was broken; trouble says whether to
// play the disruption.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"abandoned-part": abandonedPart,
	"late-beat":      lateBeat,
	"two-holders":    twoHolders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, path string, trouble bool) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.Close()
	rec := newRecord(out)
	rec.logf("case %s, trouble %t", name, trouble)
	broken, err := cases[name](rec, trouble)
	switch {
	case err != nil:
		rec.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitFailed
	case broken:
		rec.logf("the rule was broken")
		fmt.Println("the rule was broken; see", path)
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
