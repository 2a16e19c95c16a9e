package entry

import (
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/membership"
	"github.com/galenaweir/galenaweir/core/rollout"
	"github.com/galenaweir/galenaweir/core/stream"
	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/node/nodetest"
	"github.com/galenaweir/galenaweir/rpc"
)

// slowSink blocks for ten silence limits on each text.
type slowSink struct{}

func (slowSink) writeStart(*rpc.Start) error { return nil }
func (slowSink) writeText(string) error {
	time.Sleep(10 * time.Second)
	return nil
}

// recordedStream is a stream that returns the given frames, then io.EOF.
type recordedStream struct {
	grpc.ServerStreamingClient[rpc.Frame]
	frames []*rpc.Frame
}

// Recv implements grpc.ServerStreamingClient.
func (r *recordedStream) Recv() (*rpc.Frame, error) {
	if len(r.frames) == 0 {
		return nil, io.EOF
	}
	f := r.frames[0]
	r.frames = r.frames[1:]
	return f, nil
}

// Guards against a slow caller being mistaken for a silent agent.
func TestSlowCallerIsNotSilentAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{SilenceLimit: time.Second, Config: nodetest.NewConfig(nil), Members: nodetest.Members{}, Metrics: metrics.New()})
		a := &attempt{entry: e, relay: &relay{entry: e, prompt: &promptRequest{customer: "c"}, out: slowSink{}}, req: &rpc.GenerateRequest{AttemptId: "a"}, checker: stream.NewChecker("a", "c")}
		var timedOut atomic.Bool
		watchdog := time.AfterFunc(time.Second, func() { timedOut.Store(true) })
		token := func(seq uint64) *rpc.Frame {
			return &rpc.Frame{AttemptId: "a", Customer: "c", Seq: seq, Body: &rpc.Frame_Token{Token: &rpc.Token{Text: "x"}}}
		}
		require.ErrorContains(t, a.receiveFrames(&recordedStream{frames: []*rpc.Frame{token(0), token(1)}}, watchdog), "without its end frame")
		require.False(t, timedOut.Load())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, timedOut.Load(), "the watchdog runs again after the last frame")
	})
}

// Guards against routing to endpoints that are draining, failing or loaded with other
// weights, and against endpoints that stay excluded forever.
func TestCandidates(t *testing.T) {
	doc := &config.Document{Endpoints: map[string]config.Endpoint{}}
	members := nodetest.Members{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		doc.Endpoints[id] = config.Endpoint{Agent: id, Model: "m"}
		members[id] = node.Member{ID: id, State: node.Live}
	}
	members["d"], members["e"] = node.Member{ID: "d", State: node.Gone}, node.Member{ID: "e", State: node.Leaving}
	synctest.Test(t, func(t *testing.T) {
		v, ix := newClusterView(1), newEndpointIndex(&node.ConfigState{Doc: doc}, "")
		ids := func(q candidateQuery) string {
			q.model = "m"
			s := ""
			for _, c := range v.candidates(ix, members, q) {
				s += c.Endpoint
			}
			return s
		}
		require.Equal(t, "abc", ids(candidateQuery{}))
		require.Equal(t, "bc", ids(candidateQuery{excluded: map[string]bool{"a": true}}))
		v.recordLoad(&rpc.LoadReport{Endpoint: "a", Leaving: true})
		require.Equal(t, "bc", ids(candidateQuery{}))
		require.Equal(t, "a", ids(candidateQuery{excluded: map[string]bool{"b": true, "c": true}}), "a leaving agent is used if there are no others, since it may have restarted")
		time.Sleep(leavingReportTTL)
		require.Equal(t, "abc", ids(candidateQuery{}))
		v.recordLoad(&rpc.LoadReport{Endpoint: "a", WeightVersion: "v2"})
		require.Equal(t, "bc", ids(candidateQuery{weightVersion: "v1"}), "a has other weights; unknown weights are allowed")
		v.avoidFor("b", time.Second)
		require.Equal(t, "ac", ids(candidateQuery{}))
		require.Equal(t, "b", ids(candidateQuery{excluded: map[string]bool{"a": true, "c": true}}), "an avoided endpoint is used if there are no others")
		time.Sleep(time.Second)
		for range 3 {
			v.recordResult("c", false)
		}
		require.Equal(t, "ab", ids(candidateQuery{}), "the breaker of c is open")
		time.Sleep(time.Second)
		require.Equal(t, "abc", ids(candidateQuery{}), "a probe of c is due")
		members["b"] = node.Member{ID: "b", State: node.Live, Endpoints: []membership.Endpoint{{ID: "b", RolloutStage: uint32(rollout.Loading)}}}
		require.Equal(t, "ac", ids(candidateQuery{}), "b is loading weights")
	})
}
