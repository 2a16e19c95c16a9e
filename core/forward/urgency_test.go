package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against loads that are counted for the wrong priorities, or that stay after their
// requests have ended.
func TestPriorityLoad(t *testing.T) {
	var l PriorityLoad
	urgent := RequestLoad{PrefillTokens: 100, MemoryTokens: 110, Priority: 0}
	middle := RequestLoad{PrefillTokens: 1000, MemoryTokens: 1100, Priority: 2, LongRunning: true}
	beyond := RequestLoad{PrefillTokens: 5, MemoryTokens: 5, Priority: 99}
	for _, w := range []RequestLoad{urgent, middle, beyond} {
		l.Add(w)
	}
	require.Equal(t, EndpointLoad{Active: 1, Waiting: 1, PrefillTokens: 100, MemoryTokens: 110}, l.UpTo(-3))
	require.Equal(t, l.UpTo(0), l.UpTo(1))
	require.Equal(t, 1100, l.UpTo(2).PrefillTokens)
	require.Equal(t, l.EndpointLoad, l.UpTo(9))
	l.RecordFirstEvent(&middle)
	require.True(t, middle.Started)
	require.Equal(t, EndpointLoad{Active: 2, Waiting: 1, PrefillTokens: 100, MemoryTokens: 1210, LongRunning: 1}, l.UpTo(2))
	for _, w := range []*RequestLoad{&urgent, &middle, &beyond} {
		l.Remove(w)
	}
	require.Equal(t, PriorityLoad{}, l)
}

// Guards against a distribution that never follows a change of the traffic.
func TestPriorityMixFollowsTheTraffic(t *testing.T) {
	var m PriorityMix
	peers := EndpointLoad{Active: 10, Waiting: 10, PrefillTokens: 1000, MemoryTokens: 1000}
	require.Equal(t, peers, m.UpTo(0, peers), "nothing is known yet")
	for i := range 100 {
		m.Record(RequestLoad{PrefillTokens: 100, MemoryTokens: 100, Priority: 2 * (i % 2)}, time.Duration(i)*10*time.Millisecond)
	}
	require.InDelta(t, 500, m.UpTo(0, peers).PrefillTokens, 10)
	require.Equal(t, 1000, m.UpTo(2, peers).PrefillTokens)
	for i := range 100 {
		m.Record(RequestLoad{PrefillTokens: 100, MemoryTokens: 100, Priority: 2}, time.Minute+time.Duration(i)*10*time.Millisecond)
	}
	require.Less(t, m.UpTo(0, peers).PrefillTokens, 20)
}

// Guards against refusing urgent prompts because of less urgent ones, which the engine
// lets them pass. Load pattern: an endpoint's memory is overcommitted by long prompts of
// the lowest priority while short urgent ones arrive.
func TestUrgentPromptsAreServedWhileMemoryIsFull(t *testing.T) {
	const target = 500 * time.Millisecond
	engine := &Engine{CapacityTokens: 100_000}
	var load PriorityLoad
	for range 10 {
		load.Add(RequestLoad{PrefillTokens: 2000, MemoryTokens: 12_000, Priority: 2, LongRunning: true})
	}
	shed := func(priority, tokens int) bool {
		p := &Prompt{Model: "m", Tokens: tokens, MaxOutput: 10}
		c := Choose(PlacementRequest{Prompt: p, Engine: engine, FailureDomain: "a", Priority: priority}, []Candidate{{
			Endpoint: Endpoint{ID: "e", FailureDomain: "a"}, Load: load.EndpointLoad, UrgentLoad: load.UpTo(priority), Usable: true,
		}})
		require.Zero(t, c.Index)
		return ShouldShed(c, target)
	}
	require.False(t, shed(0, 2400))
	require.True(t, shed(2, 12_000))
	require.True(t, shed(2, 2400), "requests of the same priority wait for each other")
	for range 15 {
		load.Add(RequestLoad{PrefillTokens: 2400, MemoryTokens: 2400})
	}
	require.True(t, shed(0, 2400), "too many urgent prompts wait already")
}
