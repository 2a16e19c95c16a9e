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
	p := newTestStack(t, 2)
	text := strings.Repeat("crossed, paid. ", 600)
	p.requireComplete(p.streamChat(t.Context(), text, 20, nil), text, 20)

	r, err := p.client().CreateChatCompletion(t.Context(), chatRequest(text, 10))
	require.NoError(t, err)
	require.Equal(t, expectedAnswer(text, 10), r.Choices[0].Message.Content)
	require.Equal(t, openai.FinishReasonLength, r.Choices[0].FinishReason)
	require.Equal(t, 10, r.Usage.CompletionTokens)
	require.Equal(t, r.Usage.PromptTokens+10, r.Usage.TotalTokens)

	cached := 0
	for range 3 { // one of the three reaches an engine that has cached the prompt
		a := p.streamChat(t.Context(), text, 5, nil)
		p.requireComplete(a, text, 5)
		cached = max(cached, a.usage.PromptTokensDetails.CachedTokens)
	}
	require.Positive(t, cached)

	c, err := p.client().CreateCompletion(t.Context(), openai.CompletionRequest{Model: model, Prompt: "permit", MaxTokens: 8})
	require.NoError(t, err)
	require.Equal(t, engine.Answer("permit", 8), c.Choices[0].Text)

	_, err = p.client().CreateChatCompletion(t.Context(), openai.ChatCompletionRequest{Model: "unknown", Messages: chatRequest("x", 1).Messages})
	var ae *openai.APIError
	require.ErrorAs(t, err, &ae)
	require.Equal(t, "unknown_model", ae.Type)
}

