package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Guards against a key that is accepted after it may have been revoked, against 401, 403
// and 404 from a process that may not have the newest configuration, and against such a
// process reporting ready.
func TestStaleConfigurationRefusesKeys(t *testing.T) {
	e := serveRaw(t, respondOK("answer"))
	f := newFixture(t, e)
	status := func(path, key string) int { return f.status(t, path, key) }
	require.True(t, f.Ready())
	require.Equal(t, 200, status("/unsafe/x", "key"))
	require.Equal(t, 401, status("/unsafe/x", "unknown"))
	require.Equal(t, 404, status("/nowhere/x", "key"))
	f.clock.advance(3500 * time.Millisecond)
	require.False(t, f.Ready())
	require.Equal(t, 200, status("/unsafe/x", "key"), "the configuration is still within the key revocation bound")
	require.Equal(t, 503, status("/unsafe/x", "unknown"))
	require.Equal(t, 503, status("/nowhere/x", "key"))
	f.clock.advance(2 * time.Second)
	require.Equal(t, 503, status("/unsafe/x", "key"))
	require.EqualValues(t, 2, e.requests.Load())
	f.applyOperators(nil, f.clock.read(), false)
	require.True(t, f.Ready())
	require.Equal(t, 200, status("/unsafe/x", "key"))
}

// Guards against a request that is sent with an expired key check because the process was
// suspended after placement or connecting took long.
func TestKeyIsRecheckedBeforeTheRequestIsSent(t *testing.T) {
	e := serveRaw(t, respondOK("answer"))
	f := newFixture(t, e)
	q := &request{g: f.Gateway, customer: &f.state.table.Config.Customers[0], route: &forward.Route{}}
	require.NoError(t, q.checkKeyFreshness())
	suspended := func() error {
		f.clock.advance(5 * time.Second)
		return q.checkKeyFreshness()
	}
	m := &wireRequest{method: "POST", uri: "/unsafe/x", host: "service.test", header: http.Header{}}
	endpoint := forward.Endpoint{ID: "e0", Address: e.address}
	_, xerr := f.exchange(t.Context(), m, "id", endpoint, 1, suspended)
	require.ErrorIs(t, xerr, errKeyStale)
	require.False(t, xerr.sent)
	require.Zero(t, e.requests.Load())
	require.Empty(t, f.pool.inUse)
	q.route.Public = true
	require.NoError(t, q.checkKeyFreshness())
}

// Guards against 401 and 404 for requests that queued at the sockets of a suspended process
// while their key or route was added. Found by the forwarding soak test, seed 1016.
func TestResumedProcessDoesNotDenyNewKeys(t *testing.T) {
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	status := func(path, key string) int { return f.status(t, path, key) }
	require.Equal(t, 401, status("/unsafe/x", "new"))
	before := f.clock.read()
	f.clock.advance(2 * time.Second)
	require.Equal(t, 503, status("/unsafe/x", "new"))
	require.Equal(t, 503, status("/nowhere/x", "key"))
	require.Equal(t, 200, status("/unsafe/x", "key"))
	f.applyOperators(nil, before, false)
	require.Equal(t, 503, status("/unsafe/x", "new"), "a read that started before the suspension proves nothing")
	f.applyOperators(nil, f.clock.read(), false)
	require.Equal(t, 401, status("/unsafe/x", "new"))
	require.Equal(t, 404, status("/nowhere/x", "key"))
}

// Guards against a resuming process that refuses queued requests although the log shows
// within milliseconds that their keys are valid. Load pattern: all requests queued at the
// sockets during the suspension arrive at once.
func TestResumedProcessServesQueuedRequests(t *testing.T) {
	const queued = 20
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	f.state.recordActivity(f.clock.read())
	f.clock.advance(6 * time.Second)
	statuses := make(chan int, queued)
	for i := range queued {
		r := f.request(t, "POST", fmt.Sprintf("/unsafe/%d", i), "")
		go func() {
			status, _, err := f.do(t, r)
			if err != nil {
				status = -1
			}
			statuses <- status
		}()
	}
	require.Eventually(t, func() bool { return f.inFlight.Load() == queued }, resumeReadTimeout/2, time.Millisecond)
	f.applyOperators(nil, f.clock.read(), false)
	for range queued {
		require.Equal(t, 200, <-statuses)
	}
	f.clock.advance(6 * time.Second) // no read completes: the request is refused soon
	began := time.Now()
	status, _, err := f.do(t, f.request(t, "POST", "/unsafe/x", ""))
	require.NoError(t, err)
	require.Equal(t, 503, status)
	require.Less(t, time.Since(began), 2*resumeReadTimeout)
}

