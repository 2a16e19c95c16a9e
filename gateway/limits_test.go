package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// limitedEndpoint is an endpoint that names a limit in its answers and records when requests
// reach it, on the clock of a fixture.
type limitedEndpoint struct {
	*testEndpoint
	mu       sync.Mutex
	limit    string
	clock    *testClock
	arrivals []time.Duration
}

func newLimitedEndpoint(t *testing.T, limit string) *limitedEndpoint {
	e := &limitedEndpoint{limit: limit}
	e.testEndpoint = serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.clock != nil {
			e.arrivals = append(e.arrivals, e.clock.read())
		}
		header := ""
		if e.limit != "" {
			header = "Test-Limit: " + e.limit + "\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Test-Id"), header)
		return err == nil
	})
	return e
}

// mostIn returns the largest number of arrivals from a time on within a window of the given
// length.
func (e *limitedEndpoint) mostIn(window, from time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, first := range e.arrivals {
		if first < from {
			continue
		}
		n := 0
		for _, at := range e.arrivals[i:] {
			n += boolInt(at < first+window)
		}
		most = max(most, n)
	}
	return most
}

// testGroup is a group of entries on one clock that exchange load reports.
type testGroup struct {
	entries []*fixture
	clock   *testClock
	seq     int64
}

// newTestGroup returns a group whose members know each other for long enough to share limits.
func newTestGroup(t *testing.T, size int, endpoints ...*testEndpoint) *testGroup {
	g := &testGroup{clock: &testClock{}}
	var members []string
	for i := range size {
		f := newFixture(t, endpoints...)
		f.memberID = fmt.Sprintf("127.0.0.%d:1", i+1)
		f.ownership.Self = f.memberID
		members = append(members, f.memberID)
		f.state.clock, f.clock = g.clock.start(time.Hour), g.clock
		f.Gateway.clock, f.pool.clock = g.clock.read, g.clock.read
		g.entries = append(g.entries, f)
	}
	generation := forward.Generation{Number: 1}
	for range 10 {
		g.join(members, generation)
		g.advance(300 * time.Millisecond)
	}
	return g
}

// join has each entry join the group and read the given member list.
func (g *testGroup) join(members []string, generation forward.Generation) {
	for _, f := range g.entries {
		if f.recordJoin(generation, g.clock.read()) {
			f.state.mu.Lock()
			f.ownership.RecordMembers(generation, members)
			f.state.mu.Unlock()
			f.recordJoin(generation, g.clock.read())
		}
		f.confirmConfig()
	}
}

// confirmConfig records that nothing newer is in the log.
func (f *fixture) confirmConfig() { f.applyOperators(nil, f.clock.read(), false) }

func (g *testGroup) advance(d time.Duration) { g.clock.advance(d) }

// exchangeReports has each entry apply the load reports of all others.
func (g *testGroup) exchangeReports() {
	g.seq++
	for _, from := range g.entries {
		r, _ := from.buildReport(g.seq)
		for _, to := range g.entries {
			if to != from {
				to.applyReport(&r)
			}
		}
	}
}

// Guards against an endpoint that gets more requests than the limit that it names allows for all
// entries together: one and a half times the limit over 4 s, and 5.
func TestEntriesTogetherKeepTheLimitOfAnEndpoint(t *testing.T) {
	const (
		window = 4 * time.Second
		step   = 100 * time.Millisecond
		span   = 12 * time.Second
	)
	for _, c := range []struct {
		limit   string
		allowed int
	}{{"1", 11}, {"1.5", 14}, {"0.1", 5}, {"0", 5}} {
		t.Run(c.limit, func(t *testing.T) {
			limited, other := newLimitedEndpoint(t, c.limit), serveRaw(t, respondOK("ok"))
			g := newTestGroup(t, 4, limited.testEndpoint, other)
			limited.clock = g.clock
			start := g.clock.read()
			served, total := 0, 0
			for i := 0; g.clock.read() < start+span; i++ {
				for _, f := range g.entries {
					f.confirmConfig()
					status, _, err := f.do(t, f.request(t, "GET", "/safe/x", ""))
					require.NoError(t, err)
					total++
					served += boolInt(status == http.StatusOK)
				}
				g.exchangeReports()
				g.advance(step)
				if i%3 == 0 {
					g.join(nil, forward.Generation{Number: 1})
				}
			}
			require.LessOrEqual(t, limited.mostIn(window, start+time.Second/2), c.allowed)
			require.Equal(t, total, served, "the other endpoint could serve the rest")
		})
	}
}

