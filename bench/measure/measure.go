// Package measure replays the traces under each policy and compares the results
// with the stated outcomes.
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

// Product is the policy under measurement; Oracle is the name of the replay with
// exact knowledge; FewReports is the product's policy when agents send their load
// with a stream's first and last frame only, and not every reportGap.
const (
	Product    = string(prefixcost.ID)
	Oracle     = "oracle"
	FewReports = "prefix_cost, reports with first and last frame only"

	// Fifo is the product's routing with first come, first served at the agents.
	Fifo = "prefix_cost, admission.fifo"
	// Always is the product with exports of everything.
	Always = "prefix_cost, placement.always"
	// NoLimits and FifoNoLimits let customers send beyond their limits, so that
	// admission alone protects the others.
	NoLimits     = "prefix_cost, no limits"
	FifoNoLimits = "prefix_cost, admission.fifo, no limits"

	reportGap = 500 * time.Millisecond
)

// seed of the replays' random choices.
const seed = 1

// Options of a measurement.
type Options struct {
	Traces []string // all when empty
	Jobs   int      // replays at once
}

// Run is one replay.
type Run struct {
	Trace  string         `json:"trace"`
	Policy string         `json:"policy"`
	Result *replay.Result `json:"result"`
}

// Report is a whole measurement.
type Report struct {
	Runs     []Run     `json:"runs"`
	Outcomes []Verdict `json:"outcomes"`
}

// policies returns the registered routing policies in order, and the variants.
func policies() []string {
	var ps []string
	for _, id := range kernel.IDs(prefixcost.ID.Family()) {
		ps = append(ps, string(id))
	}
	return append(ps, FewReports, Oracle)
}

// NewPolicy returns the policy of the name. The oracle uses the product's cost
// with exact inputs and takes the lowest, since nothing is uncertain.
func NewPolicy(name string) (routing.Policy, error) {
	if name == Oracle {
		return prefixcost.New(prefixcost.Options{CostTolerance: 1}), nil
	}
	switch name {
	case FewReports, Fifo, Always, NoLimits, FifoNoLimits:
		name = Product
	}
	return kernel.New[routing.Policy](kernel.ID(name))
}

// Measure replays the traces under each policy.
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
			rep.Runs = append(rep.Runs, Run{Trace: s.Name, Policy: Fifo}, Run{Trace: s.Name, Policy: Always})
		}
		if s.Heavy() { // nobody exceeds a limit on the other traces
			rep.Runs = append(rep.Runs, Run{Trace: s.Name, Policy: NoLimits}, Run{Trace: s.Name, Policy: FifoNoLimits})
		}
	}
	if len(rep.Runs) == 0 {
		return nil, fmt.Errorf("no trace matches %v; gentrace --list names them", o.Traces)
	}
	for i := range rep.Runs {
		g.Go(func() error {
			r := &rep.Runs[i]
			s, err := trace.Find(r.Trace)
			if err != nil {
				return err
			}
			p, err := NewPolicy(r.Policy)
			if err != nil {
				return fmt.Errorf("policy %s: %w", r.Policy, err)
			}
			o := replay.Options{Policy: p, Oracle: r.Policy == Oracle, Seed: seed, ReportGap: reportGap}
			if r.Policy == FewReports {
				o.ReportGap = 0
			}
			o.NoLimits = r.Policy == NoLimits || r.Policy == FifoNoLimits
			if r.Policy == Always {
				o.Placement = baseline.AlwaysID
			}
			if r.Policy == Fifo || r.Policy == FifoNoLimits {
				o.Admission = fifo.ID
			}
			r.Result = replay.Run(trace.Generate(s), o)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return rep, rep.judge()
}

// find returns the result of the policy on the trace, nil when it wasn't run.
func (r *Report) find(trace, policy string) *replay.Result {
	for i := range r.Runs {
		if r.Runs[i].Trace == trace && r.Runs[i].Policy == policy {
			return r.Runs[i].Result
		}
	}
	return nil
}
