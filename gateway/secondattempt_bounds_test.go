package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/metrics"
)

// Guards against second attempts that the state of the service or of its endpoints rules out, and
// against refused ones that leave a trace in budgets or loads, or end the first attempt.
func TestSecondAttemptThatIsRefusedChangesNothing(t *testing.T) {
	edit := func(change func(e *forward.Endpoint)) func(f *raceFixture) {
		return func(f *raceFixture) {
			e, _ := f.state.endpointList.Get("e1", f.clock.read())
			change(&e)
			f.state.endpointList.Apply([]forward.EndpointChange{{ID: "e1", Endpoint: &e}}, f.clock.read())
			f.state.listedCache = nil
		}
	}
	limited := func(f *raceFixture) {
		f.state.recordLimit("e1", forward.LimitStatement{SentAt: f.clock.read(), ReceivedAt: f.clock.read()}, true)
	}
	for name, c := range map[string]struct {
		skip   forward.SecondSkip
		change func(f *raceFixture)
	}{
		"draining":     {forward.SkipNoEndpoint, edit(func(e *forward.Endpoint) { e.Draining = true })},
		"warming up":   {forward.SkipNoEndpoint, edit(func(e *forward.Endpoint) { e.WarmUpRemaining = time.Second })},
		"over a limit": {forward.SkipNoEndpoint, limited},
		"suspect": {forward.SkipNoEndpoint, func(f *raceFixture) {
			f.state.endpointState("e1").health.RecordRefusal(f.clock.read() + time.Second)
		}},
		"paused": {forward.SkipNoEndpoint, func(f *raceFixture) {
			e, _ := f.state.endpointList.Get("e1", f.clock.read())
			f.state.statements.RecordPause(&e, time.Second, f.clock.read())
		}},
		"short of room":   {forward.SkipShortage, func(f *raceFixture) { f.state.secondAttempts.RecordShortage("s", f.clock.read()) }},
		"short of time":   {forward.SkipTime, func(f *raceFixture) { f.clock.advance(4500 * time.Millisecond) }},
		"short processor": {forward.SkipProcessor, func(f *raceFixture) { f.state.processorShort = true }},
		"no attempt left": {forward.SkipAttempts, func(f *raceFixture) { f.state.table.Route("service.test", "/safe/x").MaxAttempts = 1 }},
		"no retry budget": {forward.SkipRetryBudget, func(f *raceFixture) {
			for f.state.retryBudget("s").TrySpend(f.clock.read()) {
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newGate(t), newGate(t)
			f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
			skipped := metrics.Default.LabeledCounter("second_attempts_skipped")
			before := counterValue(skipped, string(c.skip))
			done := f.call(f.request(t, "POST", "/safe/x", ""))
			a.wait(t, a.arrived, "the first attempt is not sent")
			f.state.mu.Lock()
			c.change(f)
			_, spent := f.state.retryBudget("s").Use(f.clock.read())
			f.state.mu.Unlock()
			f.fire()
			require.Eventually(t, func() bool { return counterValue(skipped, string(c.skip)) == before+1 }, raceTimeout, time.Millisecond)
			f.state.mu.Lock()
			_, spentNow := f.state.retryBudget("s").Use(f.clock.read())
			require.Equal(t, spent, spentNow)
			require.Zero(t, f.state.secondAttempts.Use(f.clock.read())["s"].Used)
			require.Zero(t, f.state.endpointState("e1").load)
			f.state.mu.Unlock()
			a.answer <- writeOK("first")
			r := f.result(done)
			require.NoError(t, r.err)
			require.Equal(t, "first", r.body)
			require.Zero(t, b.requests.Load())
		})
	}
}

// Guards against attempts that count too seldom: after two that failed, the route allows no third.
func TestBothAttemptsCountTowardsTheRoutesLimit(t *testing.T) {
	a, b := newGate(t), newGate(t)
	third := serveRaw(t, respondOK("third"))
	f := newRaceFixture(t, a.testEndpoint, b.testEndpoint, third)
	f.state.mu.Lock()
	f.state.endpointState("e2").load.Add(forward.RequestLoad{}) // e1 is preferred to it
	f.state.mu.Unlock()
	done := f.call(f.request(t, "POST", "/safe/x", ""))
	a.wait(t, a.arrived, "the first attempt is not sent")
	f.fire()
	b.wait(t, b.arrived, "the second attempt is not sent")
	a.answer <- breakOff
	b.answer <- breakOff
	r := f.result(done)
	require.NoError(t, r.err)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Zero(t, third.requests.Load())
}

// Guards against lines that don't tell what became of a second attempt, and a state without the use
// of the limit.
func TestSecondAttemptIsLogged(t *testing.T) {
	logged := captureLog(t)
	a, b := newGate(t), newGate(t)
	f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
	done := f.call(f.request(t, "POST", "/safe/logged", ""))
	a.wait(t, a.arrived, "the first attempt is not sent")
	f.fire()
	b.wait(t, b.arrived, "the second attempt is not sent")
	f.clock.advance(time.Millisecond)
	b.answer <- writeOK("second")
	require.Equal(t, "second", f.result(done).body)
	require.Eventually(t, func() bool { return bytes.Contains([]byte(logged()), []byte(`"request":"id-/safe/logged"`)) }, raceTimeout, time.Millisecond)
	require.Contains(t, logged(), `"second_attempt":"won"`)
	require.Contains(t, logged(), errSuperseded.Error())
	require.Equal(t, map[string]forward.SecondAttemptUse{"s": {Requests: 101, Limit: 10, Used: 1}}, f.Status().SecondAttempts)
}

// maxRunAfterLoss is the time within which an endpoint must be able to stop a run that lost.
const maxRunAfterLoss = 400 * time.Millisecond

// Guards against a run that goes on, and counts as load, until the winner's stream has ended.
func TestRunThatLostEndsWhileTheWinnerStreams(t *testing.T) {
	a, b := newGate(t), newGate(t)
	f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
	done := f.call(f.request(t, "POST", "/resumable/x", ""))
	a.wait(t, a.arrived, "the first attempt is not sent")
	f.fire()
	b.wait(t, b.arrived, "the second attempt is not sent")
	ended := make(chan struct{})
	b.answer <- func(r *http.Request, c net.Conn) bool {
		writeEvents(false, "id: 1\ndata: b\n\n")(r, c)
		<-ended
		const second = "id: 2\ndata: c\n\n"
		fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(second), second)
		return false
	}
	release := sync.OnceFunc(func() { close(ended) })
	defer release()
	answered := time.Now()
	select {
	case <-a.closed:
	case <-time.After(raceTimeout):
		t.Fatal("the run that lost goes on")
	}
	require.Less(t, time.Since(answered), maxRunAfterLoss)
	require.Eventually(t, func() bool {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return f.state.endpointState("e0").load == forward.EndpointLoad{}
	}, raceTimeout, time.Millisecond, "the run that lost counts as load")
	release()
	require.Equal(t, "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", f.result(done).body)
}

// answerPanicCodec panics when it parses the answer of one endpoint.
type answerPanicCodec struct{ testHeaderCodec }

func (answerPanicCodec) ParseResponse(status int, h http.Header) ResponseInfo {
	panic("a fault of the program")
}

// Guards against a fault in an attempt's goroutine that ends the process, or leaves the other attempt
// and its load behind.
func TestFaultInAnAttemptEndsOnlyItsRequest(t *testing.T) {
	a, b := newGate(t), newGate(t)
	f := newRaceFixture(t, a.testEndpoint, b.testEndpoint)
	f.headerCodec = answerPanicCodec{}
	done := f.call(f.request(t, "POST", "/safe/x", ""))
	a.wait(t, a.arrived, "the first attempt is not sent")
	f.fire()
	b.wait(t, b.arrived, "the second attempt is not sent")
	a.answer <- writeOK("first")
	r := f.result(done)
	require.NoError(t, r.err)
	require.Equal(t, http.StatusInternalServerError, r.status)
	b.wait(t, b.closed, "the other run goes on")
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	require.Zero(t, f.state.endpointState("e0").load)
	require.Zero(t, f.state.endpointState("e1").load)
}