// Guards against an entry that finds out a limit only by a request of its own, and against a limit
// that holds at an entry after the endpoint has told another one of its end.
func TestPeersAreToldOfALimit(t *testing.T) {
	limited := newLimitedEndpoint(t, "2")
	g := newTestGroup(t, 2, limited.testEndpoint)
	a, b := g.entries[0], g.entries[1]
	limitAt := func(f *fixture) float64 {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return f.state.endpointState("e0").limit.PerSecond()
	}
	require.Equal(t, 200, a.status(t, "/safe/x", "key"))
	g.exchangeReports()
	require.Equal(t, 2.0, limitAt(b))
	limited.limit = ""
	g.advance(2 * time.Second)
	a.confirmConfig()
	require.Equal(t, 200, a.status(t, "/safe/x", "key"))
	g.advance(time.Millisecond)
	g.exchangeReports()
	require.Equal(t, forward.Unlimited, limitAt(a))
	require.Equal(t, forward.Unlimited, limitAt(b))
}

// Guards against callers that are held, or are told to come back at the same time or too soon,
// when the limits leave no room for their requests.
func TestRequestsBeyondALimitAreRefusedWithATimeToComeBack(t *testing.T) {
	limited := newLimitedEndpoint(t, "1")
	g := newTestGroup(t, 1, limited.testEndpoint)
	f := g.entries[0]
	require.Equal(t, 200, f.status(t, "/safe/x", "key"))
	last := 0.0
	for range 5 {
		resp, err := f.srv.Client().Do(f.request(t, "GET", "/safe/x", ""))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, 503, resp.StatusCode)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, last+1, after, 0.01, "the endpoint takes one a second")
		last = after
	}
	require.EqualValues(t, 1, limited.requests.Load())
	g.advance(time.Second)
	f.confirmConfig()
	require.Equal(t, 200, f.status(t, "/safe/x", "key"))
}

// Guards against an endpoint that is given up as failing because it refuses requests beyond its
// limit.
func TestRefusalBecauseOfALimitIsNoFailure(t *testing.T) {
	for _, notRun := range []string{"", "Test-Not-Run: 1\r\n"} {
		e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nTest-Id: %s\r\nTest-Seal: s\r\nTest-Limit: 1000\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"), notRun)
			return err == nil
		})
		g := newTestGroup(t, 1, e)
		f := g.entries[0]
		for i := range 50 {
			require.Equal(t, 503, f.status(t, "/unsafe/x", "key"))
			require.EqualValues(t, i+1, e.requests.Load(), "the request was not sent to the endpoint")
			g.advance(10 * time.Millisecond)
			f.confirmConfig()
		}
		f.state.mu.Lock()
		require.True(t, f.state.endpointState("e0").health.Usable(g.clock.read()))
		f.state.mu.Unlock()
	}
}

// Guards against the limit of another endpoint that uses the address again, and against a late
// answer to another request that ends a limit.
func TestLimitOfAnotherAnswerIsNotTakenOver(t *testing.T) {
	g := newTestGroup(t, 1, serveRaw(t, respondOK("ok")))
	f := g.entries[0]
	limit := func() float64 { return f.state.endpointState("e0").limit.PerSecond() }
	f.observeLimit("e0", ResponseInfo{RequestID: "other", Limit: NamedLimit{Stated: true, Valid: true, PerSecond: 3}}, "own", g.clock.read())
	require.Equal(t, 3.0, limit())
	g.advance(time.Second)
	f.observeLimit("e0", ResponseInfo{RequestID: "other"}, "own", g.clock.read())
	require.Equal(t, 3.0, limit())
	f.observeLimit("e0", ResponseInfo{RequestID: "own", Limit: NamedLimit{Stated: true}}, "own", g.clock.read())
	require.Equal(t, 3.0, limit(), "an unreadable limit ends none")
	f.observeLimit("e0", ResponseInfo{RequestID: "own"}, "own", g.clock.read())
	require.Equal(t, forward.Unlimited, limit())

	misdirected := serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nTest-Limit: 1\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	f = newTestGroup(t, 1, misdirected).entries[0]
	f.status(t, "/unsafe/x", "key")
	require.Equal(t, forward.Unlimited, limit())
}

