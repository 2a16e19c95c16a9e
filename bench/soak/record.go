package soak

import (
	"fmt"
	"sync"
	"time"
)

// interval is a time during which a part was out of order.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return from.Before(i.to) && to.After(i.from)
}

// record collects what happened. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	begun      time.Time
	requests   map[string]map[string]int // by kind and outcome
	faults     map[Kind]int
	violations []string
	paused     map[int][]interval // by entry
	planned    []plannedStop
	cuts       []cut
	healed     time.Time     // when the system last served everything after a round
	recovery   time.Duration // the longest
	slowest    string        // what the longest recovery followed
	spread     time.Duration // longest time until all had the same configuration
}

// plannedStop is a graceful stop; clean is when the faults before it were healed.
type plannedStop struct {
	name        string
	clean       time.Time
	stopped, to time.Time
}

// cut is a request that may have been interrupted.
type cut struct {
	what       string
	first      time.Time // when the first attempt began
	begun, end time.Time
}

func newRecord() *record {
	return &record{begun: time.Now(), requests: map[string]map[string]int{}, faults: map[Kind]int{}, paused: map[int][]interval{}}
}

func (r *record) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%6.2f s: ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

// lateTolerance is how much longer than its deadline a request may last.
const lateTolerance = time.Second

// count notes a reply and whether a stop interrupted it. The first attempt of a
// payment may have begun before this one: what a fault did to the first also
// decides what its repeats are told.
func (r *record) count(kind string, deadline time.Duration, x *reply, first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[kind] == nil {
		r.requests[kind] = map[string]int{}
	}
	r.requests[kind][x.outcome()]++
	if x.err != nil || x.kind != "" && x.ran != "not_run" {
		r.cuts = append(r.cuts, cut{fmt.Sprintf("%s through entry-%d: %s (%v)", kind, x.entry, x.outcome(), x.err), first, x.begun, x.ended})
	}
	if took := x.ended.Sub(x.begun); took > deadline+lateTolerance && !r.wasPaused(x) {
		r.violations = append(r.violations, fmt.Sprintf("%6.2f s: %s through entry-%d lasted %s, its deadline was %s: %s", time.Since(r.begun).Seconds(), kind, x.entry, took.Round(time.Millisecond), deadline, x.outcome()))
	}
}

// wasPaused reports whether the entry was paused during the request: a paused
// process can't end it.
func (r *record) wasPaused(x *reply) bool {
	for _, p := range r.paused[x.entry] {
		if p.overlaps(x.begun, x.ended) {
			return true
		}
	}
	return false
}

// pauseEntry notes a pause before it begins, with the latest time of its end.
func (r *record) pauseEntry(entry int, limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.paused[entry] = append(r.paused[entry], interval{now, now.Add(limit)})
}

// judgePlanned reports the requests that were interrupted during a planned stop
// while nothing else was out of order.
func (r *record) judgePlanned() {
	for _, s := range r.planned {
		for _, c := range r.cuts {
			if c.first.After(s.clean) && (interval{s.stopped, s.to}).overlaps(c.begun, c.end) {
				r.violate("the planned stop of %s cut a request that began %s after the signal and ended %s later: %s", s.name, c.begun.Sub(s.stopped).Round(time.Millisecond), c.end.Sub(c.begun).Round(time.Millisecond), c.what)
			}
		}
	}
}

func (r *record) healedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

func (r *record) plan(s plannedStop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned = append(r.planned, s)
}

// recovered notes how long the system took after the faults of a round.
func (r *record) recovered(what string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healed = time.Now()
	if took > r.recovery {
		r.recovery, r.slowest = took, what
	}
}
