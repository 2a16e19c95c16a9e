package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Report is the outcome of a run.
type Report struct {
	Seed                 uint64
	Folder               string
	Requests             map[string]map[string]int // by kind and outcome
	Faults               map[FaultKind]int
	Payments             int
	LongestRecovery      time.Duration // longest time until every kind of request was served again
	SlowestRecoveryAfter string        // faults that the longest recovery followed
	LongestPropagation   time.Duration // longest time until all processes had the same configuration
	Violations           []string
}

func newReport(r *run) *Report {
	return &Report{
		Seed: r.o.Seed, Folder: r.o.Folder, Requests: r.rec.requests, Faults: r.rec.faults, Payments: len(r.load.payments),
		LongestRecovery: r.rec.recovery, SlowestRecoveryAfter: r.rec.slowestAfter, LongestPropagation: r.rec.propagation, Violations: r.rec.violations,
	}
}

// Print writes the tables and the violations.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "\nrequest\toutcome\tcount\n")
	for _, kind := range slices.Sorted(maps.Keys(r.Requests)) {
		for _, outcome := range slices.Sorted(maps.Keys(r.Requests[kind])) {
			fmt.Fprintf(w, "%s\t%s\t%d\n", kind, outcome, r.Requests[kind][outcome])
		}
	}
	fmt.Fprintf(w, "\nfault\tcount\n")
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(w, "%s\t%d\n", k, r.Faults[k])
	}
	fmt.Fprintf(w, "\npayments judged\t%d\n", r.Payments)
	fmt.Fprintf(w, "worst recovery\t%d ms, after %s\n", r.LongestRecovery.Milliseconds(), r.SlowestRecoveryAfter)
	fmt.Fprintf(w, "longest until one configuration\t%d ms\n", r.LongestPropagation.Milliseconds())
	fmt.Fprintf(w, "violations\t%d\n", len(r.Violations))
	if err := w.Flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		fmt.Fprintln(out, "  "+v)
	}
	_, err := fmt.Fprintf(out, "seed %d; the processes' logs are in %s\n", r.Seed, r.Folder)
	return err
}
