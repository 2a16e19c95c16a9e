package soak

import (
	"fmt"
	"sync"
	"time"
)

// interval is the time span of a pause or a graceful stop.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return from.Before(i.to) && to.After(i.from)
}

// recorder collects the replies, faults and violations of a run. It is safe for
// concurrent use.
type recorder struct {
	mu            sync.Mutex
	start         time.Time
	requests      map[string]map[string]int // by kind and outcome
	faults        map[FaultKind]int
	violations    []string
	paused        map[int][]interval // pauses by entry
	gracefulStops []gracefulStop
	interrupted   []interruptedRequest
	healed        time.Time     // time at which the last recovery ended
	recovery      time.Duration // longest recovery
	slowestAfter  string        // faults that the longest recovery followed
	propagation   time.Duration // longest time until all processes had the same configuration
}

// gracefulStop is the time span of a process's graceful stop; healed is the end of the
// recovery that preceded it.
type gracefulStop struct {
	name            string
	healed          time.Time
	signaled, ended time.Time
}

// interruptedRequest is a request that may have been interrupted while it was running.
type interruptedRequest struct {
	description  string
	firstAttempt time.Time // start of the payment's first attempt, or of the request
	start, end   time.Time
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), requests: map[string]map[string]int{}, faults: map[FaultKind]int{}, paused: map[int][]interval{}}
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%6.2f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// lateTolerance is the time by which a request may exceed its deadline.
const lateTolerance = time.Second

// recordReply counts a reply, and records it if it is late or may have been interrupted.
// For a repeated payment, first is the start of its first attempt, since a fault during
// that attempt also affects the answers to the later ones.
func (r *recorder) recordReply(kind string, deadline time.Duration, x *reply, first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests[kind] == nil {
		r.requests[kind] = map[string]int{}
	}
	r.requests[kind][x.outcome()]++
	if x.err != nil || x.errorType != "" && x.ran != "not_run" {
		r.interrupted = append(r.interrupted, interruptedRequest{fmt.Sprintf("%s through entry-%d: %s (%v)", kind, x.entry, x.outcome(), x.err), first, x.start, x.end})
	}
	if took := x.end.Sub(x.start); took > deadline+lateTolerance && !r.wasPaused(x) {
		r.violations = append(r.violations, fmt.Sprintf("%6.2f s: %s through entry-%d lasted %s, its deadline was %s: %s", time.Since(r.start).Seconds(), kind, x.entry, took.Round(time.Millisecond), deadline, x.outcome()))
	}
}

// wasPaused reports whether the entry was paused during the request. A paused entry
// can't enforce the deadline.
func (r *recorder) wasPaused(x *reply) bool {
	for _, p := range r.paused[x.entry] {
		if p.overlaps(x.start, x.end) {
			return true
		}
	}
	return false
}

// pauseEntry records a pause that is about to start and that ends within the limit.
func (r *recorder) pauseEntry(entry int, limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.paused[entry] = append(r.paused[entry], interval{now, now.Add(limit)})
}

// checkGracefulStops adds a violation for each request that was interrupted during a
// graceful stop and that no earlier fault can have affected.
func (r *recorder) checkGracefulStops() {
	for _, s := range r.gracefulStops {
		for _, c := range r.interrupted {
			if c.firstAttempt.After(s.healed) && (interval{s.signaled, s.ended}).overlaps(c.start, c.end) {
				r.addViolation("planned stop of %s interrupted a request that started %s after the signal and ended %s later: %s", s.name, c.start.Sub(s.signaled).Round(time.Millisecond), c.end.Sub(c.start).Round(time.Millisecond), c.description)
			}
		}
	}
}

func (r *recorder) healedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healed
}

func (r *recorder) addGracefulStop(s gracefulStop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gracefulStops = append(r.gracefulStops, s)
}

// recordRecovery records the time that the system took to recover from the faults of a
// round.
func (r *recorder) recordRecovery(what string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healed = time.Now()
	if took > r.recovery {
		r.recovery, r.slowestAfter = took, what
	}
}
