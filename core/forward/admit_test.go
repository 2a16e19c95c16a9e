package forward

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// prefillServer simulates an endpoint that prefills prompts one at a time.
type prefillServer struct {
	load      EndpointLoad
	busyUntil time.Duration // when all placed prompts will have been prefilled
}

// simulateOverload runs three seconds in which prompts arrive faster than the
// endpoints can prefill them, then five seconds in which they arrive more slowly. It
// counts late and timely answers and refusals.
func simulateOverload(t *testing.T, refuse bool) (inTime, late, refused, largeServed, largeAll int) {
	t.Helper()
	const latencyTarget, step = 500 * time.Millisecond, 2 * time.Millisecond
	const endpoints, tokens = 4, 2400
	engine := &Engine{Slots: 64, CapacityTokens: 1 << 20}
	servers := make([]prefillServer, endpoints)
	type run struct {
		server int
		load   RequestLoad
		end    time.Duration
	}
	var runs []run
	n := 0
	for now := time.Duration(0); now < 8*time.Second; now += step {
		unfinished := runs[:0]
		for _, r := range runs {
			if r.end <= now {
				servers[r.server].load.Remove(&r.load)
				continue
			}
			unfinished = append(unfinished, r)
		}
		runs = unfinished
		// More than twice the capacity in the first three seconds, then less than it.
		gap := 18
		if now < 3*time.Second {
			gap = 6
		}
		if int(now/step)%(gap/2) != 0 {
			continue
		}
		n++
		p := &Prompt{Model: "m", Tokens: tokens, MaxOutput: 4, Parts: []Part{{ID: fmt.Sprint(n), Tokens: tokens}}}
		large := n%20 == 0
		if large {
			p.Tokens = 7 * tokens
			largeAll++
		}
		cs := make([]Candidate, endpoints)
		for i := range cs {
			cs[i] = Candidate{Endpoint: Endpoint{ID: fmt.Sprint(i), FailureDomain: "a"}, Load: servers[i].load, Usable: true}
		}
		c := Choose(PlacementRequest{Prompt: p, Engine: engine, FailureDomain: "a", Now: now, StartIndex: n}, cs)
		if refuse && ShouldShed(c, latencyTarget) {
			refused++
			continue
		}
		s := &servers[c.Index]
		s.busyUntil = max(s.busyUntil, now) + time.Duration(p.Tokens)*time.Millisecond/prefillTokensPerMs
		s.load.Add(c.Load)
		runs = append(runs, run{c.Index, c.Load, s.busyUntil})
		if s.busyUntil-now <= latencyTarget {
			inTime++
			if large {
				largeServed++
			}
		} else {
			late++
		}
	}
	return inTime, late, refused, largeServed, largeAll
}

// Guards against an overload in which every prompt is accepted and nearly all answers
// are late even after the overload has ended, and against refusing most large
// prompts.
func TestSheddingServesMoreInTime(t *testing.T) {
	inTimeAcceptingAll, lateAcceptingAll, _, _, _ := simulateOverload(t, false)
	inTimeRefusing, lateRefusing, refused, largeServed, largeAll := simulateOverload(t, true)
	t.Logf("accepting all: %d in time, %d late; refusing: %d in time, %d late, %d refused, large %d of %d", inTimeAcceptingAll, lateAcceptingAll, inTimeRefusing, lateRefusing, refused, largeServed, largeAll)
	require.Greater(t, inTimeRefusing, inTimeAcceptingAll*5/4)
	require.Less(t, lateRefusing, lateAcceptingAll/4)
	require.GreaterOrEqual(t, largeServed*2, largeAll/2, "at least a quarter of the large prompts must be answered in time")
}

// Guards against refusing a large prompt while an endpoint is idle.
func TestIdleEndpointTakesALargePrompt(t *testing.T) {
	p := &Prompt{Model: "m", Tokens: 40_000, MaxOutput: 4}
	c := Choose(PlacementRequest{Prompt: p, Engine: &Engine{CapacityTokens: 80_000}}, []Candidate{{Endpoint: Endpoint{ID: "e"}, Usable: true}})
	require.False(t, ShouldShed(c, 500*time.Millisecond))
}

// Load pattern: all entries are lost at once, and the callers of 300 streams take them up as soon as
// the entries are back, while endpoints have room for 40 of them a second. Guards against callers
// that spend all their tries in the first second.
func TestStreamsThatBreakOffTogetherAreTakenUp(t *testing.T) {
	const (
		streams   = 300
		perSecond = 40.0
		tries     = 4
		base      = 250 * time.Millisecond
		deadline  = 12 * time.Second
		// beganShare is the share of new streams that began on such a day; those that are taken up
		// should go on as often.
		beganShare = 0.55
	)
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 0))
		type attempt struct {
			at   time.Duration
			made int
		}
		var due []attempt
		for range streams {
			due = append(due, attempt{time.Duration(rng.Float64() * float64(time.Second/2)), 1})
		}
		served, room, last := 0, 0.0, time.Duration(0)
		for len(due) > 0 {
			slices.SortFunc(due, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
			a := due[0]
			due = due[1:]
			room, last = min(room+perSecond*(a.at-last).Seconds(), perSecond/10), a.at
			if room >= 1 {
				room--
				served++
				continue
			}
			left := deadline - a.at
			if after := min(TakeUpRetryAfter(base, left, rng.Float64()), left/takeUpWaitShare); a.made < tries {
				due = append(due, attempt{a.at + after, a.made + 1})
			}
		}
		require.GreaterOrEqual(t, float64(served)/streams, beganShare, "seed %d", seed)
	}
	require.Equal(t, base, TakeUpRetryAfter(base, time.Millisecond, 1), "hardly any time is left")
	require.Equal(t, maxTakeUpWait, TakeUpRetryAfter(base, time.Hour, 1))
}
