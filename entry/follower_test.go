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

// slowSink takes ten silence limits for each text.
type slowSink struct{}

func (slowSink) start(*rpc.Start) error { return nil }
func (slowSink) text(string) error {
	time.Sleep(10 * time.Second)
	return nil
}

// recorded is a stream of frames that have arrived.
type recorded struct {
	grpc.ServerStreamingClient[rpc.Frame]
	frames []*rpc.Frame
}

// Recv implements grpc.ServerStreamingClient.
func (r *recorded) Recv() (*rpc.Frame, error) {
	if len(r.frames) == 0 {
		return nil, io.EOF
	}
	f := r.frames[0]
	r.frames = r.frames[1:]
	return f, nil
}

// Guards against a caller that reads slowly being taken for a silent agent.
func TestSlowCallerIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{SilenceLimit: time.Second, Config: nodetest.NewConfig(nil), Members: nodetest.Members{}, Metrics: metrics.New()})
		f := &follower{e: e, r: &relay{e: e, p: &prompt{customer: "c"}, out: slowSink{}}, req: &rpc.GenerateRequest{AttemptId: "a"}, check: stream.NewChecker("a", "c")}
		var fired atomic.Bool
		watchdog := time.AfterFunc(time.Second, func() { fired.Store(true) })
		token := func(seq uint64) *rpc.Frame {
			return &rpc.Frame{AttemptId: "a", Customer: "c", Seq: seq, Body: &rpc.Frame_Token{Token: &rpc.Token{Text: "x"}}}
		}
		require.ErrorContains(t, f.receive(&recorded{frames: []*rpc.Frame{token(0), token(1)}}, watchdog), "without its end frame")
		require.False(t, fired.Load())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, fired.Load(), "the watchdog runs again after the frames")
	})
}

// Guards against endpoints that are chosen although they leave, failed or have
// other weights, and against one that is left out for ever.
func TestCandidates(t *testing.T) {
	doc := &config.Document{Endpoints: map[string]config.Endpoint{}}
	members := nodetest.Members{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		doc.Endpoints[id] = config.Endpoint{Agent: id, Model: "m"}
		members[id] = node.Member{ID: id, State: node.Live}
	}
	members["d"], members["e"] = node.Member{ID: "d", State: node.Gone}, node.Member{ID: "e", State: node.Leaving}
	synctest.Test(t, func(t *testing.T) {
		v, ix := newView(1), newIndex(&node.ConfigState{Doc: doc}, "")
		ids := func(q candidateQuery) string {
			q.model = "m"
			s := ""
			for _, c := range v.candidates(ix, members, q) {
				s += c.Endpoint
			}
			return s
		}
		require.Equal(t, "abc", ids(candidateQuery{}))
		require.Equal(t, "bc", ids(candidateQuery{skip: map[string]bool{"a": true}}))
		v.report(&rpc.LoadReport{Endpoint: "a", Leaving: true})
		require.Equal(t, "bc", ids(candidateQuery{}))
		require.Equal(t, "a", ids(candidateQuery{skip: map[string]bool{"b": true, "c": true}}), "the agent may have come back")
		time.Sleep(leavingHold)
		require.Equal(t, "abc", ids(candidateQuery{}))
		v.report(&rpc.LoadReport{Endpoint: "a", WeightVersion: "v2"})
		require.Equal(t, "bc", ids(candidateQuery{version: "v1"}), "other weights; unknown ones may do")
		v.avoidFor("b", time.Second)
		require.Equal(t, "ac", ids(candidateQuery{}))
		require.Equal(t, "b", ids(candidateQuery{skip: map[string]bool{"a": true, "c": true}}), "rather than none")
		time.Sleep(time.Second)
		for range 3 {
			v.done("c", false)
		}
		require.Equal(t, "ab", ids(candidateQuery{}), "the breaker is open")
		time.Sleep(time.Second)
		require.Equal(t, "abc", ids(candidateQuery{}), "a probe is due")
		members["b"] = node.Member{ID: "b", State: node.Live, Endpoints: []membership.Endpoint{{ID: "b", RolloutStage: uint32(rollout.Loading)}}}
		require.Equal(t, "ac", ids(candidateQuery{}), "b loads weights")
	})
}
