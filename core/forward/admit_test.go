package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// prefillServer is an endpoint that reads prompts one after the other.
type prefillServer struct {
	load Load
	free time.Duration // when all that was placed is read
}

// overload replays prompts that come at more than the endpoints can read for three
// seconds, and counts the answers in time and the refusals.
func overload(t *testing.T, refuse bool) (inTime, late, refused, largeServed, largeAll int) {
	t.Helper()
	const target, step = 500 * time.Millisecond, 2 * time.Millisecond
	const endpoints, tokens = 4, 2400
	engine := &Engine{Slots: 64, CapacityTokens: 1 << 20}
	servers := make([]prefillServer, endpoints)
	type run struct {
		server int
		work   Work
		end    time.Duration
	}
	var runs []run
	n := 0
	for now := time.Duration(0); now < 8*time.Second; now += step {
		kept := runs[:0]
		for _, r := range runs {
			if r.end <= now {
				servers[r.server].load.Remove(&r.work)
				continue
			}
			kept = append(kept, r)
		}
		runs = kept
		// 1.6 times the capacity in the first three seconds, then half of it.
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
		c := Choose(Task{Prompt: p, Engine: engine, FailureDomain: "a", Now: now, First: n}, cs)
		if refuse && Hopeless(c, target) {
			refused++
			continue
		}
		s := &servers[c.Index]
		s.free = max(s.free, now) + time.Duration(p.Tokens)*time.Millisecond/prefillPerMs
		s.load.Add(c.Work)
		runs = append(runs, run{c.Index, c.Work, s.free})
		if s.free-now <= target {
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

// Guards against an overload in which every prompt is accepted and nearly all
// answers are late, also after the overload has ended, and against refusals that
// keep large prompts out.
func TestOverloadServesMoreInTime(t *testing.T) {
	all, late, _, _, _ := overload(t, false)
	some, lateToo, refused, largeServed, largeAll := overload(t, true)
	t.Logf("accepting all: %d in time, %d late; refusing: %d in time, %d late, %d refused, large %d of %d", all, late, some, lateToo, refused, largeServed, largeAll)
	require.Greater(t, some, all*5/4)
	require.Less(t, lateToo, late/4)
	require.GreaterOrEqual(t, largeServed*2, largeAll/2, "large prompts are served at least half as often as all")
}

// Guards against the refusal of a large prompt while an endpoint is free.
func TestFreeEndpointTakesALargePrompt(t *testing.T) {
	p := &Prompt{Model: "m", Tokens: 40_000, MaxOutput: 4}
	c := Choose(Task{Prompt: p, Engine: &Engine{CapacityTokens: 80_000}}, []Candidate{{Endpoint: Endpoint{ID: "e"}, Usable: true}})
	require.False(t, Hopeless(c, 500*time.Millisecond))
}
