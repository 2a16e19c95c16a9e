// Command review-driver-2 plays the cases of the second review that are scripts: it starts entries
// with the command of the deploy file against stand-ins on loopback, and judges what callers, servers
// and the platform see. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"
)

// limit is the time that a case may take.
const limit = 110 * time.Second

func main() {
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	cases := map[string]func(*record, bool) error{"wall": wall, "mixed": mixed, "hold": hold}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: review-driver-2 --record FILE CASE")
		os.Exit(2)
	}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
	rec, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() {
		rec.line("the case takes too long")
		os.Exit(2) // the entries end with this process
	})
	err = play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.line("%v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case rec.broken > 0:
		fmt.Printf("broken %d times\n", rec.broken)
		os.Exit(1)
	}
	fmt.Println("held")
}
