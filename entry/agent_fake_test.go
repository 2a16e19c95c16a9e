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

// scriptedAgent answers the n-th Generate call with the n-th script, and all further
// calls with the last one.
type scriptedAgent struct {
	rpc.UnimplementedAgentServer
	mu         sync.Mutex
	scripts    []func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error
	requestLog []*rpc.GenerateRequest
}

// Generate implements rpc.AgentServer.
func (a *scriptedAgent) Generate(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
	a.mu.Lock()
	a.requestLog = append(a.requestLog, req)
	script := a.scripts[min(len(a.requestLog), len(a.scripts))-1]
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
	return append([]*rpc.GenerateRequest(nil), a.requestLog...)
}

// startScriptedAgent replaces agent i with one that runs the scripts.
func (ts *testStack) startScriptedAgent(i int, scripts ...func(*rpc.GenerateRequest, grpc.ServerStreamingServer[rpc.Frame]) error) *scriptedAgent {
	ts.crashAgent(i)
	l, err := net.Listen("tcp", ts.agents[i].address)
	require.NoError(ts.t, err)
	a := &scriptedAgent{scripts: scripts}
	s := grpc.NewServer()
	rpc.RegisterAgentServer(s, a)
	go func() { _ = s.Serve(l) }()
	ts.t.Cleanup(s.Stop)
	return a
}

// answerFrames returns the frames of a complete answer with one token.
func answerFrames(req *rpc.GenerateRequest, text string) []*rpc.Frame {
	f := func(seq uint64) *rpc.Frame {
		return &rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Seq: seq}
	}
	start, token, end := f(0), f(1), f(2)
	start.Body = &rpc.Frame_Start{Start: &rpc.Start{Endpoint: req.Endpoint, WeightVersion: "v1", PromptTokens: 5}}
	token.Body = &rpc.Frame_Token{Token: &rpc.Token{Text: text, Tokens: 1}}
	end.Body = &rpc.Frame_End{End: &rpc.End{FinishReason: "stop", LengthBytes: uint64(len(text)), PromptTokens: 5, CompletionTokens: 1}}
	return []*rpc.Frame{start, token, end}
}

// Guards against frames of another attempt or customer that end up in an answer or,
// like keep-alives, prevent the silence timeout.
func TestForeignFramesAreDropped(t *testing.T) {
	ts := newTestStack(t, 1)
	interleaved := func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
		own := answerFrames(req, "own")
		for _, f := range own {
			for _, other := range []*rpc.Frame{
				{AttemptId: "another", Customer: req.Customer}, {AttemptId: req.AttemptId, Customer: otherCustomerID},
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
				if err := s.Send(f); err != nil { // a duplicate frame
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
	a := ts.startScriptedAgent(0, foreignOnly, interleaved)
	r, err := ts.client().CreateChatCompletion(t.Context(), chatRequest("x", 1))
	require.NoError(t, err)
	require.Equal(t, "own", r.Choices[0].Message.Content)
	require.Len(t, a.requests(), 2)
	require.True(t, a.requests()[1].Resume)
	require.NotEqual(t, "0", ts.metrics.Counter("foreign_frames").String())
}

func refuseWith(e *apierr.Error) func(*rpc.GenerateRequest, grpc.ServerStreamingServer[rpc.Frame]) error {
	return func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
		return s.Send(&rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Body: &rpc.Frame_Error{Error: rpc.EncodeError(e)}})
	}
}

// Guards against retries that multiply the load when endpoints refuse requests, and
// against attempts after the deadline or after an error that is not retryable.
func TestRetryBudget(t *testing.T) {
	ts := newTestStack(t, 2)
	overloaded := refuseWith(apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, time.Second, "full", "retry"))
	first, second := ts.startScriptedAgent(0, overloaded), ts.startScriptedAgent(1, overloaded)
	const requests = 40
	for range requests {
		require.Equal(t, "overloaded", errorType(t, ts.streamChat(t.Context(), "x", 1, nil).err))
	}
	sent := len(first.requests()) + len(second.requests())
	require.Greater(t, sent, requests, "some requests are retried")
	require.LessOrEqual(t, sent, requests+10, "at most the budget's minimum is retried")
	require.Contains(t, ts.received.String(), `"ran":"not_run"`)
	ids := map[string]bool{}
	for _, r := range append(first.requests(), second.requests()...) {
		require.Positive(t, r.DeadlineMs)
		ids[r.AttemptId] = true
	}
	require.Len(t, ids, sent, "each attempt has its own ID")

	ts = newTestStack(t, 2)
	forbidden := refuseWith(apierr.New(apierr.Forbidden, apierr.NotRun, "no", "don't"))
	first, second = ts.startScriptedAgent(0, forbidden), ts.startScriptedAgent(1, forbidden)
	require.Equal(t, "forbidden", errorType(t, ts.streamChat(t.Context(), "x", 1, nil).err))
	require.Len(t, append(first.requests(), second.requests()...), 1)

	ts = newTestStack(t, 2, func(o *entry.Options) { o.RetryBudget = noRetries{} })
	drainingAgent := ts.startScriptedAgent(0, refuseWith(apierr.NewRetryable(apierr.Draining, apierr.NotRun, time.Second, "leaving", "retry")))
	for range 20 {
		ts.requireComplete(ts.streamChat(t.Context(), "x", 1, nil), "x", 1)
	}
	require.NotEmpty(t, drainingAgent.requests(), "retries after a drain don't need a budget")
}

// Guards against a retry budget that isn't the configured share of the requests in
// the sliding window, or lacks its minimum.
func TestWindowRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := entry.NewWindowRetryBudget(time.Now, routingSeed)
		allowed := func() (n int) {
			for b.AllowRetry() {
				n++
			}
			return n
		}
		for range 1000 {
			b.RecordRequest()
		}
		require.Equal(t, 100, allowed())
		time.Sleep(5 * time.Second)
		require.Zero(t, allowed())
		time.Sleep(6 * time.Second)
		require.Equal(t, 10, allowed(), "an idle window allows only the minimum")
		for n := range 4 { // at most 4 endpoints are tried
			pause, ok := b.Backoff(n, time.Second)
			require.True(t, ok)
			require.Less(t, pause, 400*time.Millisecond)
			_, ok = b.Backoff(n, time.Millisecond)
			require.False(t, ok, "a backoff must not exceed the remaining time")
		}
	})
}