// Guards against an answer that is truncated, repeats text or loses text when a
// component or connection fails after the first token.
func TestFaultsAfterFirstToken(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     func(p *testStack, endpoint int)
		continued string // number of attempts that continued the answer on another endpoint
	}{
		{"engine stopped", (*testStack).stopEngine, "1"},
		{"agent crashed", (*testStack).crashAgent, "1"},
		{"agent restarted", func(p *testStack, i int) { p.crashAgent(i); p.startAgent(i) }, "0"},
		{"connections closed by the engine", func(p *testStack, i int) { p.servers[i].CloseClientConnections() }, "0"},
		{"entry-agent link silent both ways", func(p *testStack, i int) { p.agentForwarders[i].Silence(true, true) }, "0"},
		{"agent-to-entry direction silent", func(p *testStack, i int) { p.agentForwarders[i].Silence(false, true) }, "0"},
		{"agent-engine link silent both ways", func(p *testStack, i int) { p.engineForwarders[i].Silence(true, true) }, "0"},
		{"engine-to-agent direction silent", func(p *testStack, i int) { p.engineForwarders[i].Silence(false, true) }, "0"},
		{"entry-to-agent direction silent", func(p *testStack, i int) { p.agentForwarders[i].Silence(true, false) }, "0"},
		{"agent-to-engine direction silent", func(p *testStack, i int) { p.engineForwarders[i].Silence(true, false) }, "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestStack(t, 2, func(o *entry.Options) { o.Budget = noRetries{} }) // continuing a partial answer needs no budget
			a := p.streamChat(t.Context(), "dispute reply", longAnswerTokens, func(i int) { c.fault(p, i) })
			p.requireComplete(a, "dispute reply", longAnswerTokens)
			require.Equal(t, c.continued, p.metrics.Count("continued").String())
			require.Equal(t, "0", p.metrics.Count("foreign_frames").String())
			for i := range p.agents {
				// If only the requests' direction is silent, the other side may still be sending.
				if c.name != "entry-to-agent direction silent" && c.name != "agent-to-engine direction silent" {
					p.eventually(func() bool { return p.agentForwarders[i].Silent()+p.engineForwarders[i].Silent() == 0 }, "the silent connections are closed")
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
		hop  func(p *testStack) *forwarder.Forwarder
	}{
		{"to the agent", func(p *testStack) *forwarder.Forwarder { return p.agentForwarders[0] }},
		{"to the engine", func(p *testStack) *forwarder.Forwarder { return p.engineForwarders[0] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newTestStack(t, 1)
			// Concurrent requests leave several idle connections to the engine.
			var nested func(depth int)
			nested = func(depth int) {
				p.requireComplete(p.streamChat(t.Context(), "first", 100, func(int) {
					if depth > 0 {
						nested(depth - 1)
					}
				}), "first", 100)
			}
			nested(4)
			require.Positive(t, c.hop(p).Silence(true, true))
			p.requireComplete(p.streamChat(t.Context(), "second", 5, nil), "second", 5)
			require.Zero(t, c.hop(p).Silent())
		})
	}
}

// Guards against an answer that is continued on another weight version, and against
// an error that reports that the request did not run.
func TestContinueNeedsSameVersion(t *testing.T) {
	p := newTestStack(t, 2)
	a := p.streamChat(t.Context(), "letter", longAnswerTokens, func(i int) {
		other := p.engines[1-i]
		p.loadWeights(1-i, "v2")
		p.eventually(func() bool { return other.State().WeightVersion == "v2" }, "the other engine has loaded v2")
		p.stopEngine(i)
	})
	require.Equal(t, "endpoint_failed", errorType(t, a.err))
	require.Contains(t, p.received.String(), `"ran":"ran"`)
	require.NotEmpty(t, a.text)
	require.True(t, strings.HasPrefix(expectedAnswer("letter", longAnswerTokens), a.text))
}

// Guards against requests that fail while an agent drains although another endpoint
// is available, and against a drain that interrupts a running answer.
func TestDrainAgent(t *testing.T) {
	p := newTestStack(t, 2, func(o *entry.Options) { o.Budget = noRetries{} }) // retries after a drain need no budget
	var running sync.WaitGroup
	var drained error
	a := p.streamChat(t.Context(), "running", longAnswerTokens, func(i int) {
		running.Go(func() { drained = p.agents[i].Drain(t.Context()) })
		p.eventually(p.agents[i].Leaving, "the agent is draining")
		for range 20 {
			p.requireComplete(p.streamChat(t.Context(), "new", 5, nil), "new", 5)
		}
		p.agentForwarders[i].Silence(true, true) // the running answer must be resumed on the draining agent
	})
	p.requireComplete(a, "running", longAnswerTokens)
	running.Wait()
	require.NoError(t, drained)
	require.Equal(t, "0", p.metrics.Count("continued").String())
}

// Guards against a drain of the entry that interrupts a running answer, and against a
// drain that keeps waiting after its context was canceled.
func TestDrainEntry(t *testing.T) {
	p := newTestStack(t, 1)
	var running sync.WaitGroup
	var drained error
	var finalMetrics string // metrics at the end of the drain
	a := p.streamChat(t.Context(), "running", longAnswerTokens, func(int) {
		p.entry.BeginDrain()
		require.False(t, p.entry.Ready())
		p.requireComplete(p.streamChat(t.Context(), "the balancer has not noticed", 5, nil), "the balancer has not noticed", 5)
		canceled, stop := context.WithCancel(t.Context())
		stop()
		require.ErrorContains(t, p.entry.Drain(canceled), "cut ")
		require.Equal(t, "draining", errorType(t, p.streamChat(t.Context(), "new", 5, nil).err))
		running.Go(func() {
			drained = p.entry.Drain(t.Context())
			finalMetrics = p.metrics.String()
		})
	})
	p.requireComplete(a, "running", longAnswerTokens)
	running.Wait()
	require.NoError(t, drained)
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
		p := newTestStack(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		a := p.streamChat(ctx, "dispute", 30_000, func(i int) {
			if restart {
				p.crashAgent(i)
				p.startAgent(i)
			}
			cancel()
		})
		require.ErrorIs(t, a.err, context.Canceled)
		p.eventually(p.enginesIdle, "the engine is idle")
	}
}

// Guards against answers with text of other requests: from an engine that returns
// another attempt's frames, and for a customer that sends another customer's attempt
// ID, also after the agent has restarted.
func TestIsolation(t *testing.T) {
	p := newTestStack(t, 2)
	p.engines[0].SetFaults(engine.Faults{WrongAttempt: true})
	p.engines[1].SetFaults(engine.Faults{WrongAttempt: true})
	a := p.streamChat(t.Context(), "balance", 10, nil)
	require.Equal(t, "endpoint_failed", errorType(t, a.err))
	require.Empty(t, a.text)
	p.engines[1].SetFaults(engine.Faults{})
	for range 4 {
		p.requireComplete(p.streamChat(t.Context(), "balance", 10, nil), "balance", 10)
	}
	require.Positive(t, p.agents[0].DroppedFrames())

	p.engines[0].SetFaults(engine.Faults{})
	req := &rpc.GenerateRequest{RequestId: "r", AttemptId: "reused", Customer: customerID, Endpoint: "naviq-0", Model: model, Prompt: "secret debt", MaxTokens: 40, DeadlineMs: 60_000}
	require.Equal(t, engine.Answer("secret debt", 40), p.generateAtFirstAgent(req))
	req.Customer, req.Resume = otherCustomerID, true
	require.Equal(t, string(apierr.Forbidden), p.generateAtFirstAgent(req))
	p.crashAgent(0)
	p.startAgent(0)
	req.Prompt = "own prompt"
	require.Equal(t, engine.Answer("own prompt", 40), p.generateAtFirstAgent(req))
}

// generateAtFirstAgent runs a request directly on agent 0 and returns its text, or the
// kind of its error.
func (p *testStack) generateAtFirstAgent(req *rpc.GenerateRequest) string {
	pool := dial.New(insecure.NewCredentials())
	defer pool.Close()
	conn, err := pool.Get(p.agents[0].address)
	require.NoError(p.t, err)
	s, err := rpc.NewAgentClient(conn).Generate(p.t.Context(), req)
	require.NoError(p.t, err)
	text := ""
	for {
		f, err := s.Recv()
		if err != nil {
			return text
		}
		if e := f.GetError(); e != nil {
			return e.Kind
		}
		require.Equal(p.t, req.Customer, f.Customer)
		text += f.GetToken().GetText()
	}
}
