package forward

import (
	"fmt"
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
