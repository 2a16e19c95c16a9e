package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer from before a return of the log that counts as current, and
// against one damaged era that makes all later answers stale.
func TestEraTracker(t *testing.T) {
	for name, c := range map[string]struct {
		eras   []Era
		want   []EraOrder
		newest Era
	}{
		"no eras":                         {[]Era{0, 0, 0}, []EraOrder{EraCurrent, EraCurrent, EraCurrent}, 0},
		"the first answer is no return":   {[]Era{4, 4}, []EraOrder{EraCurrent, EraCurrent}, 4},
		"return":                          {[]Era{1, 2, 2}, []EraOrder{EraCurrent, EraRisen, EraCurrent}, 2},
		"late answer of the older era":    {[]Era{1, 2, 1, 2}, []EraOrder{EraCurrent, EraRisen, EraStale, EraCurrent}, 2},
		"missing after it was there":      {[]Era{1, 0, 1}, []EraOrder{EraCurrent, EraStale, EraCurrent}, 1},
		"begins to number":                {[]Era{0, 3}, []EraOrder{EraCurrent, EraRisen}, 3},
		"skips, confirmed":                {[]Era{1, 4, 4}, []EraOrder{EraCurrent, EraStale, EraRisen}, 4},
		"one damaged value":               {[]Era{1, 900, 1, 2}, []EraOrder{EraCurrent, EraStale, EraCurrent, EraRisen}, 2},
		"two returns one after the other": {[]Era{1, 2, 3}, []EraOrder{EraCurrent, EraRisen, EraRisen}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			var tr EraTracker
			for i, e := range c.eras {
				require.Equal(t, c.want[i], tr.Observe(e), "answer %d", i)
			}
			require.Equal(t, c.newest, tr.Newest())
		})
	}
}

// Guards against reads that count as proof that nothing is newer while the log lacks
// records that were known before it returned, and against waiting for them for ever.
func TestCatchUp(t *testing.T) {
	known := Knowledge{ConfigVersion: 7, Weights: map[string]int64{"m": 3}}
	var c CatchUp
	ended, _ := c.Check(known, 0)
	require.False(t, ended || c.Pending(), "the log has not returned")
	c.RecordConfig(7)
	c.RecordWeights(WeightVersion{"m", 3})
	c.Begin(time.Second)
	ended, _ = c.Check(known, time.Second)
	require.False(t, ended, "what was read before the return does not count")
	c.RecordConfig(5)
	c.RecordWeights(WeightVersion{"m", 3})
	ended, _ = c.Check(known, 2*time.Second)
	require.False(t, ended)
	c.RecordConfig(7)
	ended, complete := c.Check(known, 3*time.Second)
	require.True(t, ended && complete)
	require.False(t, c.Pending())

	c.Begin(time.Minute)
	ended, _ = c.Check(known, time.Minute+rewriteLimit-1)
	require.False(t, ended)
	ended, complete = c.Check(known, time.Minute+rewriteLimit)
	require.True(t, ended)
	require.False(t, complete)
}

// Guards against a starting process that serves by an older configuration than its peers
// use, and against one that never serves because of a peer that is wrong.
func TestStartup(t *testing.T) {
	const second = time.Second
	var s Startup
	require.Equal(t, StartComplete, s.Check(0, true, false, 5, 0, second), "the log never returns from an older copy")
	require.Equal(t, StartAwaitsPeers, s.Check(2, true, false, 5, 0, second))
	require.Equal(t, StartBehindPeers, s.Check(2, true, true, 5, 7, second+100*time.Millisecond))
	require.Equal(t, StartComplete, s.Check(2, true, true, 7, 7, 2*second))
	require.Equal(t, StartBehindPeers, s.Check(2, true, true, 7, 8, 2*second+1), "another version was lost")
	require.Equal(t, StartComplete, s.Check(2, true, true, 8, 8, 3*second))
	require.Equal(t, StartComplete, s.Check(2, true, true, 8, 8, 3*second+levelConfirmTime))
	require.Equal(t, StartComplete, s.Check(2, true, true, 8, 9, 5*second), "the start is complete; freshness decides from here on")

	for name, c := range map[string]struct {
		hasPeers, heard bool
		peers           int64
		until           time.Duration
		gaveUp          bool
	}{
		"alone":               {false, false, 0, second, false},
		"silent peers":        {true, false, 0, second + peerWaitLimit, false},
		"peers stay ahead":    {true, true, 9, second + peersAheadLimit, true},
		"peers have the same": {true, true, 5, second, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Startup
			for now := second; now < c.until; now += second / 10 {
				require.NotEqual(t, StartComplete, s.Check(2, c.hasPeers, c.heard, 5, c.peers, now))
			}
			require.Equal(t, StartComplete, s.Check(2, c.hasPeers, c.heard, 5, c.peers, c.until))
			require.Equal(t, c.gaveUp, s.GaveUp)
		})
	}
}

