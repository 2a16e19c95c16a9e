package agent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/rpc"
)

func gateDocument() *config.Document {
	return &config.Document{
		Models:     map[string]config.Model{"m": {DecodeMsPerToken: 10}},
		Endpoints:  map[string]config.Endpoint{"e": {Model: "m", Slots: 1}},
		Priorities: map[string]config.Priority{"standard": {Rank: 1}},
		Customers:  map[string]config.Customer{"a": {Weight: 1}, "b": {Weight: 1}},
	}
}

func gateRequest(customer string) *rpc.GenerateRequest {
	return &rpc.GenerateRequest{Customer: customer, Endpoint: "e", Model: "m", Priority: "standard", Prompt: "x", MaxTokens: 99}
}

// Guards against admitting more requests than slots, against a request that waits
// although it can't start before its deadline, and against a cancelled request that
// keeps its place in the queue.
func TestGateAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, doc := NewAdmissionGate(time.Now), gateDocument()
		release, err := g.Acquire(t.Context(), doc, gateRequest("a"))
		require.NoError(t, err)

		shortDeadline, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		start := time.Now()
		_, err = g.Acquire(shortDeadline, doc, gateRequest("b"))
		require.True(t, apierr.Is(err, apierr.DeadlineUnmet))
		require.Equal(t, apierr.NotRun, apierr.From(err).Ran)
		require.Positive(t, apierr.From(err).RetryAfter)
		require.Equal(t, start, time.Now(), "refused at once")

		cancelled, cancelWaiting := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := g.Acquire(cancelled, doc, gateRequest("b"))
			require.ErrorIs(t, err, context.Canceled)
		})
		started := false
		wg.Go(func() {
			r, err := g.Acquire(t.Context(), doc, gateRequest("a"))
			require.NoError(t, err)
			started = true
			r(100)
		})
		synctest.Wait()
		load, _ := g.Load("e")
		require.Equal(t, []int{1, 2, 200}, []int{load.Running, load.Waiting, load.QueuedTokens})
		cancelWaiting()
		synctest.Wait()
		require.False(t, started)
		release(100)
		release(100) // a second call has no effect
		wg.Wait()
		load, _ = g.Load("e")
		require.Zero(t, load)
	})
}

// Guards against leaking a slot that is granted at the moment the caller cancels.
func TestGateCancelRace(t *testing.T) {
	g, doc := NewAdmissionGate(time.Now), gateDocument()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 { // the select in Acquire may take either ready case
		if release, err := g.Acquire(cancelled, doc, gateRequest("a")); err == nil {
			release(1)
		}
		load, _ := g.Load("e")
		require.Zero(t, load)
	}
}

// Guards against queueing or refusing a resumed request, which already runs on the
// engine.
func TestGateAdmitsResumed(t *testing.T) {
	g, doc := NewAdmissionGate(time.Now), gateDocument()
	for range 3 {
		req := gateRequest("a")
		req.Resume = true
		_, err := g.Acquire(t.Context(), doc, req)
		require.NoError(t, err)
	}
	load, _ := g.Load("e")
	require.Equal(t, 3, load.Running)
}

// Guards against a refused prompt that reaches the engine or whose error doesn't say
// that it did not run.
func TestRefusedPromptDoesNotReachEngine(t *testing.T) {
	r := newHarness(t, storeOptions(), nil)
	r.agent.opts.Gate = NewAdmissionGate(time.Now)
	r.doc.Models["m"] = config.Model{DecodeMsPerToken: 10, KVBytesPerToken: 1}
	e := r.doc.Endpoints["e"]
	e.Slots = 1
	r.doc.Endpoints["e"] = e
	release, err := r.agent.opts.Gate.Acquire(t.Context(), r.doc, r.request("a"))
	require.NoError(t, err)
	req := r.request("b")
	req.DeadlineMs = 1000
	at, err := r.agent.findOrStartAttempt(req)
	require.NoError(t, err)
	for done := false; !done; {
		var changed <-chan struct{}
		_, done, changed, err = at.framesFrom(0)
		if !done {
			<-changed
		}
	}
	require.True(t, apierr.Is(err, apierr.DeadlineUnmet), "%v", err)
	require.Equal(t, apierr.NotRun, apierr.From(err).Ran)
	require.Error(t, r.cache.opts.Engine.Cancel(t.Context(), e.Address, req.AttemptId), "the engine never received the attempt")
	release(0)
	r.run("a")
	load := r.agent.loadReport("e", "")
	require.Zero(t, load.Running+load.Waiting)
}

// Guards against admitting prompts that would queue in the engine, where a later prompt
// of a customer with a lighter load can't overtake them.
func TestGateLimitsEnginePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, doc := NewAdmissionGate(time.Now), gateDocument()
		e := doc.Endpoints["e"]
		e.Slots = 8
		doc.Endpoints["e"] = e
		started := 0
		acquire := func(attempt string) {
			req := gateRequest("a")
			req.AttemptId, req.PrefillTokens = attempt, maxEnginePrefillTokens
			_, err := g.Acquire(t.Context(), doc, req)
			require.NoError(t, err)
			started++
		}
		acquire("first")
		go acquire("second")
		synctest.Wait()
		require.Equal(t, 1, started)
		g.FirstFrameReceived("e", "first")
		synctest.Wait()
		require.Equal(t, 2, started)
	})
}
