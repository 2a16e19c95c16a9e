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

// Guards against answers that an ordinary client library can't read.
func TestClientLibrary(t *testing.T) {
	p := newPath(t, 2)
	text := strings.Repeat("crossed, paid. ", 600)
	p.requireWhole(p.ask(t.Context(), text, 20, nil), text, 20)

	r, err := p.client().CreateChatCompletion(t.Context(), request(text, 10))
	require.NoError(t, err)
	require.Equal(t, expected(text, 10), r.Choices[0].Message.Content)
	require.Equal(t, openai.FinishReasonLength, r.Choices[0].FinishReason)
	require.Equal(t, 10, r.Usage.CompletionTokens)
	require.Equal(t, r.Usage.PromptTokens+10, r.Usage.TotalTokens)

	cached := 0
	for range 3 { // at the latest the third meets an engine that has seen the prompt
		a := p.ask(t.Context(), text, 5, nil)
		p.requireWhole(a, text, 5)
		cached = max(cached, a.usage.PromptTokensDetails.CachedTokens)
	}
	require.Positive(t, cached)

	c, err := p.client().CreateCompletion(t.Context(), openai.CompletionRequest{Model: model, Prompt: "permit", MaxTokens: 8})
	require.NoError(t, err)
	require.Equal(t, engine.Answer("permit", 8), c.Choices[0].Text)

	_, err = p.client().CreateChatCompletion(t.Context(), openai.ChatCompletionRequest{Model: "unknown", Messages: request("x", 1).Messages})
	var ae *openai.APIError
	require.ErrorAs(t, err, &ae)
	require.Equal(t, "unknown_model", ae.Type)
}

// Guards against an answer that ends, repeats or loses a byte when something on
// its way fails after the first token.
func TestFaultsAfterFirstToken(t *testing.T) {
	for _, c := range []struct {
		name      string
		act       func(p *path, endpoint int)
		continued string // attempts that continued the answer elsewhere
	}{
		{"engine gone", (*path).loseEngine, "1"},
		{"agent gone", (*path).crashAgent, "1"},
		{"agent restarted", func(p *path, i int) { p.crashAgent(i); p.startAgent(i) }, "0"},
		{"stream cut by the engine", func(p *path, i int) { p.servers[i].CloseClientConnections() }, "0"},
		{"agent silent both ways", func(p *path, i int) { p.toAgent[i].Silence(true, true) }, "0"},
		{"agent silent towards the entry", func(p *path, i int) { p.toAgent[i].Silence(false, true) }, "0"},
		{"engine silent both ways", func(p *path, i int) { p.toEngin[i].Silence(true, true) }, "0"},
		{"engine silent towards the agent", func(p *path, i int) { p.toEngin[i].Silence(false, true) }, "0"},
		{"entry silent towards the agent", func(p *path, i int) { p.toAgent[i].Silence(true, false) }, "0"},
		{"agent silent towards the engine", func(p *path, i int) { p.toEngin[i].Silence(true, false) }, "0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPath(t, 2, func(o *entry.Options) { o.Budget = noBudget{} }) // a begun answer is not to be lost for it
			a := p.ask(t.Context(), "dispute reply", longAnswer, func(i int) { c.act(p, i) })
			p.requireWhole(a, "dispute reply", longAnswer)
			require.Equal(t, c.continued, p.figures.Count("continued").String())
			require.Equal(t, "0", p.figures.Count("foreign_frames").String())
			for i := range p.agents {
				// Those silent in one direction only may still pass what the other side sends.
				if c.name != "entry silent towards the agent" && c.name != "agent silent towards the engine" {
					p.eventually(func() bool { return p.toAgent[i].Silent()+p.toEngin[i].Silent() == 0 }, "the silent connection is closed")
				}
			}
		})
	}
}

// Guards against a request that is lost, or run twice, because it was sent on a
// connection that had gone silent before.
func TestSilentBeforeRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		hop  func(p *path) *forwarder.Forwarder
	}{
		{"to the agent", func(p *path) *forwarder.Forwarder { return p.toAgent[0] }},
		{"to the engine", func(p *path) *forwarder.Forwarder { return p.toEngin[0] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPath(t, 1)
			// At once, so that several connections to the engine are left idle.
			var nested func(depth int)
			nested = func(depth int) {
				p.requireWhole(p.ask(t.Context(), "first", 100, func(int) {
					if depth > 0 {
						nested(depth - 1)
					}
				}), "first", 100)
			}
			nested(4)
			require.Positive(t, c.hop(p).Silence(true, true))
			p.requireWhole(p.ask(t.Context(), "second", 5, nil), "second", 5)
			require.Zero(t, c.hop(p).Silent())
		})
	}
}

