// Package soak runs the whole system on loopback under load, injects faults drawn from
// a seed, and checks the replies that the callers received.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is the name of a fault.
type FaultKind string

// The kinds of faults.
const (
	AgentKilled             FaultKind = "agent killed"
	EntryKilled             FaultKind = "entry killed"
	AgentPaused             FaultKind = "agent paused"
	EntryPaused             FaultKind = "entry paused"
	AgentStopped            FaultKind = "agent stopped as planned"
	EntryStopped            FaultKind = "entry stopped as planned"
	LogOutage               FaultKind = "log outage"
	LogSlow                 FaultKind = "log slow"
	LogAnswersLost          FaultKind = "log loses answers"
	LogAppendsLate          FaultKind = "log appends late"
	LogAnswersHang          FaultKind = "log hangs"
	HostListOutage          FaultKind = "host list outage"
	StoreKilled             FaultKind = "store killed"
	StoreFaulty             FaultKind = "store faulty"
	StoreFull               FaultKind = "store full and slow"
	EngineDown              FaultKind = "engine down"
	EngineStreamsSilent     FaultKind = "engine streams silent"
	EngineStreamsCut        FaultKind = "engine cuts streams"
	ServiceCutsAfterEffect  FaultKind = "service cuts after effect"
	ServiceHangsAfterEffect FaultKind = "service hangs after effect"
	ServiceReplicaStale     FaultKind = "service replica behind"
	EngineConnectionsSilent FaultKind = "connections to engine silent"
	DomainKilled            FaultKind = "failure domain killed"
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
	kind  FaultKind
	group group
}{
	{AgentKilled, processes}, {EntryKilled, processes}, {AgentPaused, processes}, {EntryPaused, processes},
	{AgentStopped, processes}, {EntryStopped, processes}, {DomainKilled, processes},
	{LogOutage, logService}, {LogSlow, logService}, {LogAnswersLost, logService}, {LogAppendsLate, logService}, {LogAnswersHang, logService},
	{HostListOutage, hostList},
	{StoreKilled, stores}, {StoreFaulty, stores}, {StoreFull, stores},
	{EngineDown, engines}, {EngineStreamsSilent, engines}, {EngineStreamsCut, engines}, {EngineConnectionsSilent, engines},
	{ServiceCutsAfterEffect, services}, {ServiceHangsAfterEffect, services}, {ServiceReplicaStale, services},
}

// gracefulStop reports whether the fault is a graceful stop, which must not interrupt
// any request.
func (k FaultKind) gracefulStop() bool { return k == AgentStopped || k == EntryStopped }

// killsStandIns reports whether the fault kills stand-ins. Faults of a stand-in can only
// be injected and cleared while it runs.
func (k FaultKind) killsStandIns() bool { return k == DomainKilled || k == StoreKilled }

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
	Kind   FaultKind
	Target int // index of the component, modulo the number of such components
}

// Round is a set of faults that are injected together and healed together after FaultDuration.
type Round struct {
	Faults        []Fault
	FaultDuration time.Duration
	EvictCaches   bool // empty the engines' caches first, so that contexts are fetched from the stores
	Publications  int  // configurations published concurrently during the faults
}

// Ranges of the random draws.
const (
	minFaultDuration       = 1500 * time.Millisecond
	maxFaultDuration       = 4500 * time.Millisecond
	maxTarget              = 60 // divisible by the usual numbers of components
	maxPublications        = 2
	faultsWithGracefulStop = 1
	maxFaultsPerRound      = 2
	planStream             = 1 // PCG stream of the plan; the load's workers use the following streams
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
		FaultDuration: minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration))),
		EvictCaches:   r.IntN(2) == 0, Publications: r.IntN(maxPublications + 1),
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
			n = faultsWithGracefulStop
		}
	}
	return x
}