// Guards against less urgent requests that use up what a limit allows while more urgent ones are
// refused.
func TestUrgentRequestsGoFirstWithinALimit(t *testing.T) {
	limited := newLimitedEndpoint(t, "2")
	g := newTestGroup(t, 1, limited.testEndpoint)
	f := g.entries[0]
	config := *f.state.table.Config
	config.Version++
	config.Routes = append([]forward.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].Priority = 5
		if config.Routes[i].PathPrefix == "/unsafe/" {
			config.Routes[i].Priority = 1
		}
	}
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, g.clock.read(), false)
	require.Equal(t, 200, f.status(t, "/safe/x", "key"), "the endpoint names its limit in this answer")
	served := map[string]int{}
	for range 100 {
		for _, path := range []string{"/safe/x", "/unsafe/x"} { // the less urgent request comes first
			served[path] += boolInt(f.status(t, path, "key") == 200)
		}
		g.advance(100 * time.Millisecond)
		f.confirmConfig()
	}
	require.GreaterOrEqual(t, served["/unsafe/x"], 15)
	require.LessOrEqual(t, served["/safe/x"], 1)
}

// Guards against a malformed report that sets a limit, or keeps later statements from counting.
func TestMalformedLimitsInReportsAreIgnored(t *testing.T) {
	for _, l := range []reportLimit{
		{PerSecond: math.NaN()}, {PerSecond: -1}, {PerSecond: 1, SentAgoMs: 1, ReceivedAgoMs: 2}, {PerSecond: 1, SentAgoMs: math.MinInt64, ReceivedAgoMs: math.MinInt64}, {PerSecond: 1, ReceivedAgoMs: -1},
	} {
		_, valid := l.statement(time.Hour)
		require.False(t, valid, l)
	}
	st, valid := reportLimit{PerSecond: 1, SentAgoMs: math.MaxInt64, ReceivedAgoMs: 10}.statement(time.Hour)
	require.True(t, valid)
	require.Less(t, st.SentAt, st.ReceivedAt)
}

// Guards against calls of this process's own that a limit doesn't count, or that it holds up for
// ever.
func TestReadsOfTheStateCountTowardsALimit(t *testing.T) {
	limited := newLimitedEndpoint(t, "2")
	g := newTestGroup(t, 1, limited.testEndpoint)
	f := g.entries[0]
	require.True(t, f.mayReadState("e0"), "no limit is known yet")
	require.Equal(t, 200, f.status(t, "/safe/x", "key"))
	g.advance(10 * time.Second)
	f.confirmConfig()
	reads, served := 0, 0
	for range 100 {
		reads += boolInt(f.mayReadState("e0"))
		served += boolInt(f.status(t, "/safe/x", "key") == 200)
		g.advance(100 * time.Millisecond)
		f.confirmConfig()
	}
	require.InDelta(t, 20, reads, 1, "two a second: an endpoint that loads weights gets nothing else")
	burst := 6 // 4 and the limit of a second
	require.LessOrEqual(t, served, burst, "the reads have used what the limit allows")
}

