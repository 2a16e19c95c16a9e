package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// lineFixture is a gateway with one engine, an urgent route with a short latency target and a patient
// one, and a line.
func lineFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, serveRaw(t, respondOK("answer")))
	f.servePrompts(t, &Scheduling{WaitingLine: true})
	config := *f.state.table.Config
	config.Version++
	config.Routes = append([]forward.Route(nil), config.Routes...)
	for i := range config.Routes {
		r := &config.Routes[i]
		r.Timeout = 15 * time.Second
		if r.Name == "/unsafe/" {
			r.Priority, r.LatencyTarget = 2, 2*time.Second
		} else {
			r.Priority, r.LatencyTarget = 0, 500*time.Millisecond
		}
	}
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, f.clock.read(), false)
	return f
}

// queue puts waiting prefill before the engine and returns how to take it away.
func (f *fixture) queue(tokens int) (remove func()) {
	w := forward.RequestLoad{PrefillTokens: tokens}
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.endpointState("e0").load.Add(w)
	return func() {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		f.state.endpointState("e0").load.Remove(&w)
	}
}

// Guards against patient prompts that fill the queue which urgent ones find, and against prompts that
// wait although there is room.
func TestPatientPromptsLeaveRoom(t *testing.T) {
	f := lineFixture(t)
	remove := f.queue(7000) // 140 ms: more than the patient ones leave, less than the urgent ones wait for
	require.Equal(t, 200, f.prompt(t, "/safe/x"), "an urgent prompt is placed at once")
	done := make(chan int, 1)
	go func() { done <- f.prompt(t, "/unsafe/x") }()
	require.Eventually(t, func() bool {
		f.state.mu.Lock()
		defer f.state.mu.Unlock()
		return f.state.lines.of("s").Len() == 1
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, 200, f.prompt(t, "/safe/y"), "an urgent prompt passes those that wait")
	remove()
	require.Equal(t, 200, <-done)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	require.Zero(t, f.state.lines.of("s").Len())
	require.Empty(t, f.state.lines.turns)
}

// Guards against a prompt that stays in the line after its caller has left.
func TestCallerThatLeavesLeavesTheLine(t *testing.T) {
	f := lineFixture(t)
	f.queue(7000)
	ctx, cancel := context.WithCancel(t.Context())
	r := f.request(t, "POST", "/unsafe/x", "").WithContext(ctx)
	r.Header.Set("Test-Prompt", "own")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resp, err := f.srv.Client().Do(r); err == nil {
			resp.Body.Close()
		}
	}()
	waiting := func(n int) func() bool {
		return func() bool {
			f.state.mu.Lock()
			defer f.state.mu.Unlock()
			return f.state.lines.of("s").Len() == n
		}
	}
	require.Eventually(t, waiting(1), 5*time.Second, time.Millisecond)
	cancel()
	<-done
	require.Eventually(t, waiting(0), 5*time.Second, time.Millisecond)
}
