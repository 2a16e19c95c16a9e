// Package soak runs the whole system on loopback under load and under faults
// drawn from a seed, and judges what the callers saw.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault.
type Kind string

// The faults.
const (
	AgentKilled     Kind = "agent killed"
	EntryKilled     Kind = "entry killed"
	AgentPaused     Kind = "agent paused"
	EntryPaused     Kind = "entry paused"
	AgentStopped    Kind = "agent stopped as planned"
	EntryStopped    Kind = "entry stopped as planned"
	LogOutage       Kind = "log outage"
	LogSlow         Kind = "log slow"
	LogLoses        Kind = "log loses answers"
	LogLate         Kind = "log appends late"
	LogHangs        Kind = "log hangs"
	HostListOutage  Kind = "host list outage"
	StoreKilled     Kind = "store killed"
	StoreFaulty     Kind = "store faulty"
	StoreFull       Kind = "store full and slow"
	EngineDown      Kind = "engine down"
	EngineSilent    Kind = "engine streams silent"
	EngineCuts      Kind = "engine cuts streams"
	ServiceCuts     Kind = "service cuts after effect"
	ServiceHangs    Kind = "service hangs after effect"
	ServiceBehind   Kind = "service replica behind"
	ForwarderSilent Kind = "connections to engine silent"
	DomainLost      Kind = "failure domain killed"
)

// group is the part that a fault affects; a round has one fault of each.
type group int

const (
	processes group = iota
	logService
	hostList
	stores
	engines
	services
)

// kinds lists the faults in the order that the draws refer to.
var kinds = []struct {
	kind  Kind
	group group
}{
	{AgentKilled, processes}, {EntryKilled, processes}, {AgentPaused, processes}, {EntryPaused, processes},
	{AgentStopped, processes}, {EntryStopped, processes}, {DomainLost, processes},
	{LogOutage, logService}, {LogSlow, logService}, {LogLoses, logService}, {LogLate, logService}, {LogHangs, logService},
	{HostListOutage, hostList},
	{StoreKilled, stores}, {StoreFaulty, stores}, {StoreFull, stores},
	{EngineDown, engines}, {EngineSilent, engines}, {EngineCuts, engines}, {ForwarderSilent, engines},
	{ServiceCuts, services}, {ServiceHangs, services}, {ServiceBehind, services},
}

// planned reports whether the fault is a graceful stop, which must cut nothing.
func (k Kind) planned() bool { return k == AgentStopped || k == EntryStopped }

// killsStandIns reports whether the fault ends stand-ins, whose own faults can only
// be switched while they run.
func (k Kind) killsStandIns() bool { return k == DomainLost || k == StoreKilled }

// injectionOrder returns the faults in the order of their injection; they are healed
// in reverse. Those that end stand-ins come last.
func injectionOrder(faults []Fault) []Fault {
	out := slices.Clone(faults)
	slices.SortStableFunc(out, func(a, b Fault) int {
		switch x, y := a.Kind.killsStandIns(), b.Kind.killsStandIns(); {
		case x == y:
			return 0
		case y:
			return -1
		}
		return 1
	})
	return out
}

// Fault is one fault of a round.
type Fault struct {
	Kind   Kind
	Target int // index of the part, modulo the number of such parts
}

// Round is a set of faults that are injected, held and healed together.
type Round struct {
	Faults  []Fault
	Hold    time.Duration
	Evict   bool // empty the engines' caches first, so that contexts come from the stores
	Publish int  // configurations published at once during the faults
}

// Limits of the draws.
const (
	minHold        = 1500 * time.Millisecond
	maxHold        = 4500 * time.Millisecond
	maxTarget      = 60 // divisible by the usual numbers of parts
	maxPublishers  = 2
	plannedAlone   = 1
	faultsAtOnce   = 2
	streamOfRounds = 1 // separates the draws of the plan from those of the load
)

// NewPlan draws rounds from the seed.
func NewPlan(seed uint64, rounds int) []Round {
	r := rand.New(rand.NewPCG(seed, streamOfRounds))
	plan := make([]Round, rounds)
	for i := range plan {
		plan[i] = newRound(r)
	}
	return plan
}

// newRound draws one or two faults of different groups. A planned stop is alone,
// since what another fault cuts can't be told from what the stop cuts.
func newRound(r *rand.Rand) Round {
	x := Round{
		Hold:  minHold + time.Duration(r.Int64N(int64(maxHold-minHold))),
		Evict: r.IntN(2) == 0, Publish: r.IntN(maxPublishers + 1),
	}
	n := 1 + r.IntN(faultsAtOnce)
	taken := map[group]bool{}
	for len(x.Faults) < n {
		k := kinds[r.IntN(len(kinds))]
		target := r.IntN(maxTarget)
		if taken[k.group] || k.kind.planned() && len(x.Faults) > 0 {
			continue
		}
		taken[k.group] = true
		x.Faults = append(x.Faults, Fault{k.kind, target})
		if k.kind.planned() {
			n = plannedAlone
		}
	}
	return x
}
