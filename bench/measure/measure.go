// Package measure replays the traces under each policy and compares the results with
// the expected outcomes.
package measure

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaweir/galenaweir/bench/replay"
	"github.com/galenaweir/galenaweir/bench/trace"
	"github.com/galenaweir/galenaweir/core/admission/fifo"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement/baseline"
	"github.com/galenaweir/galenaweir/core/routing"
	_ "github.com/galenaweir/galenaweir/core/routing/leastload" // plug-in
	_ "github.com/galenaweir/galenaweir/core/routing/nostore"   // plug-in
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcostv1" // plug-in
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcostv2" // plug-in
	_ "github.com/galenaweir/galenaweir/core/routing/prefixcostv3" // plug-in
	_ "github.com/galenaweir/galenaweir/core/routing/sticky"       // plug-in
)

// Policies and variants that are measured.
const (
	// ProductPolicy is the product's routing policy.
	ProductPolicy = string(prefixcost.ID)
	// Oracle is the product's policy with the exact state of the system.
	Oracle = "oracle"
	// FirstLastReports is the product's policy when agents send load reports only with
	// the first and last frame of a stream, and not every reportInterval.
	FirstLastReports = "prefix_cost, reports with first and last frame only"

	// FIFO is the product with first-come, first-served admission at the agents.
	FIFO = "prefix_cost, admission.fifo"
	// ExportAlways is the product with a placement policy that exports every context.
	ExportAlways = "prefix_cost, placement.always"
	// NoLimits and FIFONoLimits disable the customers' limits, so that only the
	// admission policy protects the other customers.
	NoLimits     = "prefix_cost, no limits"
	FIFONoLimits = "prefix_cost, admission.fifo, no limits"

	reportInterval = 500 * time.Millisecond
)

// replaySeed is the random seed of all replays.
const replaySeed = 1

// Options configures a measurement.
type Options struct {
	Traces []string // names of the traces to replay; all if empty
	Jobs   int      // number of concurrent replays
}

// Run is one replay of a trace under a policy, with its result.
type Run struct {
	Trace  string         `json:"trace"`
	Policy string         `json:"policy"`
	Result *replay.Result `json:"result"`
}

// Report holds the results of a measurement.
type Report struct {
	Runs     []Run     `json:"runs"`
	Outcomes []Verdict `json:"outcomes"`
}

// policies returns the registered routing policies in order, followed by the
// variants that are measured on all traces.
func policies() []string {
	var ps []string
	for _, id := range kernel.IDs(prefixcost.ID.Family()) {
		ps = append(ps, string(id))
	}
	return append(ps, FirstLastReports, Oracle)
}

// NewPolicy returns the routing policy with the given name. The oracle uses the
// product's cost function and always chooses the lowest cost, since its inputs are
// exact.
func NewPolicy(name string) (routing.Policy, error) {
	if name == Oracle {
		return prefixcost.New(prefixcost.Options{CostTolerance: 1}), nil
	}
	switch name {
	case FirstLastReports, FIFO, ExportAlways, NoLimits, FIFONoLimits:
		name = ProductPolicy
	}
	return kernel.New[routing.Policy](kernel.ID(name))
}

// Measure replays the traces under each policy and evaluates the outcomes.
func Measure(o Options) (*Report, error) {
	rep := &Report{}
	var g errgroup.Group
	g.SetLimit(max(1, o.Jobs))
	for _, s := range trace.Specs() {
		if len(o.Traces) > 0 && !slices.Contains(o.Traces, s.Name) {
			continue
		}
		for _, p := range policies() {
			rep.Runs = append(rep.Runs, Run{Trace: s.Name, Policy: p})
		}
		if len(s.Faults) == 0 {
			rep.Runs = append(rep.Runs, Run{Trace: s.Name, Policy: FIFO}, Run{Trace: s.Name, Policy: ExportAlways})
		}
		if s.HasHeavyCustomer() { // no customer exceeds its limit in the other traces
			rep.Runs = append(rep.Runs, Run{Trace: s.Name, Policy: NoLimits}, Run{Trace: s.Name, Policy: FIFONoLimits})
		}
	}
	if len(rep.Runs) == 0 {
		return nil, fmt.Errorf("no trace matches %v; gentrace --list prints the names", o.Traces)
	}
	for i := range rep.Runs {
		g.Go(func() error {
			r := &rep.Runs[i]
			s, err := trace.FindSpec(r.Trace)
			if err != nil {
				return err
			}
			p, err := NewPolicy(r.Policy)
			if err != nil {
				return fmt.Errorf("policy %s: %w", r.Policy, err)
			}
			o := replay.Options{Policy: p, Oracle: r.Policy == Oracle, Seed: replaySeed, ReportInterval: reportInterval}
			if r.Policy == FirstLastReports {
				o.ReportInterval = 0
			}
			o.NoLimits = r.Policy == NoLimits || r.Policy == FIFONoLimits
			if r.Policy == ExportAlways {
				o.Placement = baseline.AlwaysID
			}
			if r.Policy == FIFO || r.Policy == FIFONoLimits {
				o.Admission = fifo.ID
			}
			r.Result = replay.Run(trace.Generate(s), o)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return rep, rep.evaluateOutcomes()
}

// resultOf returns the result of the policy on the trace, or nil if there is none.
func (r *Report) resultOf(trace, policy string) *replay.Result {
	for i := range r.Runs {
		if r.Runs[i].Trace == trace && r.Runs[i].Policy == policy {
			return r.Runs[i].Result
		}
	}
	return nil
}
