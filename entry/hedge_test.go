package entry

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/routing/leastload"
	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/node/nodetest"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// fakeAgent runs a function for each Generate call.
type fakeAgent struct {
	rpc.UnimplementedAgentServer
	generate func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error
}

func (a fakeAgent) Generate(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
	return a.generate(req, s)
}

// sendAnswer sends an answer of one token. It sends the end frame only after beforeEnd
// is closed.
func sendAnswer(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame], text string, beforeEnd <-chan struct{}) error {
	f := func(seq uint64) *rpc.Frame {
		return &rpc.Frame{AttemptId: req.AttemptId, Customer: req.Customer, Seq: seq}
	}
	start, token, end := f(0), f(1), f(2)
	start.Body = &rpc.Frame_Start{Start: &rpc.Start{Endpoint: req.Endpoint}}
	token.Body = &rpc.Frame_Token{Token: &rpc.Token{Text: text, Tokens: 1}}
	end.Body = &rpc.Frame_End{End: &rpc.End{FinishReason: "stop", LengthBytes: uint64(len(text))}}
	if err := s.Send(start); err != nil {
		return err
	}
	if err := s.Send(token); err != nil {
		return err
	}
	select {
	case <-beforeEnd:
	case <-s.Context().Done():
	}
	return s.Send(end)
}

// startSignalSink is a sink that closes started when the answer starts.
type startSignalSink struct {
	bufferedAnswer
	started chan struct{}
}

func (s *startSignalSink) writeStart(f *rpc.Start) error {
	close(s.started)
	return s.bufferedAnswer.writeStart(f)
}

// Guards against an answer that mixes the text of two attempts, against a short answer
// that is not hedged exactly once, and against hedging a long one.
func TestHedge(t *testing.T) {
	for _, c := range []struct {
		name      string
		maxTokens int
		hedged    bool
	}{{"short", 8, true}, {"long", 800, false}} {
		t.Run(c.name, func(t *testing.T) {
			doc := &config.Document{Endpoints: map[string]config.Endpoint{}, Models: map[string]config.Model{"m": {}}}
			members := nodetest.Members{}
			var calls atomic.Int64
			secondStarted, firstSent := make(chan struct{}), make(chan struct{})
			serve := func(req *rpc.GenerateRequest, s grpc.ServerStreamingServer[rpc.Frame]) error {
				if calls.Add(1) == 1 {
					if c.hedged { // the first attempt answers only after the second one has started
						<-secondStarted
					}
					defer close(firstSent)
					done := make(chan struct{})
					close(done)
					return sendAnswer(req, s, "late", done)
				}
				return sendAnswer(req, s, "right", firstSent)
			}
			for _, id := range []string{"a", "b"} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				srv := grpc.NewServer()
				rpc.RegisterAgentServer(srv, fakeAgent{generate: serve})
				go func() { _ = srv.Serve(l) }()
				defer srv.Stop()
				doc.Endpoints[id] = config.Endpoint{Agent: id, Model: "m", Slots: 1}
				members[id] = node.Member{ID: id, State: node.Live, Address: l.Addr().String()}
			}
			pool := dial.New(insecure.NewCredentials())
			defer pool.Close()
			e := New(Options{Config: nodetest.NewConfig(doc), Members: members, Pool: pool, RoutingPolicy: leastload.Policy{}, SilenceLimit: 10 * time.Second, Metrics: metrics.New()})
			p := &promptRequest{
				id: "r", customer: "c", model: "m", priority: interactivePriority, maxTokens: c.maxTokens,
				deadline: time.Now().Add(time.Minute), config: &node.ConfigState{Doc: doc},
			}
			sample := &promptRequest{priority: interactivePriority, maxTokens: 1}
			for range 100 {
				e.hedgePolicy.observeFirstToken(sample, time.Millisecond)
				_, _ = e.hedgePolicy.delay(sample)
			}
			out := &startSignalSink{started: secondStarted}
			_, err := e.relay(t.Context(), p, out)
			require.NoError(t, err)
			want := "late"
			if c.hedged {
				want = "right"
			}
			require.Equal(t, want, out.buf.String())
			require.EqualValues(t, map[bool]int64{true: 2, false: 1}[c.hedged], calls.Load())
			require.NoError(t, e.Drain(t.Context()))
		})
	}
}
