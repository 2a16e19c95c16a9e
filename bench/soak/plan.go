// Package soak runs the whole system on loopback under load, injects faults drawn from
// a seed, and checks the replies that the callers received.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the name of a fault.
type Kind string

// The kinds of faults.
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

// group is the kind of component that a fault affects. A round has at most one fault
// per group.
type group int

const (
	processes group = iota
	logService
	hostList
	stores
	engines
	services
)

// kinds lists the faults; random draws are indexes into it.
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

// gracefulStop reports whether the fault is a graceful stop, which must not interrupt
// any request.
func (k Kind) gracefulStop() bool { return k == AgentStopped || k == EntryStopped }

// killsStandIns reports whether the fault kills stand-ins. Faults of a stand-in can only
// be injected and cleared while it runs.
func (k Kind) killsStandIns() bool { return k == DomainLost || k == StoreKilled }

// injectionOrder returns the faults in the order of their injection, with those that
// kill stand-ins last. They are healed in reverse order.
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
	Target int // index of the component, modulo the number of such components
}

// Round is a set of faults that are injected together and healed together after Hold.
type Round struct {
	Faults  []Fault
	Hold    time.Duration
	Evict   bool // empty the engines' caches first, so that contexts are fetched from the stores
	Publish int  // configurations published concurrently during the faults
}

// Ranges of the random draws.
const (
	minHold               = 1500 * time.Millisecond
	maxHold               = 4500 * time.Millisecond
	maxTarget             = 60 // divisible by the usual numbers of components
	maxPublications       = 2
	faultsWithPlannedStop = 1
	maxFaultsPerRound     = 2
	planStream            = 1 // PCG stream of the plan; the load's workers use the following streams
)

// NewPlan returns the given number of rounds, drawn from the seed.
func NewPlan(seed uint64, rounds int) []Round {
	r := rand.New(rand.NewPCG(seed, planStream))
	plan := make([]Round, rounds)
	for i := range plan {
		plan[i] = newRound(r)
	}
	return plan
}

// newRound draws one or two faults of different groups. A graceful stop is not combined
// with another fault, since requests interrupted by either can't be told apart.
func newRound(r *rand.Rand) Round {
	x := Round{
		Hold:  minHold + time.Duration(r.Int64N(int64(maxHold-minHold))),
		Evict: r.IntN(2) == 0, Publish: r.IntN(maxPublications + 1),
	}
	n := 1 + r.IntN(maxFaultsPerRound)
	taken := map[group]bool{}
	for len(x.Faults) < n {
		k := kinds[r.IntN(len(kinds))]
		target := r.IntN(maxTarget)
		if taken[k.group] || k.kind.gracefulStop() && len(x.Faults) > 0 {
			continue
		}
		taken[k.group] = true
		x.Faults = append(x.Faults, Fault{k.kind, target})
		if k.kind.gracefulStop() {
			n = faultsWithPlannedStop
		}
	}
	return x
}
