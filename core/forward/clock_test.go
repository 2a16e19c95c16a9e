package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against older weights that are used past their bound after a restart, because a
// store's answer that waited in the socket of a suspended process shows an earlier clock.
func TestLateAnswerOfAStoreDoesNotPostponeANaming(t *testing.T) {
	const ahead = 500_000.0 // of the endpoints' clock, in ms
	stamp := func(at time.Duration) Stamp { return Stamp{ahead + milliseconds(at), at.Milliseconds()} }
	named := 20 * time.Second
	stored := StoredNaming{WeightVersion: WeightVersion{"m", 2}, Previous: 1, At: stamp(named), KnownAt: stamp(named + time.Second)}
	for name, c := range map[string]struct{ answered, now time.Duration }{
		"answer at once":         {24 * time.Second, 24 * time.Second},
		"answer took a while":    {24 * time.Second, 24*time.Second + 250*time.Millisecond},
		"suspended before it":    {27 * time.Second, 27 * time.Second},
		"suspended after it":     {24 * time.Second, 28 * time.Second},
		"suspended for too long": {24 * time.Second, 44 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewStoreView(Service{Name: "store"})
			v.ApplyList(StoreList{Epoch: 1, ClockMs: ahead + milliseconds(c.answered)}, 24*time.Second, c.now)
			now := Instant{Time: c.now, Earliest: stamp(c.now), Latest: stamp(c.now)}
			clock := v.Clock()
			var known bool
			now.Earliest.EndpointClockMs, now.Latest.EndpointClockMs, known = clock.Bounds(c.now)
			require.Equal(t, c.now-24*time.Second <= maxClockError, known)
			if !known {
				now.Earliest.EndpointClockMs, now.Latest.EndpointClockMs = 0, 0
			}
			n := stored.Naming(now)
			require.LessOrEqual(t, n.SetAt, named)
			require.GreaterOrEqual(t, n.KnownAt, named+time.Second)
			require.GreaterOrEqual(t, n.SetAt, named-maxWallClockError)
		})
	}
}

// Guards against a clock that is taken for earlier than it can be, because a report's values
// are older than the request for it, and against one that is used after it has drifted.
func TestReportsBoundTheClock(t *testing.T) {
	const ahead = 500_000.0 // of the endpoints' clock, in ms
	for name, c := range map[string]struct{ stated, started, now time.Duration }{
		"current":          {10 * time.Second, 10 * time.Second, 10 * time.Second},
		"some hundred ms":  {9300 * time.Millisecond, 10 * time.Second, 10*time.Second + 50*time.Millisecond},
		"oldest":           {9 * time.Second, 10 * time.Second, 10 * time.Second},
		"answer came late": {10 * time.Second, 10 * time.Second, 14 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var clock EndpointClock
			clock.ObserveReport(EndpointReport{}, c.started, c.now)
			require.True(t, clock.Expired(c.now), "a report without the clock")
			clock.ObserveReport(EndpointReport{ClockMs: ahead + milliseconds(c.stated)}, c.started, c.now)
			require.Equal(t, c.now-c.started+reportAge > maxClockError, clock.Expired(c.now), "bounds that are far apart are not used")
			earliest, latest, _ := clock.Bounds(c.now + time.Second)
			require.LessOrEqual(t, earliest, ahead+milliseconds(c.now+time.Second))
			require.GreaterOrEqual(t, latest, ahead+milliseconds(c.now+time.Second))
			require.True(t, clock.Expired(c.now+clockTTL))
		})
	}
}