// Guards against 401, 403 or 404 before a configuration has been read.
func TestMissingConfigurationReturnsRetryAfter(t *testing.T) {
	clock := &testClock{}
	g := New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), HeaderCodec: testHeaderCodec{}})
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest("POST", "/unsafe/x", nil))
	require.Equal(t, 503, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.False(t, g.Ready())
}

// Guards against an older configuration replacing a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	f := newFixture(t)
	f.applyOperators([]forward.OperatorChange{{Config: &forward.Config{Version: 7}}}, f.clock.read(), false)
	f.applyOperators([]forward.OperatorChange{{Config: &forward.Config{Version: 5}}}, f.clock.read(), true)
	require.EqualValues(t, 7, f.state.table.Config.Version)
}

// Guards against requests on old weights after a restart of the gateway: the version in the
// first read may have been named long ago.
func TestVersionNamedBeforeStartHasNoGracePeriod(t *testing.T) {
	clock := &testClock{}
	g := New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), HeaderCodec: testHeaderCodec{}})
	g.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, clock.read(), true)
	g.applyEndpoints([]forward.EndpointChange{
		{ID: "old", Endpoint: &forward.Endpoint{ID: "old", Service: "s", Models: []forward.ModelState{{Name: "m", Version: 1}}}},
		{ID: "new", Endpoint: &forward.Endpoint{ID: "new", Service: "s", Models: []forward.ModelState{{Name: "m", Version: 2}}}},
	}, clock.read(), true)
	for _, c := range g.state.candidates("s", &forward.Prompt{Model: "m"}, 0, nil, clock.read()) {
		require.Equal(t, c.Endpoint.ID == "old", c.Excluded, c.Endpoint.ID)
	}
}

// Guards against entries that report not ready or refuse keys while the log works normally. The
// configuration age reaches the wait of a long poll and the time of its transfer. TestOperatorPolls
// measures it.
func TestNormalConfigurationAgeIsFresh(t *testing.T) {
	const responseTimes = 2 * 50 * time.Millisecond
	for name, wait := range map[string]time.Duration{"default": operatorPollWait, "of the deployment": 2 * time.Second, "longest": milliseconds(maxOperatorPollMs)} {
		require.Less(t, wait+responseTimes, min(maxReadyConfigAge, staleConfigAge), name)
		failed := wait + readTimeoutMargin + readBackoff.Base + responseTimes // the next read doesn't wait
		require.Less(t, failed, milliseconds(testSettings().RevokeMs)-revokeMargin, "%s: one read may fail", name)
		if wait <= 2*time.Second {
			require.Less(t, failed, min(maxReadyConfigAge, staleConfigAge), "%s: one read may fail", name)
		}
	}
}

// Guards against a removed key that stays valid, because a read that returned only a part of the
// records counted as proof that nothing newer was written.
func TestPartialReadProvesNothing(t *testing.T) {
	g, clock := newGateway(t)
	partial := batch(0, 6, configRecord(6))
	partial.Partial = true
	f := &scriptedFeed{
		newest: []Batch[forward.OperatorChange]{batch(0, 5, configRecord(5))},
		reads:  []Batch[forward.OperatorChange]{partial, partial, batch(0, 8, configRecord(8))},
	}
	r := newReader(g, f)
	age := func() time.Duration {
		a, _ := g.state.freshness.Age(clock.read())
		return a
	}
	for _, want := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 0} {
		require.NoError(t, r.poll(t.Context(), clock.read(), 0))
		require.Equal(t, want, age())
		clock.advance(2 * time.Second)
	}
	require.EqualValues(t, 8, g.state.table.Config.Version)
}