// Guards against an older copy of the log that brings back an endpoint that drains or has
// left, or that removes one which is still there.
func TestOlderCopyDoesNotChangeTheEndpointList(t *testing.T) {
	entry := func(id string, started, heartbeat int64, draining bool) EndpointChange {
		return EndpointChange{ID: id, Endpoint: &Endpoint{ID: id, StartedUnixMs: started, Heartbeat: heartbeat, Draining: draining}}
	}
	now := time.Minute
	l := NewEndpointList()
	applySnapshot(l, []EndpointChange{entry("drains", 100, 7, true), entry("left", 100, 7, false), entry("new", 500, 1, false), entry("restarted", 400, 1, false)}, now)
	l.Apply([]EndpointChange{{ID: "left"}}, now)
	usable := func(now time.Duration) map[string]bool {
		out := map[string]bool{}
		l.Each(now, func(e Endpoint) { out[e.ID] = true })
		return out
	}
	require.Equal(t, map[string]bool{"new": true, "restarted": true}, usable(now))

	l.LogReturned(now)
	applySnapshot(l, []EndpointChange{entry("drains", 100, 3, false), entry("left", 100, 6, false), entry("restarted", 100, 90, false)}, now)
	require.Equal(t, map[string]bool{"new": true, "restarted": true}, usable(now))
	e, _ := l.Get("restarted", now)
	require.EqualValues(t, 400, e.StartedUnixMs)

	now += time.Second // the endpoints write their entries again
	l.Apply([]EndpointChange{entry("new", 500, 2, false), entry("left", 100, 8, false), entry("drains", 100, 8, false)}, now)
	require.Equal(t, map[string]bool{"new": true, "restarted": true, "left": true}, usable(now), "a later heartbeat shows that the endpoint is there; one that drains stays so")
	l.Apply([]EndpointChange{entry("drains", 600, 1, false)}, now)
	require.True(t, usable(now)["drains"], "a new incarnation")
	l.Apply([]EndpointChange{entry("drains", 100, 9, false)}, now+reorderWindow)
	e, _ = l.Get("drains", now)
	require.EqualValues(t, 100, e.StartedUnixMs, "after the window entries apply in log order")
}

// Guards against orders by a member list from before a return of the log, also from a join
// or a list whose answer comes late.
func TestReturnOfTheLogEndsOwnership(t *testing.T) {
	o := Ownership{Self: "a", Lease: testLease, Handover: testHandover}
	renew := func(g Generation, from, until time.Duration) {
		for now := from; now < until; now += testTick {
			o.RecordJoin(g, now)
			if !o.KnowsMembers(g) {
				o.RecordMembers(g, []string{"a"})
			}
		}
	}
	old := Generation{Era: 1, Number: 9}
	renew(old, 0, 10*time.Second)
	require.True(t, o.Owns("e", 10*time.Second))
	token := o.FencingToken()

	now := 10 * time.Second
	o.RecordEra(2)
	require.False(t, o.Owns("e", now) || o.IsSoleOwner("e", now))
	require.False(t, o.RecordJoin(old, now), "an answer of the older era")
	o.RecordMembers(old, []string{"a"})
	require.Empty(t, o.Members())
	renew(Generation{Era: 2, Number: 3}, now, now+testHandover)
	require.False(t, o.IsSoleOwner("e", now+testHandover), "the handover pause holds across the return")
	renew(Generation{Era: 2, Number: 3}, now+testHandover, now+2*testHandover)
	require.True(t, o.Owns("e", now+2*testHandover))
	require.Greater(t, o.FencingToken(), token, "the generation fell")
}
