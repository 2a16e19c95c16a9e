package gateway

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/metrics"
)

// raceTimeout fails a test that waits for something that does not happen.
const raceTimeout = 10 * time.Second

// learnedLateness is the 95th percentile that the routes of a raceFixture begin with.
const learnedLateness = 40 * time.Millisecond

// raceFixture is a fixture with second attempts, whose timer fires when the test says so.
type raceFixture struct {
	*fixture
	t      *testing.T
	timer  chan time.Time
	delays chan time.Duration
}

func newRaceFixture(t *testing.T, endpoints ...*testEndpoint) *raceFixture {
	t.Helper()
	return raceOn(t, newFixture(t, endpoints...))
}

func raceOn(t *testing.T, plain *fixture) *raceFixture {
	f := &raceFixture{fixture: plain, t: t, timer: make(chan time.Time), delays: make(chan time.Duration, 8)}
	f.enable(0.1)
	f.after = func(d time.Duration) (<-chan time.Time, func() bool) {
		f.delays <- d
		return f.timer, func() bool { return true }
	}
	return f
}

// enable sets the share of second attempts and gives all routes samples.
func (f *raceFixture) enable(share float64) {
	f.settings.SecondAttemptShare = share
	s := f.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secondAttempts = forward.NewSecondAttempts(share, seconds(f.settings.BudgetWindowS))
	for range 100 {
		s.secondAttempts.CountRequest("s", f.clock.read())
	}
	for _, r := range s.table.Config.Routes {
		for range 256 {
			s.secondAttempts.RecordAnswer(r.Name, learnedLateness)
		}
	}
}

// fire lets the first attempt of the current request be overdue.
func (f *raceFixture) fire() {
	f.t.Helper()
	select {
	case f.timer <- time.Time{}:
	case <-time.After(raceTimeout):
		f.t.Fatal("no attempt waits for the timer")
	}
}

// gate is an endpoint whose answers are sent when the test says so.
type gate struct {
	*testEndpoint
	arrived chan struct{}
	answer  chan func(r *http.Request, c net.Conn) bool
	closed  chan struct{} // receives a value when the connection of an unanswered request is closed
}

func newGate(t *testing.T) *gate {
	g := &gate{arrived: make(chan struct{}, 8), answer: make(chan func(*http.Request, net.Conn) bool, 8), closed: make(chan struct{}, 8)}
	g.testEndpoint = serveRaw(t, func(r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		g.arrived <- struct{}{}
		gone, answered := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(gone)
			var b [1]byte
			_, _ = c.Read(b[:])
			select {
			case <-answered:
			default:
				g.closed <- struct{}{}
			}
		}()
		select {
		case answer := <-g.answer:
			close(answered)
			answer(r, c)
		case <-gone:
		}
		return false // the reading goroutine has the connection
	})
	return g
}

func (g *gate) wait(t *testing.T, c chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(raceTimeout):
		t.Fatal(what)
	}
}

type callResult struct {
	status int
	body   string
	err    error
}

func (f *raceFixture) call(r *http.Request) chan callResult {
	out := make(chan callResult, 1)
	go func() {
		status, body, err := f.do(f.t, r)
		out <- callResult{status, body, err}
	}()
	return out
}

func (f *raceFixture) result(c chan callResult) callResult {
	f.t.Helper()
	select {
	case r := <-c:
		return r
	case <-time.After(raceTimeout):
		f.t.Fatal("the caller gets no answer")
		return callResult{}
	}
}

// idle waits until no endpoint has a load.
func (f *raceFixture) idle(endpoints int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		for i := range endpoints {
			if f.state.endpointState(fmt.Sprintf("e%d", i)).load != (forward.EndpointLoad{}) {
				return false
			}
		}
		return true
	}, raceTimeout, time.Millisecond, "a finished attempt remains in the load of its endpoint")
	require.Eventually(f.t, func() bool {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		return len(f.pool.inUse) == 0
	}, raceTimeout, time.Millisecond, "a finished attempt still counts as a connection in use")
}

func counterValue(m *expvar.Map, key string) int64 {
	v, ok := m.Get(key).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// outcomes returns the counters of second attempts, which all tests of the package share.
func outcomes() (sent, won, lost int64) {
	m := metrics.Default.LabeledCounter("second_attempts")
	return counterValue(m, "sent"), counterValue(m, "won"), counterValue(m, "lost")
}

func writeOK(body string) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, okResponse(r, body))
		return err == nil
	}
}

// writeEvents answers with a stream of whole chunks, and with the end of the stream if whole is set.
func writeEvents(whole bool, events ...string) func(*http.Request, net.Conn) bool {
	return func(r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id"))
		for _, e := range events {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = io.WriteString(c, "0\r\n\r\n")
		}
		return false
	}
}

func failStatus(r *http.Request, c net.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 500 Broken\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: 6\r\n\r\nbroken", r.Header.Get("Test-Id"))
	return err == nil
}

