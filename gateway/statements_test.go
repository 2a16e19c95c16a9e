package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// answering returns an endpoint that sends an answer with the request's ID in it and keeps the
// connection.
func answering(t *testing.T, answer string) *testEndpoint {
	return serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(c, strings.ReplaceAll(answer, "%ID", r.Header.Get("Test-Id")))
		return err == nil
	})
}

// observe has a fixture record what an answer of a listed endpoint says.
func (f *fixture) observe(id string, r ResponseInfo) {
	f.state.mu.Lock()
	e, _ := f.state.endpointList.Get(id, f.clock.read())
	f.state.mu.Unlock()
	f.observeStatements(e, r)
}

// gets reports whether the endpoint gets the next request.
func (f *fixture) gets(t *testing.T, e *testEndpoint) bool {
	t.Helper()
	before := e.requests.Load()
	f.confirmConfig()
	f.status(t, "/unsafe/x", "key")
	return e.requests.Load() > before
}

const okHead = "HTTP/1.1 200 OK\r\nTest-Id: %ID\r\nTest-Seal: s\r\n"

// Guards against an endpoint that gets new requests after it has said in an answer of any kind that
// it leaves, while its record still says that it is ready.
func TestEndpointThatLeavesGetsNoNewRequest(t *testing.T) {
	for name, answer := range map[string]string{
		"success":           okHead + "Test-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
		"failure":           "HTTP/1.1 500 Failed\r\nTest-Id: %ID\r\nTest-Seal: s\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"no receipt":        "HTTP/1.1 200 OK\r\nTest-Id: %ID\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"refusal":           "HTTP/1.1 503 Busy\r\nTest-Id: %ID\r\nTest-Not-Run: 1\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"too many":          "HTTP/1.1 429 Too Many\r\nTest-Not-Run: 1\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected, own":  "HTTP/1.1 421 Misdirected\r\nTest-Not-Run: 1\r\nTest-Leaving: 1\r\nTest-Instance: e0\r\nContent-Length: 0\r\n\r\n",
		"stream":            okHead + "Test-Leaving: 1\r\nContent-Length: 9\r\n\r\ndata: x\n\n",
		"body is cut":       okHead + "Test-Leaving: 1\r\nContent-Length: 90\r\n\r\npart",
		"another request's": "HTTP/1.1 200 OK\r\nTest-Id: other\r\nTest-Seal: s\r\nTest-Leaving: 1\r\nContent-Length: 0\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			leaving, other := answering(t, answer), serveRaw(t, respondOK("ok"))
			f := newFixture(t, leaving, other)
			for _, path := range []string{"/stream/x", "/safe/x", "/unsafe/x", "/resumable/x"} {
				_, _, _ = f.do(t, f.request(t, "POST", path, "x")) // the first one may be cut
			}
			require.EqualValues(t, 1, leaving.requests.Load())
			require.Equal(t, 200, f.status(t, "/unsafe/x", "key"))
		})
	}
}

// Guards against an answer whose caller has left, so that nobody reads that the endpoint leaves.
func TestAnswerWhoseCallerHasLeftSaysThatItsEndpointLeaves(t *testing.T) {
	leaving := answering(t, okHead+"Test-Leaving: 1\r\nContent-Length: 99\r\n\r\nid: 1\n\n")
	f := newFixture(t, leaving, serveRaw(t, respondOK("ok")))
	ctx, leave := context.WithCancel(t.Context())
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/stream/x", "").WithContext(ctx))
	require.NoError(t, err)
	leave()
	resp.Body.Close()
	require.False(t, f.gets(t, leaving))
}

// Guards against an endpoint that is kept out because another one which answers at its address
// leaves, and against its ID's next start that gets no requests.
func TestLeavingCountsForTheEndpointThatSaidSo(t *testing.T) {
	for _, instance := range []string{"", "Test-Instance: other\r\n"} {
		e := answering(t, "HTTP/1.1 421 Misdirected\r\nTest-Not-Run: 1\r\nTest-Leaving: 1\r\n"+instance+"Content-Length: 0\r\n\r\n")
		f := newFixture(t, e)
		f.status(t, "/unsafe/x", "key")
		f.clock.advance(misdirectedPause)
		require.True(t, f.gets(t, e))
	}
	e, f := leavingFixture(t)
	f.applyEndpoints([]forward.EndpointChange{{ID: "e0"}, {ID: "e1", Endpoint: record("e1", e.address, 9, false)}}, f.clock.read(), false)
	require.True(t, f.gets(t, e), "another endpoint has the address")
}

