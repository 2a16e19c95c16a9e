package entry_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/entry"
	"github.com/galenaweir/galenaweir/rpc"
)

// scriptedAgent answers each Generate with the next script; beyond the last it
// repeats it.
type scriptedAgent struct {
	rpc.UnimplementedAgentServer
	mu      sync.Mutex
	scripts []func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error
	seen    []*rpc.GenerateRequest
}

// Generate implements rpc.AgentServer.
func (a *scriptedAgent) Generate(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
	a.mu.Lock()
	a.seen = append(a.seen, req)
	script := a.scripts[min(len(a.seen), len(a.scripts))-1]
	a.mu.Unlock()
	return script(req, s)
}

// Cancel implements rpc.AgentServer.
func (a *scriptedAgent) Cancel(context.Context, *rpc.CancelRequest) (*rpc.CancelReply, error) {
	return &rpc.CancelReply{}, nil
}

func (a *scriptedAgent) requests() []*rpc.GenerateRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*rpc.GenerateRequest(nil), a.seen...)
}

// scripted replaces agent i by one that answers by the scripts.
func (p *path) scripted(i int, scripts ...func(*rpc.GenerateRequest, grpc.ServerStreamingServer[rpc.Frame]) error) *scriptedAgent {
	p.crashAgent(i)
	l, err := net.Listen("tcp", p.agents[i].address)
	require.NoError(p.t, err)
	a := &scriptedAgent{scripts: scripts}
	s := grpc.NewServer()
	rpc.RegisterAgentServer(s, a)
	go func() { _ = s.Serve(l) }()
	p.t.Cleanup(s.Stop)
	return a
}

// frames returns the frames of a whole answer of one token.
func frames(req *rpc.GenerateRequest, text string) []*rpc.Frame {
	f := func(seq uint64) *rpc.Frame {
		return &rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Seq: seq}
	}
	start, token, end := f(0), f(1), f(2)
	start.Body = &rpc.Frame_Start{Start: &rpc.Start{Endpoint: req.Endpoint, WeightVersion: "v1", PromptTokens: 5}}
	token.Body = &rpc.Frame_Token{Token: &rpc.Token{Text: text, Tokens: 1}}
	end.Body = &rpc.Frame_End{End: &rpc.End{FinishReason: "stop", LengthBytes: uint64(len(text)), PromptTokens: 5, CompletionTokens: 1}}
	return []*rpc.Frame{start, token, end}
}

// Guards against text of another attempt or customer in an answer when an agent
// crosses frames, and against such frames or keep-alives holding an answer.
func TestCrossedFrames(t *testing.T) {
	p := newPath(t, 1)
	crossed := func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
		own := frames(req, "own")
		for _, f := range own {
			for _, other := range []*rpc.Frame{
				{AttemptId: "another", Customer: req.Customer}, {AttemptId: req.AttemptId, Customer: otherID},
			} {
				other.Seq = f.Seq
				other.Body = &rpc.Frame_Token{Token: &rpc.Token{Text: "debt", Tokens: 1}}
				if err := s.Send(other); err != nil {
					return err
				}
			}
			if err := s.Send(f); err != nil {
				return err
			}
			if f != own[len(own)-1] {
				if err := s.Send(f); err != nil { // a repeated frame
					return err
				}
			}
		}
		return nil
	}
	foreignOnly := func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
		tick := time.NewTicker(silenceLimit / 4)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				if err := s.Send(&rpc.Frame{AttemptId: "another", Customer: req.Customer, Body: &rpc.Frame_KeepAlive{KeepAlive: &rpc.KeepAlive{}}}); err != nil {
					return err
				}
			case <-s.Context().Done():
				return s.Context().Err()
			}
		}
	}
	a := p.scripted(0, foreignOnly, crossed)
	r, err := p.client().CreateChatCompletion(t.Context(), request("x", 1))
	require.NoError(t, err)
	require.Equal(t, "own", r.Choices[0].Message.Content)
	require.Len(t, a.requests(), 2)
	require.True(t, a.requests()[1].Resume)
	require.NotEqual(t, "0", p.figures.Count("foreign_frames").String())
}

func refuse(e *apierr.Error) func(*rpc.GenerateRequest, grpc.ServerStreamingServer[rpc.Frame]) error {
	return func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
		return s.Send(&rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Body: &rpc.Frame_Error{Error: rpc.EncodeError(e)}})
	}
}

// Guards against retries that multiply the load when endpoints refuse, and
// against an attempt after the deadline or an error that isn't retryable.
func TestRetryBudget(t *testing.T) {
	p := newPath(t, 2)
	overloaded := refuse(apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, time.Second, "full", "retry"))
	first, second := p.scripted(0, overloaded), p.scripted(1, overloaded)
	const requests = 40
	for range requests {
		require.Equal(t, "overloaded", errorType(t, p.ask(t.Context(), "x", 1, nil).err))
	}
	sent := len(first.requests()) + len(second.requests())
	require.Greater(t, sent, requests, "some are repeated")
	require.LessOrEqual(t, sent, requests+10, "the floor of the budget")
	require.Contains(t, p.tap.String(), `"ran":"not_run"`)
	ids := map[string]bool{}
	for _, r := range append(first.requests(), second.requests()...) {
		require.Positive(t, r.DeadlineMs)
		ids[r.AttemptId] = true
	}
	require.Len(t, ids, sent, "each attempt has an ID of its own")

	p = newPath(t, 2)
	forbidden := refuse(apierr.New(apierr.Forbidden, apierr.NotRun, "no", "don't"))
	first, second = p.scripted(0, forbidden), p.scripted(1, forbidden)
	require.Equal(t, "forbidden", errorType(t, p.ask(t.Context(), "x", 1, nil).err))
	require.Len(t, append(first.requests(), second.requests()...), 1)

	p = newPath(t, 2, func(o *entry.Options) { o.Budget = noBudget{} })
	leaving := p.scripted(0, refuse(apierr.NewRetryable(apierr.Draining, apierr.NotRun, time.Second, "leaving", "retry")))
	for range 20 {
		p.requireWhole(p.ask(t.Context(), "x", 1, nil), "x", 1)
	}
	require.NotEmpty(t, leaving.requests(), "a planned stop needs no budget")
}

// Guards against a budget that isn't a share of the traffic of its window.
func TestWindowBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := entry.NewWindowBudget(time.Now, routingSeed)
		allowed := func() (n int) {
			for b.Allow() {
				n++
			}
			return n
		}
		for range 1000 {
			b.Request()
		}
		require.Equal(t, 100, allowed())
		time.Sleep(5 * time.Second)
		require.Zero(t, allowed())
		time.Sleep(6 * time.Second)
		require.Equal(t, 10, allowed(), "only the floor is left of an idle window")
		for n := range 4 { // as many endpoints as are tried
			pause, ok := b.Backoff(n, time.Second)
			require.True(t, ok)
			require.Less(t, pause, 400*time.Millisecond)
			_, ok = b.Backoff(n, time.Millisecond)
			require.False(t, ok, "not past the deadline")
		}
	})
}
