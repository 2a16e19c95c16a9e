package main

import (
	"fmt"
	"os"
	"strconv"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD [COUNT]")
		os.Exit(exitFailed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken := false
	switch os.Args[1] {
	case "memory":
		size := 4 << 20
		if len(os.Args) > 3 {
			size, _ = strconv.Atoi(os.Args[3])
		}
		broken, err = runMemory(r, trouble, size)
	default:
		err = fmt.Errorf("no case %q", os.Args[1])
	}
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	case broken:
		r.add("the rule was broken")
		os.Exit(exitBroken)
	}
	r.add("the rule held")
	os.Exit(exitHeld)
}
