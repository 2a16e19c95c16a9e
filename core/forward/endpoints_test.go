package forward

import (
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
	e.ApplySnapshot([]EndpointChange{readyChange("c")}, time.Second)
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