// Guards against a limit that is read only from successful answers that are no streams.
func TestLimitIsReadFromEveryKindOfAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"refusal":      "HTTP/1.1 503 Busy\r\nTest-Id: %s\r\nTest-Limit: 3\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"too many":     "HTTP/1.1 429 Too Many\r\nTest-Id: %s\r\nTest-Limit: 3\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure":      "HTTP/1.1 500 Failed\r\nTest-Id: %s\r\nTest-Seal: s\r\nTest-Limit: 3\r\nContent-Length: 0\r\n\r\n",
		"stream":       "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nTest-Limit: 3\r\nContent-Length: 9\r\n\r\ndata: x\n\n",
		"stream's cut": "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nTest-Limit: 3\r\nContent-Length: 90\r\n\r\ndata",
	} {
		e := serveRaw(t, func(r *http.Request, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, answer, r.Header.Get("Test-Id"))
			return false
		})
		f := newTestGroup(t, 1, e).entries[0]
		f.status(t, "/stream/x", "key")
		f.state.mu.Lock()
		require.Equal(t, 3.0, f.state.endpointState("e0").limit.PerSecond(), name)
		f.state.mu.Unlock()
	}
}

// Guards against attempts of which nothing was sent that use up what a limit allows.
func TestUnsentAttemptsDoNotCountTowardsALimit(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close()) // connections are refused
	g := newTestGroup(t, 1, &testEndpoint{address: l.Addr().String()})
	f := g.entries[0]
	f.state.mu.Lock()
	f.state.recordLimit("e0", forward.LimitStatement{PerSecond: 1, SentAt: g.clock.read(), ReceivedAt: g.clock.read()}, true)
	f.state.mu.Unlock()
	g.advance(time.Second)
	f.confirmConfig()
	for range 3 {
		require.Equal(t, 503, f.status(t, "/unsafe/x", "key"))
	}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	require.True(t, f.state.endpointState("e0").limit.Allows("e0", &f.state.limitGroup, g.clock.read()))
}

// loadOrders is an EndpointControl whose endpoints refuse orders and name a limit in the answers.
type loadOrders struct {
	clock *testClock
	info  ResponseInfo
	mu    sync.Mutex
	calls []time.Duration
}

func (o *loadOrders) call() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, o.clock.read())
}

func (o *loadOrders) ReadState(context.Context, forward.Endpoint) (forward.EndpointReport, ResponseInfo, error) {
	o.call()
	return forward.EndpointReport{Models: []forward.ModelState{{Name: "m", Version: 1}}}, o.info, nil
}

func (o *loadOrders) SendLoadOrder(context.Context, LoadOrder) (int, ResponseInfo, error) {
	o.call()
	return http.StatusConflict, o.info, nil
}

// Guards against orders and reads of the state that exceed the limit of an endpoint which gets no
// requests, as its weights are too old, and refuses its orders.
func TestOrdersKeepTheLimitOfAnEndpointWithoutRequests(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		allowed   int
	}{{0, 5}, {0.3, 6}, {1, 11}} {
		g := newTestGroup(t, 1)
		f := g.entries[0]
		orders := &loadOrders{clock: g.clock, info: ResponseInfo{Limit: NamedLimit{Stated: true, Valid: true, PerSecond: c.perSecond}}}
		f.endpointControl = orders
		f.applyEndpoints([]forward.EndpointChange{{ID: "e", Endpoint: &forward.Endpoint{ID: "e", Service: "s", Models: []forward.ModelState{{Name: "m", Version: 1}}}}}, g.clock.read(), true)
		f.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, g.clock.read(), false)
		for i := range 400 {
			if i%3 == 0 {
				g.join(nil, forward.Generation{Number: 1})
			}
			f.state.mu.Lock()
			managed, fleets := f.managedEndpoints(g.clock.read())
			steps := f.state.rollout.NextSteps(managed, fleets, g.clock.read())
			f.state.mu.Unlock()
			for _, s := range steps {
				f.runStep(t.Context(), s)
			}
			g.advance(100 * time.Millisecond)
			f.confirmConfig()
		}
		require.NotEmpty(t, orders.calls)
		e := limitedEndpoint{arrivals: orders.calls}
		require.LessOrEqual(t, e.mostIn(4*time.Second, orders.calls[0]+500*time.Millisecond), c.allowed, "limit %g", c.perSecond)
		require.Greater(t, len(orders.calls), 10, "the endpoint is not given up")
	}
}
