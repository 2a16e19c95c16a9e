package entry_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	openai "github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
	"github.com/galenaweir/galenaweir/standin/engine"
	"github.com/galenaweir/galenaweir/standin/forwarder"
)

// Guards against answers that a common OpenAI client library can't parse.
func TestClientLibrary(t *testing.T) {
	ts := newTestStack(t, 2)
	text := strings.Repeat("crossed, paid. ", 600)
	ts.requireComplete(ts.streamChat(t.Context(), text, 20, nil), text, 20)

	r, err := ts.client().CreateChatCompletion(t.Context(), chatRequest(text, 10))
	require.NoError(t, err)
	require.Equal(t, expectedAnswer(text, 10), r.Choices[0].Message.Content)
	require.Equal(t, openai.FinishReasonLength, r.Choices[0].FinishReason)
	require.Equal(t, 10, r.Usage.CompletionTokens)
	require.Equal(t, r.Usage.PromptTokens+10, r.Usage.TotalTokens)

	cached := 0
	for range 3 { // one of the three reaches an engine that has cached the prompt
		a := ts.streamChat(t.Context(), text, 5, nil)
		ts.requireComplete(a, text, 5)
		cached = max(cached, a.usage.PromptTokensDetails.CachedTokens)
	}
	require.Positive(t, cached)

	c, err := ts.client().CreateCompletion(t.Context(), openai.CompletionRequest{Model: model, Prompt: "permit", MaxTokens: 8})
	require.NoError(t, err)
	require.Equal(t, engine.Output("permit", 8), c.Choices[0].Text)

	_, err = ts.client().CreateChatCompletion(t.Context(), openai.ChatCompletionRequest{Model: "unknown", Messages: chatRequest("x", 1).Messages})
	var ae *openai.APIError
	require.ErrorAs(t, err, &ae)
	require.Equal(t, "unknown_model", ae.Type)
}

// Guards against an answer that is truncated, repeats text or loses text when a
// component or connection fails after the first token.
func TestFaultsAfterFirstToken(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     func(ts *testStack, endpoint int)
		continued string // number of attempts that continued the answer on another endpoint
	}{
		{"engine stopped", (*testStack).stopEngine, "1"},
		{"agent crashed", (*testStack).crashAgent, "1"},
		{"agent restarted", func(ts *testStack, i int) { ts.crashAgent(i); ts.startAgent(i) }, "0"},
		{"connections closed by the engine", func(ts *testStack, i int) { ts.servers[i].CloseClientConnections() }, "0"},
		{"entry-agent link silent both ways", func(ts *testStack, i int) { ts.agentForwarders[i].Blackhole(true, true) }, "0"},
		{"agent-to-entry direction silent", func(ts *testStack, i int) { ts.agentForwarders[i].Blackhole(false, true) }, "0"},
		{"agent-engine link silent both ways", func(ts *testStack, i int) { ts.engineForwarders[i].Blackhole(true, true) }, "0"},
		{"engine-to-agent direction silent", func(ts *testStack, i int) { ts.engineForwarders[i].Blackhole(false, true) }, "0"},
		{"entry-to-agent direction silent", func(ts *testStack, i int) { ts.agentForwarders[i].Blackhole(true, false) }, "0"},
		{"agent-to-engine direction silent", func(ts *testStack, i int) { ts.engineForwarders[i].Blackhole(true, false) }, "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ts := newTestStack(t, 2, func(o *entry.Options) { o.RetryBudget = noRetries{} }) // continuing a partial answer needs no budget
			a := ts.streamChat(t.Context(), "dispute reply", longAnswerTokens, func(i int) { c.fault(ts, i) })
			ts.requireComplete(a, "dispute reply", longAnswerTokens)
			require.Equal(t, c.continued, ts.metrics.Counter("continued").String())
			require.Equal(t, "0", ts.metrics.Counter("foreign_frames").String())
			for i := range ts.agents {
				// If only the requests' direction is silent, the other side may still be sending.
				if c.name != "entry-to-agent direction silent" && c.name != "agent-to-engine direction silent" {
					ts.eventually(func() bool { return ts.agentForwarders[i].Blackholed()+ts.engineForwarders[i].Blackholed() == 0 }, "the silent connections are closed")
				}
			}
		})
	}
}

// Guards against a request that is lost or run twice because it was sent on an idle
// connection that had become silent.
func TestSilentBeforeRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		hop  func(ts *testStack) *forwarder.Forwarder
	}{
		{"to the agent", func(ts *testStack) *forwarder.Forwarder { return ts.agentForwarders[0] }},
		{"to the engine", func(ts *testStack) *forwarder.Forwarder { return ts.engineForwarders[0] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ts := newTestStack(t, 1)
			// Concurrent requests leave several idle connections to the engine.
			var nested func(depth int)
			nested = func(depth int) {
				ts.requireComplete(ts.streamChat(t.Context(), "first", 100, func(int) {
					if depth > 0 {
						nested(depth - 1)
					}
				}), "first", 100)
			}
			nested(4)
			require.Positive(t, c.hop(ts).Blackhole(true, true))
			ts.requireComplete(ts.streamChat(t.Context(), "second", 5, nil), "second", 5)
			require.Zero(t, c.hop(ts).Blackholed())
		})
	}
}

// Guards against an answer that is continued on another weight version, and against
// an error that reports that the request did not run.
func TestContinueNeedsSameVersion(t *testing.T) {
	ts := newTestStack(t, 2)
	a := ts.streamChat(t.Context(), "letter", longAnswerTokens, func(i int) {
		other := ts.engines[1-i]
		ts.loadWeights(1-i, "v2")
		ts.eventually(func() bool { return other.State().WeightVersion == "v2" }, "the other engine has loaded v2")
		ts.stopEngine(i)
	})
	require.Equal(t, "endpoint_failed", errorType(t, a.err))
	require.Contains(t, ts.received.String(), `"ran":"ran"`)
	require.NotEmpty(t, a.text)
	require.True(t, strings.HasPrefix(expectedAnswer("letter", longAnswerTokens), a.text))
}