func record(id, address string, started int64, draining bool) *forward.Endpoint {
	return &forward.Endpoint{ID: id, Service: "s", Address: address, FailureDomain: "a", Slots: 4, StartedUnixMs: started, Draining: draining}
}

// leavingFixture returns a gateway whose only endpoint, e0, started at 5 ms, has said that it leaves.
func leavingFixture(t *testing.T) (*testEndpoint, *fixture) {
	e := serveRaw(t, respondOK("ok"))
	f := newFixture(t, e)
	f.applyEndpoints([]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", e.address, 5, false)}}, f.clock.read(), true)
	require.True(t, f.gets(t, e))
	f.observe("e0", ResponseInfo{Leaving: true})
	require.False(t, f.gets(t, e))
	return e, f
}

// Guards against records of an endpoint that undo what it has said: later heartbeats, its removal
// and return, a return of the log from an older copy.
func TestRecordsDoNotUndoWhatAnEndpointHasSaid(t *testing.T) {
	for name, c := range map[string]struct {
		changes []forward.EndpointChange
		gets    bool
	}{
		"heartbeat":             {[]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", "", 5, false)}}, false},
		"drained, then ready":   {[]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", "", 5, true)}, {ID: "e0", Endpoint: record("e0", "", 5, false)}}, false},
		"removed, then back":    {[]forward.EndpointChange{{ID: "e0"}, {ID: "e0", Endpoint: record("e0", "", 5, false)}}, false},
		"an older start":        {[]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", "", 4, false)}}, false},
		"a record of no start":  {[]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", "", 0, false)}}, false},
		"a new start":           {[]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", "", 6, false)}}, true},
		"invalid, then a start": {[]forward.EndpointChange{{ID: "e0", Err: io.EOF}, {ID: "e0", Endpoint: record("e0", "", 6, false)}}, true},
	} {
		for _, returned := range []bool{false, true} {
			for _, r := range []ResponseInfo{{Leaving: true}, {RetryAfter: time.Hour}} {
				e, f := leavingFixture(t)
				f.state.statements = newStatements()
				f.state.listedCache = nil
				f.observe("e0", r)
				if returned {
					f.state.endpointList.LogReturned(f.clock.read())
				}
				for _, change := range c.changes {
					if change.Endpoint != nil {
						change.Endpoint.Address = e.address
					}
					f.applyEndpoints([]forward.EndpointChange{change}, f.clock.read(), false)
				}
				require.Equal(t, c.gets, f.gets(t, e), "%s, log returned %v, %v", name, returned, r)
			}
		}
	}
}

// placed returns a request that has been placed but not sent.
func (f *fixture) placed(t *testing.T, path string) (*request, *placement) {
	r := httptest.NewRequest("POST", path, strings.NewReader("x"))
	r.Host = "service.test"
	r.Header.Set("Test-Key", "key")
	r.Header.Set("Test-Id", "id")
	q := &request{g: f.Gateway, w: httptest.NewRecorder(), r: r, arrivedAt: f.clock.read(), tried: map[string]bool{}}
	require.Nil(t, q.admit())
	require.Nil(t, q.readBody())
	p, err := q.place()
	require.Nil(t, err)
	return q, p
}

// Guards against a request that is sent to an endpoint which said, while the request waited for a
// connection, that it takes none, and against its failure counting against the endpoint.
func TestStatementsAreCheckedBeforeARequestIsSent(t *testing.T) {
	for want, r := range map[error]ResponseInfo{errLeaving: {Leaving: true}, errPaused: {RetryAfter: time.Second}} {
		a, b := serveRaw(t, respondOK("ok")), serveRaw(t, respondOK("ok"))
		f := newFixture(t, a, b)
		q, p := f.placed(t, "/unsafe/x")
		require.Equal(t, "e0", p.endpoint.ID)
		f.observe("e0", r)
		x := q.sendTo(t.Context(), p)
		require.ErrorIs(t, x, want)
		q.finishAttempt(p, x)
		require.True(t, f.state.endpointState("e0").health.Usable(f.clock.read()))
		require.Nil(t, q.checkRetry(t.Context(), x), "the request goes elsewhere")
		p, err := q.place()
		require.Nil(t, err)
		require.Equal(t, "e1", p.endpoint.ID)
		require.Zero(t, a.requests.Load())
	}
}

// Guards against a stream that is resumed at an endpoint which leaves or has asked for a pause, and
// against one that ends because its own endpoint leaves.
func TestStreamsOfEndpointsThatLeave(t *testing.T) {
	for name, r := range map[string]ResponseInfo{"leaving": {Leaving: true}, "paused": {RetryAfter: time.Minute}} {
		f := newFixture(t, streamFrom(t, 3, 6), streamFrom(t, -1, 6))
		f.observe("e1", r)
		_, body, err := f.do(t, f.request(t, "POST", "/resumable/x", "prompt"))
		require.Error(t, err, name)
		require.Equal(t, sseEvent(1)+sseEvent(2), body)
	}
	release := make(chan struct{})
	e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nTest-Leaving: 1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Test-Id"), 2*len(sseEvent(1)), sseEvent(1))
		<-release
		_, err := io.WriteString(c, sseEvent(2))
		return err == nil
	})
	f := newFixture(t, e)
	resp, err := f.srv.Client().Do(f.request(t, "POST", "/stream/x", ""))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.False(t, f.gets(t, e))
	close(release)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, sseEvent(1)+sseEvent(2), string(body))
}

// Guards against an endpoint that is known to leave, or to want nothing, only from requests, and
// against orders to one that leaves.
func TestControlAnswersSayThatAnEndpointLeaves(t *testing.T) {
	e := forward.Endpoint{ID: "e0", StartedUnixMs: 5}
	for name, c := range map[string]struct {
		info ResponseInfo
		gets bool
	}{
		"leaving":          {ResponseInfo{Leaving: true}, false},
		"paused":           {ResponseInfo{RetryAfter: time.Second}, false},
		"another endpoint": {ResponseInfo{Misdirected: true, Leaving: true, RetryAfter: time.Second, Limit: NamedLimit{Stated: true, Valid: true}}, true},
	} {
		endpoint := serveRaw(t, respondOK("ok"))
		f := newFixture(t, endpoint)
		f.applyEndpoints([]forward.EndpointChange{{ID: "e0", Endpoint: record("e0", endpoint.address, 5, false)}}, f.clock.read(), true)
		orders := &loadOrders{clock: f.clock, info: c.info}
		f.endpointControl = orders
		f.runStep(t.Context(), forward.RolloutStep{Endpoint: e})
		require.Equal(t, c.gets, f.gets(t, endpoint), name)
		managed, _ := f.managedEndpoints(f.clock.read())
		require.Empty(t, managed)
		if c.info.Leaving && !c.info.Misdirected {
			require.Empty(t, f.state.listedEndpoints(f.clock.read()), "an endpoint that leaves is not managed")
		}
	}
}

// retryAfter sends a request and returns the status and the seconds after which to come back.
func (f *fixture) retryAfter(t *testing.T, path string) (int, float64) {
	t.Helper()
	f.confirmConfig()
	resp, err := f.srv.Client().Do(f.request(t, "POST", path, ""))
	require.NoError(t, err)
	resp.Body.Close()
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, after
}

const (
	paused       = "HTTP/1.1 503 Busy\r\nTest-Id: %ID\r\nTest-Not-Run: 1\r\nTest-Retry: 10\r\nContent-Length: 0\r\n\r\n"
	pausedUnsure = "HTTP/1.1 503 Busy\r\nTest-Id: %ID\r\nTest-Seal: s\r\nTest-Retry: 10\r\nContent-Length: 0\r\n\r\n" // says nothing of the request
)

// Guards against requests that reach an endpoint before the end of the time for which it wants
// none, and against one that gets none afterwards because its refusal counted against its health.
func TestPausedEndpointGetsNothingUntilItsTimeHasPassed(t *testing.T) {
	for _, answer := range []string{paused, pausedUnsure} {
		e, other := answering(t, answer), serveRaw(t, respondOK(sseEvent(1)))
		f := newFixture(t, e, other)
		for round := range 20 {
			require.True(t, f.gets(t, e), "round %d", round)
			for range 9 {
				f.clock.advance(time.Second)
				f.confirmConfig()
				for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resumable/x"} {
					require.Equal(t, 200, f.status(t, path, "key"))
				}
			}
			f.clock.advance(time.Second - time.Millisecond)
			require.False(t, f.gets(t, e))
			f.clock.advance(time.Millisecond)
			require.EqualValues(t, round+1, e.requests.Load())
		}
	}
}

// Guards against a caller that gets the refusal though another endpoint takes the request, and
// against an attempt that may have run being repeated because of the time beside its status.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	for _, c := range []struct {
		answer, path string
		want         int
	}{{paused, "/unsafe/x", 200}, {paused, "/safe/x", 200}, {pausedUnsure, "/safe/x", 200}, {pausedUnsure, "/unsafe/x", 503}} {
		e, other := answering(t, c.answer), serveRaw(t, respondOK("ok"))
		f := newFixture(t, e, other)
		require.Equal(t, c.want, f.status(t, c.path, "key"))
		require.EqualValues(t, 1, e.requests.Load())
		require.EqualValues(t, boolInt(c.want == 200), other.requests.Load())
		require.True(t, f.state.endpointState("e0").health.Usable(f.clock.read()))
	}
}