func breakOff(*http.Request, net.Conn) bool { return false }

// Guards against a response that comes late although another endpoint has answered, that mixes two
// runs, or that ends with the failure of one attempt while the other succeeds; and against attempts
// that remain in an endpoint's load.
func TestFirstAnswerOfTwoAttemptsWins(t *testing.T) {
	type answer = func(*http.Request, net.Conn) bool
	for name, c := range map[string]struct {
		path          string
		first, second answer // nil: none until the connection is closed
		firstEnds     bool   // the first attempt answers before the second one
		body          string
		won           bool
	}{
		"the first is slow":                           {"/safe/x", nil, writeOK("second"), false, "second", true},
		"the first answers after the second began":    {"/safe/x", writeOK("first"), nil, true, "first", false},
		"the first fails":                             {"/safe/x", breakOff, writeOK("second"), true, "second", true},
		"the second fails":                            {"/safe/x", writeOK("first"), breakOff, false, "first", false},
		"the first has a status that is retried":      {"/safe/x", failStatus, writeOK("second"), true, "second", true},
		"the second has a status that is retried":     {"/safe/x", writeOK("first"), failStatus, false, "first", false},
		"a stream whose first attempt is slow":        {"/resumable/x", nil, writeEvents(true, "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n"), false, "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", true},
		"a stream whose first attempt is broken off":  {"/resumable/x", writeEvents(false, "id: 1\ndata"), writeEvents(true, "id: 1\ndata: b\n\n"), true, "id: 1\ndata: b\n\n", true},
		"a stream whose second attempt is broken off": {"/resumable/x", writeEvents(true, "id: 1\ndata: a\n\n"), writeEvents(false, "id: 1\ndata"), false, "id: 1\ndata: a\n\n", false},
		"an empty stream":                             {"/resumable/x", nil, writeEvents(true), false, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newGate(t), newGate(t)
			f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
			sent, won, lost := outcomes()
			done := f.call(f.request(t, "POST", c.path, "body"))
			a.wait(t, a.arrived, "the first attempt is not sent")
			f.fire()
			b.wait(t, b.arrived, "the second attempt is not sent")
			earlier, later, early, late := a, b, c.first, c.second
			if !c.firstEnds {
				earlier, later, early, late = b, a, c.second, c.first
			}
			earlier.answer <- early
			if late == nil {
				later.wait(t, later.closed, "the run that lost goes on")
			} else {
				later.answer <- late // the result is the same if it overtakes the failure
			}
			r := f.result(done)
			require.NoError(t, r.err)
			require.Equal(t, http.StatusOK, r.status)
			require.Equal(t, c.body, r.body)
			require.EqualValues(t, 2, a.requests.Load()+b.requests.Load())
			f.idle(2)
			sentNow, wonNow, lostNow := outcomes()
			require.EqualValues(t, 1, sentNow-sent)
			require.EqualValues(t, boolInt(c.won), wonNow-won)
			require.EqualValues(t, boolInt(!c.won), lostNow-lost)
		})
	}
}

// Guards against a payment, or a stream that can't be resumed, that runs twice because its first
// attempt was slow; and against second attempts while the feature is off.
func TestSecondAttemptOnlyIfTheRequestMayBeRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		share float64
		timed bool
	}{
		"unsafe":           {"/unsafe/x", 0.1, false},
		"stream":           {"/stream/x", 0.1, false},
		"safe":             {"/safe/x", 0.1, true},
		"resumable stream": {"/resumable/x", 0.1, true},
		"safe, off":        {"/safe/x", 0, false},
		"resumable, off":   {"/resumable/x", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newGate(t), newGate(t)
			f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
			f.enable(c.share)
			done := f.call(f.request(t, "POST", c.path, "pay"))
			a.wait(t, a.arrived, "the request is not sent")
			if c.timed {
				f.fire()
				b.wait(t, b.arrived, "the second attempt is not sent")
			}
			a.answer <- writeEvents(true, "id: 1\ndata: a\n\n")
			r := f.result(done)
			require.NoError(t, r.err)
			require.Equal(t, "id: 1\ndata: a\n\n", r.body)
			require.Len(t, f.delays, boolInt(c.timed), "attempts that wait to be overdue")
			require.EqualValues(t, boolInt(c.timed), b.requests.Load())
		})
	}
}

// Guards against a delay other than the expected wait and the route's percentile of lateness, and
// against one before enough answers have been seen.
func TestSecondAttemptWaitsForTheLearnedLateness(t *testing.T) {
	e := serveRaw(t, respondOK("answer"))
	f := newRaceFixture(t, e)
	r := f.result(f.call(f.request(t, "GET", "/safe/x", "")))
	require.Equal(t, "answer", r.body)
	require.Equal(t, learnedLateness, <-f.delays)
	f.state.mu.Lock()
	f.state.secondAttempts = forward.NewSecondAttempts(0.1, time.Second)
	f.state.mu.Unlock()
	r = f.result(f.call(f.request(t, "GET", "/safe/x", "")))
	require.Equal(t, "answer", r.body)
	require.Empty(t, f.delays)
}