// Guards against requests that fail while an agent drains although another endpoint
// is available, and against a drain that interrupts a running answer.
func TestDrainAgent(t *testing.T) {
	ts := newTestStack(t, 2, func(o *entry.Options) { o.RetryBudget = noRetries{} }) // retries after a drain need no budget
	var running sync.WaitGroup
	var drainErr error
	a := ts.streamChat(t.Context(), "running", longAnswerTokens, func(i int) {
		running.Go(func() { drainErr = ts.agents[i].Drain(t.Context()) })
		ts.eventually(ts.agents[i].Leaving, "the agent is draining")
		for range 20 {
			ts.requireComplete(ts.streamChat(t.Context(), "new", 5, nil), "new", 5)
		}
		ts.agentForwarders[i].Blackhole(true, true) // the running answer must be resumed on the draining agent
	})
	ts.requireComplete(a, "running", longAnswerTokens)
	running.Wait()
	require.NoError(t, drainErr)
	require.Equal(t, "0", ts.metrics.Counter("continued").String())
}

// Guards against a drain of the entry that interrupts a running answer, and against a
// drain that keeps waiting after a second termination signal has canceled its context.
func TestDrainEntry(t *testing.T) {
	ts := newTestStack(t, 1)
	var running sync.WaitGroup
	var drainErr error
	var finalMetrics string // metrics at the end of the drain
	a := ts.streamChat(t.Context(), "running", longAnswerTokens, func(int) {
		ts.entry.BeginDrain()
		require.False(t, ts.entry.Ready())
		ts.requireComplete(ts.streamChat(t.Context(), "the balancer has not noticed", 5, nil), "the balancer has not noticed", 5)
		canceled, stop := context.WithCancel(t.Context())
		stop()
		require.ErrorContains(t, ts.entry.Drain(canceled), "cut ")
		require.Equal(t, "draining", errorType(t, ts.streamChat(t.Context(), "new", 5, nil).err))
		running.Go(func() {
			drainErr = ts.entry.Drain(t.Context())
			finalMetrics = ts.metrics.String()
		})
	})
	ts.requireComplete(a, "running", longAnswerTokens)
	running.Wait()
	require.NoError(t, drainErr)
	require.Contains(t, finalMetrics, `"running":0`, "the drain ends after the answers are complete")
}

func errorType(t *testing.T, err error) string {
	t.Helper()
	var ae *openai.APIError
	require.ErrorAs(t, err, &ae)
	return ae.Type
}

// Guards against an engine that keeps generating after the caller has disconnected,
// also if the agent has restarted in between and doesn't know the attempt.
func TestCallerDisconnects(t *testing.T) {
	for _, restart := range []bool{false, true} {
		ts := newTestStack(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		a := ts.streamChat(ctx, "dispute", 30_000, func(i int) {
			if restart {
				ts.crashAgent(i)
				ts.startAgent(i)
			}
			cancel()
		})
		require.ErrorIs(t, a.err, context.Canceled)
		ts.eventually(ts.enginesIdle, "the engine is idle")
	}
}

// Guards against answers with text of other requests: from an engine that returns
// another attempt's frames, and for a customer that sends another customer's attempt
// ID, also after the agent has restarted.
func TestIsolation(t *testing.T) {
	ts := newTestStack(t, 2)
	ts.engines[0].SetFaults(engine.Faults{WrongAttemptID: true})
	ts.engines[1].SetFaults(engine.Faults{WrongAttemptID: true})
	a := ts.streamChat(t.Context(), "balance", 10, nil)
	require.Equal(t, "endpoint_failed", errorType(t, a.err))
	require.Empty(t, a.text)
	ts.engines[1].SetFaults(engine.Faults{})
	for range 4 {
		ts.requireComplete(ts.streamChat(t.Context(), "balance", 10, nil), "balance", 10)
	}
	require.Positive(t, ts.agents[0].ForeignFrames())

	ts.engines[0].SetFaults(engine.Faults{})
	req := &rpc.GenerateRequest{RequestId: "r", AttemptId: "reused", Customer: customerID, Endpoint: "naviq-0", Model: model, Prompt: "secret debt", MaxTokens: 40, DeadlineMs: 60_000}
	require.Equal(t, engine.Output("secret debt", 40), ts.generateAtFirstAgent(req))
	req.Customer, req.Resume = otherCustomerID, true
	require.Equal(t, string(apierr.Forbidden), ts.generateAtFirstAgent(req))
	ts.crashAgent(0)
	ts.startAgent(0)
	req.Prompt = "own prompt"
	require.Equal(t, engine.Output("own prompt", 40), ts.generateAtFirstAgent(req))
}

// generateAtFirstAgent runs a request directly on agent 0 and returns its text, or the
// kind of its error.
func (ts *testStack) generateAtFirstAgent(req *rpc.GenerateRequest) string {
	pool := dial.New(insecure.NewCredentials())
	defer pool.Close()
	conn, err := pool.Get(ts.agents[0].address)
	require.NoError(ts.t, err)
	s, err := rpc.NewAgentClient(conn).Generate(ts.t.Context(), req)
	require.NoError(ts.t, err)
	text := ""
	for {
		f, err := s.Recv()
		if err != nil {
			return text
		}
		if e := f.GetError(); e != nil {
			return e.Kind
		}
		require.Equal(ts.t, req.Customer, f.Customer)
		text += f.GetToken().GetText()
	}
}
