package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

func report(member string, seq int64, active int) *loadReport {
	return &loadReport{Protocol: gossipProtocol, Member: member, Seq: seq, Loads: []reportLoad{{Endpoint: endpointHash("e0"), Active: active, Prefill: 100 * active}}}
}

// Guards against peers' loads that are counted twice, in the wrong order, or after
// the peer has gone.
func TestPeerLoadsAreSummedAndExpire(t *testing.T) {
	f := newFixture(t)
	load := func() int { return f.state.peers.load("e0").Active }
	f.takeReport(report("a", 1, 2))
	f.takeReport(report("b", 1, 3))
	require.Equal(t, 5, load())
	f.takeReport(report("a", 3, 1))
	f.takeReport(report("a", 2, 9)) // overtaken on the way
	require.Equal(t, 4, load())
	f.clock.advance(peerExpiry / 2)
	f.takeReport(report("b", 2, 3))
	f.clock.advance(peerExpiry / 2)
	f.state.peers.expire(f.clock.read())
	require.Equal(t, 3, load(), "a is silent")
	require.Equal(t, 1, f.state.peers.count())
	f.clock.advance(peerExpiry)
	f.state.peers.expire(f.clock.read())
	require.Equal(t, forward.EndpointLoad{}, f.state.peers.load("e0"))
	require.Empty(t, f.state.peers.sums)
}

// Guards against large groups whose reports expire before the next ones come.
func TestReportsOfALargeGroupDontExpireBetweenTwo(t *testing.T) {
	f := newFixture(t)
	f.state.peers.members = make([]string, 330)
	f.takeReport(report("a", 1, 2))
	f.clock.advance(2 * f.state.peers.pause())
	require.Greater(t, 2*f.state.peers.pause(), peerExpiry)
	f.state.peers.expire(f.clock.read())
	require.Equal(t, 2, f.state.peers.load("e0").Active)
}

// Guards against reports that the peers can't read.
func TestReportIsReadAsWritten(t *testing.T) {
	r := report("10.0.0.1:7", 5, 2)
	r.Uses = []reportUse{{1, 1 << 63, 900}}
	r.Loaded = []reportVersion{{2, "m", 3, 1}}
	data, err := encodeReport(r)
	require.NoError(t, err)
	var got loadReport
	require.NoError(t, msgpack.Unmarshal(data, &got))
	require.Equal(t, *r, got)
	require.Less(t, len(data), 150)
}

func benchmarkPlace(b *testing.B, endpoints int) {
	clock := &testClock{}
	g := New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), Dialect: testDialect{}})
	var changes []forward.EndpointChange
	for i := range endpoints {
		id := "i-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		changes = append(changes, forward.EndpointChange{ID: id, Endpoint: &forward.Endpoint{ID: id, Service: "s", FailureDomain: "a", Models: []forward.ModelState{{Name: "m", Version: 1}}}})
	}
	g.applyEndpoints(changes, clock.read(), true)
	p := &forward.Prompt{Model: "m", Tokens: 9000, MaxOutput: 64, Parts: []forward.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 8000}, {ID: "own", Tokens: 500}}}
	task := forward.PlacementRequest{Prompt: p, Engine: &forward.Engine{CapacityTokens: 80_000}, FailureDomain: "a", SharingGroup: "shared"}
	b.ReportAllocs()
	for b.Loop() {
		forward.Choose(task, g.state.candidates("s", p, nil, clock.read()))
	}
}

func BenchmarkPlace12(b *testing.B)  { benchmarkPlace(b, 12) }
func BenchmarkPlace100(b *testing.B) { benchmarkPlace(b, 100) }
func BenchmarkPlace830(b *testing.B) { benchmarkPlace(b, 830) }