// Guards against callers that are held, that are told the same time or that come back in vain, when
// all endpoints of a service have asked for a pause.
func TestCallersAreToldWhenThePausesEnd(t *testing.T) {
	a, b := answering(t, paused), answering(t, strings.Replace(paused, "Test-Retry: 10", "Test-Retry: 30", 1))
	f := newFixture(t, a, b)
	seen := map[float64]bool{}
	for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resumable/x", "/unsafe/x", "/unsafe/x"} {
		status, after := f.retryAfter(t, path)
		require.Equal(t, 503, status)
		require.Greater(t, after, 10.0)
		require.LessOrEqual(t, after, 12.0)
		require.False(t, seen[after])
		seen[after] = true
	}
	require.EqualValues(t, 1, a.requests.Load())
	require.EqualValues(t, 1, b.requests.Load())
	f.clock.advance(10 * time.Second)
	require.True(t, f.gets(t, a))
}

// Guards against a caller that is sent away for longer than any endpoint needs, because one has a
// pause and another is only busy.
func TestCallerComesBackSoonWhileAnEndpointTakesRequests(t *testing.T) {
	e := answering(t, paused)
	busy := answering(t, "HTTP/1.1 503 Busy\r\nTest-Id: %ID\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	f := newFixture(t, e, busy)
	_, after := f.retryAfter(t, "/unsafe/x")
	require.Equal(t, overloadRetryAfter.Seconds(), after)
}

// Guards against callers that come back at once and all together when all endpoints of a service
// leave and no other is known yet.
func TestCallersAreToldToComeBackWhenAllEndpointsLeave(t *testing.T) {
	_, f := leavingFixture(t)
	seen := map[float64]bool{}
	for range 20 {
		status, after := f.retryAfter(t, "/unsafe/x")
		require.Equal(t, 503, status)
		require.Greater(t, after, endpointPollPause(f.settings).Seconds())
		require.Less(t, after, 3.0)
		require.False(t, seen[after])
		seen[after] = true
	}
}

// Guards against a stream that goes on at another build because this entry takes the last endpoint
// of its build for gone, while other entries still begin streams there.
func TestBuildOfAnEndpointThatLeavesStaysInUse(t *testing.T) {
	f := newFixture(t)
	list := func() {
		var changes []forward.EndpointChange
		for i, build := range []string{"v1", "v2"} {
			e := record(fmt.Sprint("e", i), "127.0.0.1:1", 5, false)
			e.Build = build
			changes = append(changes, forward.EndpointChange{ID: e.ID, Endpoint: e})
		}
		f.applyEndpoints(changes, f.clock.read(), true)
	}
	list()
	f.state.streams.SetDefaults([]forward.DefaultBuild{{Service: "s", Build: "v1", Revision: 1}}, f.clock.read())
	f.observe("e0", ResponseInfo{Leaving: true})
	for range 120 {
		f.clock.advance(time.Second)
		list()
		require.Empty(t, f.state.streams.DefaultsToSave(f.clock.read()))
		require.Len(t, f.state.listedEndpoints(f.clock.read()), 1)
	}
}

// Guards against an endpoint that is given up as failing because requests which it turned away for a
// time, or for its limit, were sent elsewhere.
func TestRequestsSentElsewhereAreNoFailures(t *testing.T) {
	for _, header := range []string{"Test-Retry: 0.01", "Test-Limit: 1000"} {
		e := answering(t, "HTTP/1.1 503 Busy\r\nTest-Id: %ID\r\nTest-Seal: s\r\n"+header+"\r\nContent-Length: 0\r\n\r\n")
		f := newTestGroup(t, 1, e, serveRaw(t, respondOK("ok"))).entries[0]
		for range 1000 { // fills the retry budget
			f.state.retryBudget("s").CountRequest(f.clock.read())
		}
		for i := range 20 {
			f.confirmConfig()
			require.Equal(t, 200, f.status(t, "/safe/x", "key"))
			require.EqualValues(t, i+1, e.requests.Load(), header)
			require.True(t, f.state.endpointState("e0").health.Usable(f.clock.read()))
			f.clock.advance(20 * time.Millisecond)
		}
	}
}
