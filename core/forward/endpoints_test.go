package forward

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func readyChange(id string) EndpointChange {
	return EndpointChange{ID: id, Endpoint: &Endpoint{ID: id, Service: "s", FailureDomain: "a", Slots: 6}}
}

func ids(e *EndpointList, now time.Duration) []string {
	var out []string
	e.Each(now, func(p Endpoint) { out = append(out, p.ID) })
	return out
}

// applySnapshot replaces the list with a snapshot.
func applySnapshot(e *EndpointList, changes []EndpointChange, now time.Duration) {
	e.RemoveMissing(changes, now)
	e.Apply(changes, now)
}

// Guards against sending requests to draining endpoints, and against dropping all
// endpoints because their entries lapsed during an outage of the log.
func TestEndpointsLeaveAndLapse(t *testing.T) {
	e := NewEndpointList()
	e.Apply([]EndpointChange{readyChange("a"), readyChange("b"), readyChange("c")}, 0)
	require.Len(t, ids(e, 0), 3)
	draining := readyChange("a")
	draining.Endpoint.Draining = true
	e.Apply([]EndpointChange{draining, {ID: "b"}}, time.Second)
	require.Equal(t, []string{"c"}, ids(e, time.Second))

	e.LogLost(2 * time.Second)
	require.True(t, e.LogRegained(10*time.Second))
	e.Apply([]EndpointChange{{ID: "c"}, {ID: "a"}}, 10*time.Second)
	require.Equal(t, []string{"c"}, ids(e, 11*time.Second), "c has had no time to renew its entry; a was draining")
	require.Empty(t, ids(e, 13*time.Second), "c has not renewed its entry")
	e.Apply([]EndpointChange{readyChange("d"), {ID: "d"}}, 14*time.Second)
	require.Empty(t, ids(e, 14*time.Second), "removed long after the outage")
}

// Guards against keeping an endpoint whose entry was overwritten by another writer or
// is missing from a snapshot.
func TestUnreadableAndMissingEntries(t *testing.T) {
	e := NewEndpointList()
	e.Apply([]EndpointChange{readyChange("a"), readyChange("b")}, 0)
	e.Apply([]EndpointChange{{ID: "a", Err: errUnreadable}}, 0)
	require.Equal(t, []string{"b"}, ids(e, 0))
	applySnapshot(e, []EndpointChange{readyChange("c")}, time.Second)
	require.Equal(t, []string{"c"}, ids(e, time.Second))
}

var errUnreadable = errTest("unreadable")

type errTest string

func (e errTest) Error() string { return string(e) }

// Guards against using an endpoint that fails requests while its health check passes,
// and against avoiding it after it has recovered.
func TestFailingEndpointIsAvoidedAndProbedAgain(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var h Health
	now := time.Second
	for range 40 {
		now += 20 * time.Millisecond
		h.RecordResponse(rng.Float64() < 0.14, now, rng) // the service's usual failure rate
		require.True(t, h.Usable(now))
	}
	wasSuspect := false
	for range 60 {
		now += 20 * time.Millisecond
		h.RecordResponse(rng.Float64() < 0.6, now, rng)
		wasSuspect = wasSuspect || !h.Usable(now)
	}
	require.True(t, wasSuspect)
	for range 100 {
		now += 500 * time.Millisecond
		if h.Usable(now) && h.Allow(now) {
			h.RecordResponse(false, now, rng)
		}
	}
	require.True(t, h.Usable(now))
}

// Guards against refusing all requests because every remaining endpoint is suspect.
func TestSuspectEndpointIsUsedAsLastResort(t *testing.T) {
	cs := []Candidate{{Endpoint: Endpoint{ID: "a"}}, {Endpoint: Endpoint{ID: "b"}, Excluded: true}}
	c := Choose(PlacementRequest{}, cs)
	require.Equal(t, 0, c.Index)
	require.True(t, c.Suspect)
	cs[1] = Candidate{Endpoint: Endpoint{ID: "b"}, Usable: true, Load: EndpointLoad{Active: 5}}
	require.Equal(t, 1, Choose(PlacementRequest{}, cs).Index)
}

