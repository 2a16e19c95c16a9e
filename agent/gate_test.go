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

func gateDoc() *config.Document {
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

// P5: one request runs on one slot at a time; one that can't start in time is
// refused at once, and one whose caller leaves while it waits gives up its place.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, doc := NewGate(time.Now), gateDoc()
		release, err := g.Acquire(t.Context(), doc, gateRequest("a"))
		require.NoError(t, err)

		soon, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		begin := time.Now()
		_, err = g.Acquire(soon, doc, gateRequest("b"))
		require.True(t, apierr.Is(err, apierr.DeadlineUnmet))
		require.Equal(t, apierr.NotRun, apierr.From(err).Ran)
		require.Positive(t, apierr.From(err).RetryAfter)
		require.Equal(t, begin, time.Now(), "refused at once")

		gone, leave := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() {
			_, err := g.Acquire(gone, doc, gateRequest("b"))
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
		leave()
		synctest.Wait()
		require.False(t, started)
		release(100)
		release(100) // a second call changes nothing
		wg.Wait()
		load, _ = g.Load("e")
		require.Zero(t, load)
	})
}

// A slot that is granted just when the caller leaves is given back.
func TestGateGrantRace(t *testing.T) {
	g, doc := NewGate(time.Now), gateDoc()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 { // either case of the select may win
		if release, err := g.Acquire(gone, doc, gateRequest("a")); err == nil {
			release(1)
		}
		load, _ := g.Load("e")
		require.Zero(t, load)
	}
}

// A request that already runs in the engine is never made to wait or refused.
func TestGateAdmitsResumed(t *testing.T) {
	g, doc := NewGate(time.Now), gateDoc()
	for range 3 {
		req := gateRequest("a")
		req.Resume = true
		_, err := g.Acquire(t.Context(), doc, req)
		require.NoError(t, err)
	}
	load, _ := g.Load("e")
	require.Equal(t, 3, load.Running)
}

// P5: a prompt that the gate refuses never reaches the engine, and the frame that
// carries the refusal says so.
func TestRefusedPromptNeverReachesTheEngine(t *testing.T) {
	r := newRig(t, storeOptions(), nil)
	r.agent.o.Gate = NewGate(time.Now)
	r.doc.Models["m"] = config.Model{DecodeMsPerToken: 10, KVBytesPerToken: 1}
	e := r.doc.Endpoints["e"]
	e.Slots = 1
	r.doc.Endpoints["e"] = e
	release, err := r.agent.o.Gate.Acquire(t.Context(), r.doc, r.request("a"))
	require.NoError(t, err)
	req := r.request("b")
	req.DeadlineMs = 1000
	at, err := r.agent.attempt(req)
	require.NoError(t, err)
	for done := false; !done; {
		var changed <-chan struct{}
		_, done, changed, err = at.since(0)
		if !done {
			<-changed
		}
	}
	require.True(t, apierr.Is(err, apierr.DeadlineUnmet), "%v", err)
	require.Equal(t, apierr.NotRun, apierr.From(err).Ran)
	require.Error(t, r.cache.o.Engine.Cancel(t.Context(), e.Address, req.AttemptId), "the engine does not know the attempt")
	release(0)
	r.run("a")
	load := r.agent.load("e", "")
	require.Zero(t, load.Running+load.Waiting)
}

// Guards against prompts that wait in the engine, where a later one of a light
// customer can't pass them.
func TestGateHoldsPrefillBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, doc := NewGate(time.Now), gateDoc()
		e := doc.Endpoints["e"]
		e.Slots = 8
		doc.Endpoints["e"] = e
		started := 0
		ask := func(attempt string) {
			req := gateRequest("a")
			req.AttemptId, req.PrefillTokens = attempt, maxEnginePrefill
			_, err := g.Acquire(t.Context(), doc, req)
			require.NoError(t, err)
			started++
		}
		ask("first")
		go ask("second")
		synctest.Wait()
		require.Equal(t, 1, started)
		g.Began("e", "first")
		synctest.Wait()
		require.Equal(t, 2, started)
	})
}
