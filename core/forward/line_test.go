package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a line that doesn't follow rank, shares and arrival.
func TestLineOrder(t *testing.T) {
	var l Line
	now := time.Minute
	late := l.Join(3, false, now)
	over := l.Join(1, true, now)
	first := l.Join(1, false, now)
	second := l.Join(1, false, now)
	for _, want := range []*LinePlace{first, second, over, late} {
		require.Same(t, want, l.First())
		l.Leave(want, false, now)
	}
	require.Nil(t, l.First())
	require.False(t, l.MustWait(9))
	l.Join(2, false, now)
	require.True(t, l.MustWait(2))
	require.False(t, l.MustWait(1), "a more urgent prompt doesn't wait behind it")
}

// Guards against prompts that wait although those before them have waited in vain, and against a line
// without end.
func TestLineRefusesWhatWouldWaitInVain(t *testing.T) {
	var l Line
	now := time.Minute
	in := l.Join(1, false, now)
	l.Join(1, false, now)
	l.Leave(in, true, now)
	require.Nil(t, l.Join(1, false, now))
	require.Nil(t, l.Join(2, false, now), "a less urgent one would wait longer")
	require.NotNil(t, l.Join(0, false, now), "a more urgent one comes first")
	require.NotNil(t, l.Join(1, false, now+hopelessTime))
	for range maxLineLength {
		l.Join(0, false, now)
	}
	require.Equal(t, maxLineLength, l.Len())
	require.Nil(t, l.Join(0, false, now))
}

// Guards against waits beyond what the target or the deadline leaves, and against patient prompts that
// fill the queues of urgent ones.
func TestLineTimesAndRoom(t *testing.T) {
	require.Equal(t, 1400*time.Millisecond, LineTime(2*time.Second, 15*time.Second))
	require.Equal(t, 250*time.Millisecond, LineTime(2*time.Second, time.Second))
	require.Zero(t, LineTime(0, time.Second))
	require.True(t, LeavesRoom(Choice{QueueWait: time.Second}, 0))
	require.True(t, LeavesRoom(Choice{QueueWait: 100 * time.Millisecond}, 500*time.Millisecond))
	require.False(t, LeavesRoom(Choice{QueueWait: 101 * time.Millisecond}, 500*time.Millisecond))
	table := NewTable(&Config{Routes: []Route{
		{Name: "draft", Priority: 2, LatencyTarget: 2 * time.Second, CarriesPrompts: true, Targets: []Target{{"s", 1}}},
		{Name: "check", Priority: 0, LatencyTarget: 500 * time.Millisecond, CarriesPrompts: true, Targets: []Target{{"s", 1}}},
		{Name: "plain", Priority: 0, LatencyTarget: 100 * time.Millisecond, Targets: []Target{{"s", 1}}},
		{Name: "other", Priority: 0, LatencyTarget: 200 * time.Millisecond, CarriesPrompts: true, Targets: []Target{{"t", 1}}},
	}})
	require.Equal(t, 500*time.Millisecond, table.UrgentTarget("s", &table.Config.Routes[0]))
	require.Zero(t, table.UrgentTarget("s", &table.Config.Routes[1]))
}