// Guards against selecting a route other than the host's longest matching prefix.
func TestRouteByHostAndLongestPrefix(t *testing.T) {
	tb := NewTable(&Config{Routes: []Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "h", PathPrefix: "/a/b/"}, {Name: "other", Host: "i", PathPrefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/": "short", "/a/b": "short", "/a/b/": "long", "/a/b/c/d": "long"} {
		require.Equal(t, want, tb.Route("h", path).Name, path)
	}
	require.Nil(t, tb.Route("h", "/b/"))
	require.Nil(t, tb.Route("j", "/a/"))
}

// Guards against placing a prompt on an endpoint without its shared parts while the
// one that has them is idle, and against queueing it at that endpoint when it is
// busy.
func TestPromptIsPlacedWhereItsPartsAreCached(t *testing.T) {
	p := &Prompt{Model: "m", Tokens: 9000, MaxOutput: 64, Parts: []Part{{"subject", 8000}, {"own", 1000}}}
	request := PlacementRequest{Prompt: p, Engine: &Engine{CapacityTokens: 80_000}, FailureDomain: "a", CacheGroup: "shared"}
	residency := &Residency{}
	residency.RecordUse(PartKey(Salt("shared", "m", 1), "subject"), 8000, 80_000, 0)
	models := []ModelState{{"m", 1}}
	cs := []Candidate{
		{Endpoint: Endpoint{ID: "a", Address: "10.0.0.1:80", FailureDomain: "a", Models: models}, Usable: true, Residency: &Residency{}},
		{Endpoint: Endpoint{ID: "b", Address: "10.0.0.2:80", FailureDomain: "a", Models: models}, Usable: true, Residency: residency},
	}
	c := Choose(request, cs)
	require.Equal(t, 1, c.Index)
	require.Equal(t, 8000, c.CachedTokens)
	cs[1].Load.Add(RequestLoad{PrefillTokens: 60_000})
	c = Choose(request, cs)
	require.Equal(t, 0, c.Index)
	require.Equal(t, 8000, c.FetchedTokens, "fetched from the endpoint that has it")
}

func recordOf(started, heartbeat int64, draining bool) EndpointChange {
	return EndpointChange{ID: "e", Endpoint: &Endpoint{ID: "e", Service: "s", StartedUnixMs: started, Heartbeat: heartbeat, Draining: draining}}
}

// Guards against a heartbeat that the log carries out seconds late and that brings back an endpoint
// which drains or has left: requests are sent to it while it exits.
func TestLateHeartbeatDoesNotBringBackAnEndpoint(t *testing.T) {
	removed := EndpointChange{ID: "e"}
	rejected := EndpointChange{ID: "e", Err: errUnreadable}
	for name, c := range map[string]struct {
		before []EndpointChange
		late   EndpointChange
		usable bool
	}{
		"draining":                              {[]EndpointChange{recordOf(5, 40, false), recordOf(5, 42, true)}, recordOf(5, 41, false), false},
		"draining, numbered like it":            {[]EndpointChange{recordOf(5, 42, true)}, recordOf(5, 42, false), false},
		"drained and removed":                   {[]EndpointChange{recordOf(5, 42, true), removed}, recordOf(5, 41, false), false},
		"draining, its record was overwritten":  {[]EndpointChange{recordOf(5, 42, true), rejected}, recordOf(5, 41, false), false},
		"removed without a word":                {[]EndpointChange{recordOf(5, 42, false), removed}, recordOf(5, 41, false), false},
		"draining, from the incarnation before": {[]EndpointChange{recordOf(4, 90, false), recordOf(5, 42, true)}, recordOf(4, 91, false), false},
		"back after its record lapsed":          {[]EndpointChange{recordOf(5, 42, false), removed}, recordOf(5, 43, false), true},
		"back with the record that lapsed":      {[]EndpointChange{recordOf(5, 42, false), removed}, recordOf(5, 42, false), true},
		"ready again":                           {[]EndpointChange{recordOf(5, 42, true)}, recordOf(5, 43, false), true},
		"started again":                         {[]EndpointChange{recordOf(5, 42, true)}, recordOf(6, 1, false), true},
		"started again after its removal":       {[]EndpointChange{recordOf(5, 42, true), removed}, recordOf(6, 1, false), true},
		"ready all the time":                    {[]EndpointChange{recordOf(5, 42, false)}, recordOf(5, 41, false), true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			e := NewEndpointList()
			e.Apply(c.before, now)
			now += 6 * time.Second
			require.Equal(t, !c.usable, e.Outdated(c.late.Endpoint, now))
			e.Apply([]EndpointChange{c.late}, now)
			require.Equal(t, c.usable, len(ids(e, now)) > 0)
			if !c.usable {
				applySnapshot(e, []EndpointChange{c.late}, now)
				require.Empty(t, ids(e, now), "read again as the newest record")
			}
		})
	}
}

// Guards against late records that are taken for new ones because the draining was read long before
// an outage of the log, or long ago while the endpoint still drains.
func TestLateHeartbeatsAreToldForAsLongAsTheyMayCome(t *testing.T) {
	late := []EndpointChange{recordOf(5, 41, false)}
	e := NewEndpointList()
	e.Apply([]EndpointChange{recordOf(5, 42, true)}, time.Hour)
	e.LogLost(time.Hour + time.Second)
	now := time.Hour + time.Minute
	require.True(t, e.LogRegained(now))
	e.Apply(late, now)
	require.Empty(t, ids(e, now))

	e = NewEndpointList()
	for now = time.Hour; now < time.Hour+time.Minute; now += time.Second {
		e.Apply([]EndpointChange{recordOf(5, 42+int64((now-time.Hour)/time.Second), true)}, now)
	}
	e.Apply(late, now)
	require.Empty(t, ids(e, now))
}

// Guards against an endpoint that is lost for good after one record of another writer under its ID, or
// after a start with its clock set back: its own records name lower numbers than the known one.
func TestEndpointComesBackAfterAnOddRecord(t *testing.T) {
	const future = math.MaxInt64
	for name, c := range map[string]struct {
		odd  []EndpointChange
		wait time.Duration
	}{
		"highest heartbeat":           {[]EndpointChange{recordOf(5, future, false)}, 0},
		"start in the future":         {[]EndpointChange{recordOf(future, 1, false)}, 0},
		"draining, highest heartbeat": {[]EndpointChange{recordOf(5, future, true)}, reorderWindow},
		"draining, future start":      {[]EndpointChange{recordOf(future, future, true)}, reorderWindow},
		"removed, future start":       {[]EndpointChange{recordOf(future, future, false), {ID: "e"}}, reorderWindow},
		"clock set back":              {[]EndpointChange{recordOf(9, 70, true), {ID: "e"}}, reorderWindow},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			e := NewEndpointList()
			e.Apply([]EndpointChange{recordOf(5, 40, false)}, now)
			e.Apply(c.odd, now)
			at := now
			for heartbeat := int64(41); len(ids(e, now)) == 0 || at == now; heartbeat++ {
				now += time.Second
				e.Apply([]EndpointChange{recordOf(5, heartbeat, false)}, now)
			}
			require.LessOrEqual(t, now-at, c.wait+time.Second)
			p, usable := e.Get("e", now)
			require.True(t, usable)
			require.EqualValues(t, 5, p.StartedUnixMs)
		})
	}
}
