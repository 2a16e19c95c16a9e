package gateway

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Guards against a request that ends one endpoint after the other as its caller sends it again and
// again through any entry, whatever its kind and whether it has a prompt.
func TestRequestThatCrashesEndpointsIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		path    string
		mode    crashMode
		prompt  []string
	}{
		"safe call":                     {4, "/safe/x", crashBeforeHead, nil},
		"safe call, after the head":     {4, "/safe/x", crashAfterHead, nil},
		"payment":                       {4, "/unsafe/x", crashBeforeHead, nil},
		"stream without prompt":         {4, "/stream/x", crashAfterHead, nil},
		"prompt whose last part is bad": {4, "/resumable/x", crashBeforeHead, []string{"first", "own"}},
		"prompt of one part":            {4, "/stream/x", crashAfterHead, []string{"own"}},
		"one entry":                     {1, "/safe/x", crashBeforeHead, nil},
		"31 entries":                    {31, "/safe/x", crashBeforeHead, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := newCrashGroup(t, c.entries, 4, "bad body")
			g.mode = c.mode
			sound, served, status := 0, 0, 0
			for i := range 100 {
				sound++
				served += boolInt(g.sendBody(i, c.path, "key", fmt.Sprint("body", i), c.prompt...) == 200)
				if i%5 == 0 {
					status = g.sendBody(i/5, c.path, "key", "bad body", c.prompt...)
				}
				g.step(crashStep)
			}
			require.LessOrEqual(t, g.lateAfter(3), 3, "%d such requests reached endpoints, %d crashes", len(g.arrivals), len(g.crashes))
			require.Equal(t, 503, status, "the request is refused at once")
			require.LessOrEqual(t, len(g.crashes), 4)
			require.GreaterOrEqual(t, served, sound*9/10)
		})
	}
}

// Guards against a refusal that doesn't say what is wrong, that the request has not run, and when
// to come back; and against one that also meets other requests, or other callers.
func TestOnlyTheHeldRequestIsRefused(t *testing.T) {
	g := newCrashGroup(t, 2, 4, "bad body")
	g.mode = crashBeforeHead
	require.Equal(t, 502, g.sendBody(0, "/safe/x", "key", "bad body"), "its two attempts end two endpoints")
	g.step(crashStep)
	arrivals, f := len(g.arrivals), g.entries[1]
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/safe/x", "bad body"))
	require.NoError(t, err)
	defer resp.Body.Close()
	var answer struct{ Error errorBody }
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&answer))
	require.Equal(t, 503, resp.StatusCode)
	require.EqualValues(t, "request_held", answer.Error.Kind)
	require.EqualValues(t, "not_run", answer.Error.Ran)
	require.NotEmpty(t, answer.Error.Remedy)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 2.0)
	require.Len(t, g.arrivals, arrivals, "it was sent to an endpoint")
	held := f.Status().HeldRequests
	require.Len(t, held, 1)
	require.Equal(t, "/safe/", held[0].Part)
	require.Len(t, held[0].Crashes, 2)

	g.setCulprit("bad body", false)
	require.Equal(t, 200, g.sendBody(1, "/safe/x", "key", "good body"))
	require.Equal(t, 200, g.sendBody(1, "/safe/y", "key", "bad body"))
	require.Equal(t, 200, g.sendBody(1, "/safe/x", "dedicated", "bad body"))
	require.Equal(t, 503, g.sendBody(1, "/safe/x?page=2", "key", "bad body"), "the query doesn't make it another request")
}

// Guards against sound requests that are held for good as endpoints ended under them for another
// reason, and against ones that are held although they were answered since.
func TestSoundRequestOnKilledEndpointsIsServedAgain(t *testing.T) {
	g := newCrashGroup(t, 2, 4, "sound body")
	g.mode = crashBeforeHead
	require.Equal(t, 502, g.sendBody(0, "/safe/x", "key", "sound body"))
	g.setCulprit("sound body", false) // the endpoints were killed
	served := -1
	for i := 0; i < 100 && served < 0; i++ {
		g.step(crashStep)
		if g.sendBody(i, "/safe/x", "key", "sound body") == 200 {
			served = i
		}
	}
	require.GreaterOrEqual(t, served, 0, "it is tried once more")
	g.step(crashStep)
	for i := range 10 {
		require.Equal(t, 200, g.sendBody(i, "/safe/x", "key", "sound body"), "all entries have heard of the answer")
	}

	g = newCrashGroup(t, 1, 4, "sound body")
	g.mode = crashBeforeHead
	for range 5 {
		require.Equal(t, 502, g.sendBody(0, "/unsafe/x", "key", "sound body"), "one attempt")
		g.setCulprit("sound body", false)
		g.step(g.downFor)
		require.Equal(t, 200, g.sendBody(0, "/unsafe/x", "key", "sound body"))
		g.setCulprit("sound body", true)
	}
}

// Guards against a held request that is sent after the loss of all entries, or as it was placed just
// before.
func TestHeldRequestOutlivesTheEntries(t *testing.T) {
	store := &fakePartStore{parts: map[uint64]StoredPart{}}
	g := newCrashGroup(t, 4, 4, "bad body")
	g.mode = crashBeforeHead
	q := &request{g: g.entries[1].Gateway, route: &forward.Route{Name: "/safe/"}, customer: &forward.Customer{Name: "c"}, msg: wireRequest{method: "POST", uri: "/safe/x", host: "service.test", body: []byte("bad body")}}
	p := &placement{endpoint: forward.Endpoint{ID: "x", Build: "b1"}}
	require.NoError(t, q.checkPlacement(p))
	require.Equal(t, 502, g.sendBody(0, "/safe/x", "key", "bad body"))
	g.step(crashStep)
	require.ErrorIs(t, q.checkPlacement(p), errHeld)
	for _, f := range g.entries {
		f.partStore = store
		require.NoError(t, f.saveParts(t.Context()))
	}
	require.Len(t, store.parts, 1)
	crashes := len(g.crashes)
	g.testGroup = newTestGroup(t, 4)
	for _, f := range g.entries {
		g.configure(f)
		f.partStore = store
		f.recoverParts(t.Context())
	}
	g.list()
	for i := range 20 {
		require.Equal(t, 503, g.sendBody(i, "/safe/x", "key", "bad body"))
		g.step(crashStep)
	}
	require.Len(t, g.crashes, crashes)
}