// Guards against a text that continues on other weights, and against an error
// that denies that the request ran.
func TestContinueNeedsSameVersion(t *testing.T) {
	p := newPath(t, 2)
	a := p.ask(t.Context(), "letter", longAnswer, func(i int) {
		other := p.engines[1-i]
		p.order(1-i, "v2")
		p.eventually(func() bool { return other.State().WeightVersion == "v2" }, "the other engine has loaded v2")
		p.loseEngine(i)
	})
	require.Equal(t, "endpoint_failed", errorType(t, a.err))
	require.Contains(t, p.tap.String(), `"ran":"ran"`)
	require.NotEmpty(t, a.text)
	require.True(t, strings.HasPrefix(expected("letter", longAnswer), a.text))
}

// Guards against a request that fails although another endpoint could take it,
// and against a planned stop that cuts an answer.
func TestLeavingAgent(t *testing.T) {
	p := newPath(t, 2, func(o *entry.Options) { o.Budget = noBudget{} }) // a planned stop needs none
	var running sync.WaitGroup
	var drained error
	a := p.ask(t.Context(), "running", longAnswer, func(i int) {
		running.Go(func() { drained = p.agents[i].Drain(t.Context()) })
		p.eventually(p.agents[i].Leaving, "the agent leaves")
		for range 20 {
			p.requireWhole(p.ask(t.Context(), "new", 5, nil), "new", 5)
		}
		p.toAgent[i].Silence(true, true) // the running answer must be resumed at the leaving agent
	})
	p.requireWhole(a, "running", longAnswer)
	running.Wait()
	require.NoError(t, drained)
	require.Equal(t, "0", p.figures.Count("continued").String())
}

// Guards against a planned stop of an entry that cuts an answer, and against a
// second signal that waits.
func TestLeavingEntry(t *testing.T) {
	p := newPath(t, 1)
	var running sync.WaitGroup
	var drained error
	var figures string // when the drain had ended
	a := p.ask(t.Context(), "running", longAnswer, func(int) {
		p.entry.BeginDrain()
		require.False(t, p.entry.Ready())
		p.requireWhole(p.ask(t.Context(), "the balancer has not noticed", 5, nil), "the balancer has not noticed", 5)
		cut, stop := context.WithCancel(t.Context())
		stop()
		require.ErrorContains(t, p.entry.Drain(cut), "cut ")
		require.Equal(t, "draining", errorType(t, p.ask(t.Context(), "new", 5, nil).err))
		running.Go(func() {
			drained = p.entry.Drain(t.Context())
			figures = p.figures.String()
		})
	})
	p.requireWhole(a, "running", longAnswer)
	running.Wait()
	require.NoError(t, drained)
	require.Contains(t, figures, `"running":0`, "the drain ends after the answers")
}

func errorType(t *testing.T, err error) string {
	t.Helper()
	var ae *openai.APIError
	require.ErrorAs(t, err, &ae)
	return ae.Type
}

// Guards against an engine that works for a caller who has gone, also when the
// agent has restarted in between and doesn't know the attempt.
func TestCallerLeaves(t *testing.T) {
	for _, restart := range []bool{false, true} {
		p := newPath(t, 1)
		ctx, cancel := context.WithCancel(t.Context())
		a := p.ask(ctx, "dispute", 30_000, func(i int) {
			if restart {
				p.crashAgent(i)
				p.startAgent(i)
			}
			cancel()
		})
		require.ErrorIs(t, a.err, context.Canceled)
		p.eventually(p.enginesIdle, "the engine is free")
	}
}

// Guards against foreign text: from an engine that names another attempt, or for
// a customer that names another's attempt, also after the agent's restart.
func TestIsolation(t *testing.T) {
	p := newPath(t, 2)
	p.engines[0].SetFaults(engine.Faults{WrongAttempt: true})
	p.engines[1].SetFaults(engine.Faults{WrongAttempt: true})
	a := p.ask(t.Context(), "balance", 10, nil)
	require.Equal(t, "endpoint_failed", errorType(t, a.err))
	require.Empty(t, a.text)
	p.engines[1].SetFaults(engine.Faults{})
	for range 4 {
		p.requireWhole(p.ask(t.Context(), "balance", 10, nil), "balance", 10)
	}
	require.Positive(t, p.agents[0].ForeignFrames())

	p.engines[0].SetFaults(engine.Faults{})
	req := &rpc.GenerateRequest{RequestId: "r", AttemptId: "reused", Customer: customerID, Endpoint: "naviq-0", Model: model, Prompt: "secret debt", MaxTokens: 40, DeadlineMs: 60_000}
	require.Equal(t, engine.Answer("secret debt", 40), p.generate(req))
	req.Customer, req.Resume = otherID, true
	require.Equal(t, string(apierr.Forbidden), p.generate(req))
	p.crashAgent(0)
	p.startAgent(0)
	req.Prompt = "own prompt"
	require.Equal(t, engine.Answer("own prompt", 40), p.generate(req))
}

// generate follows an attempt at agent 0 and returns its text or its error kind.
func (p *path) generate(req *rpc.GenerateRequest) string {
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