// Guards against runs that go on at two endpoints after the caller has left.
func TestBothAttemptsEndWhenTheCallerLeaves(t *testing.T) {
	a, b := newGate(t), newGate(t)
	f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
	ctx, leave := context.WithCancel(context.Background())
	done := f.call(f.request(t, "POST", "/resumable/x", "").WithContext(ctx))
	a.wait(t, a.arrived, "the first attempt is not sent")
	f.fire()
	b.wait(t, b.arrived, "the second attempt is not sent")
	leave()
	require.Error(t, f.result(done).err)
	a.wait(t, a.closed, "the first run goes on")
	b.wait(t, b.closed, "the second run goes on")
	f.idle(2)
	f.requireUnblamed("e0", "e1")
}

// requireUnblamed fails if one of the endpoints counts as failing, or a request as crashing it.
func (f *raceFixture) requireUnblamed(ids ...string) {
	f.t.Helper()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	for _, id := range ids {
		require.True(f.t, f.state.endpointState(id).health.Usable(f.clock.read()), id)
	}
	require.Zero(f.t, f.state.parts.Len())
}

// Guards against endpoints that are avoided, or prompts that are held, because attempts lost against
// others and their connections were closed.
func TestLosingCountsNeitherAsFailureNorAsEvidence(t *testing.T) {
	a, b := newGate(t), newGate(t)
	f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
	const races = 4 // more than make an endpoint suspect
	for i := range races {
		f.enable(0.1)
		r := f.request(t, "POST", "/resumable/x", "")
		r.Header.Set("Test-Prompt", "shared,own")
		done := f.call(r)
		a.wait(t, a.arrived, "the first attempt is not sent")
		f.fire()
		b.wait(t, b.arrived, "the second attempt is not sent")
		b.answer <- writeEvents(true, fmt.Sprintf("id: %d\ndata: b\n\n", i))
		require.Equal(t, http.StatusOK, f.result(done).status)
		a.wait(t, a.closed, "the run that lost goes on")
		f.idle(2)
	}
	f.requireUnblamed("e0")
}

// Guards against a stream that continues with the events of the run that lost, or is retried more
// often than the route allows, after the winner broke off.
func TestStreamThatBreaksOffAfterWinning(t *testing.T) {
	for name, c := range map[string]struct {
		maxAttempts int
		whole       bool
	}{"no attempt is left": {2, false}, "a third attempt goes on": {3, true}} {
		t.Run(name, func(t *testing.T) {
			a, b := newGate(t), newGate(t)
			var resumed string
			third := serveRaw(t, func(r *http.Request, c net.Conn) bool {
				resumed = r.Header.Get("Test-Last")
				return writeEvents(true, "id: 2\ndata: c\n\n")(r, c)
			})
			f := newRaceFixture(t, a.testEndpoint, b.testEndpoint, third)
			f.state.mu.Lock()
			f.state.table.Route("service.test", "/resumable/x").MaxAttempts = c.maxAttempts
			f.state.endpointState("e2").load.Add(forward.RequestLoad{}) // e1 is preferred to it
			f.state.mu.Unlock()
			done := f.call(f.request(t, "POST", "/resumable/x", ""))
			a.wait(t, a.arrived, "the first attempt is not sent")
			f.fire()
			b.wait(t, b.arrived, "the second attempt is not sent")
			b.answer <- writeEvents(false, "id: 1\ndata: b\n\n")
			r := f.result(done)
			a.wait(t, a.closed, "the run that lost goes on")
			require.Equal(t, c.whole, r.err == nil)
			require.EqualValues(t, boolInt(c.whole), third.requests.Load())
			if c.whole {
				require.Equal(t, "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", r.body)
				require.Equal(t, "1", resumed)
			}
		})
	}
}

// Guards against a record of the build that lost: the caller would take up its stream at endpoints
// that never made its events.
func TestOnlyTheWinnersBuildIsRecorded(t *testing.T) {
	a, b := newGate(t), newGate(t)
	store := &fakeStreamStore{}
	f := raceOn(t, newStreamFixture(t, store, []string{"v2", "v3"}, a.testEndpoint, b.testEndpoint))
	done := f.call(f.request(t, "POST", "/resumable/x", ""))
	a.wait(t, a.arrived, "the first attempt is not sent")
	f.fire()
	b.wait(t, b.arrived, "the second attempt is not sent")
	b.answer <- writeEvents(true, "id: 1\ndata: b\n\n")
	require.Equal(t, "id: 1\ndata: b\n\n", f.result(done).body)
	require.True(t, store.has("id-/resumable/x", "v3"))
	require.False(t, store.has("id-/resumable/x", "v2"))
}
