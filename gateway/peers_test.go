package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

func testReport(member string, seq int64, active int) *loadReport {
	return &loadReport{Protocol: reportProtocol, Member: member, Seq: seq, Loads: []reportLoad{{Endpoint: endpointHash("e0"), Active: active, Prefill: 100 * active}}}
}

// Guards against peer loads that are counted twice, applied out of order, or kept after the
// peer has stopped reporting.
func TestPeerLoadsAreSummedAndExpire(t *testing.T) {
	f := newFixture(t)
	load := func() int { return f.state.peerLoads.load("e0").Active }
	f.applyReport(testReport("a", 1, 2))
	f.applyReport(testReport("b", 1, 3))
	require.Equal(t, 5, load())
	f.applyReport(testReport("a", 3, 1))
	f.applyReport(testReport("a", 2, 9)) // arrives out of order
	require.Equal(t, 4, load())
	f.clock.advance(reportTTL / 2)
	f.applyReport(testReport("b", 2, 3))
	f.clock.advance(reportTTL / 2)
	f.state.peerLoads.expire(f.clock.read())
	require.Equal(t, 3, load(), "the report of a has expired")
	require.Len(t, f.state.peerLoads.reports, 1)
	f.clock.advance(reportTTL)
	f.state.peerLoads.expire(f.clock.read())
	require.Equal(t, forward.EndpointLoad{}, f.state.peerLoads.load("e0"))
	require.Empty(t, f.state.peerLoads.totals)
}

// Guards against reports in large groups that expire before the next ones arrive.
func TestReportsOfALargeGroupDoNotExpireBetweenUpdates(t *testing.T) {
	f := newFixture(t)
	f.state.peerLoads.members = make([]string, 330)
	f.applyReport(testReport("a", 1, 2))
	f.clock.advance(2 * f.state.peerLoads.interval())
	require.Greater(t, 2*f.state.peerLoads.interval(), reportTTL)
	f.state.peerLoads.expire(f.clock.read())
	require.Equal(t, 2, f.state.peerLoads.load("e0").Active)
}

// Guards against reports that peers cannot decode, and against large datagrams.
func TestReportRoundTrip(t *testing.T) {
	r := testReport("10.0.0.1:7", 5, 2)
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
	g := New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), HeaderCodec: testHeaderCodec{}})
	var changes []forward.EndpointChange
	for i := range endpoints {
		id := "i-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		changes = append(changes, forward.EndpointChange{ID: id, Endpoint: &forward.Endpoint{ID: id, Service: "s", FailureDomain: "a", Models: []forward.ModelState{{Name: "m", Version: 1}}}})
	}
	g.applyEndpoints(changes, clock.read(), true)
	p := &forward.Prompt{Model: "m", Tokens: 9000, MaxOutput: 64, Parts: []forward.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 8000}, {ID: "own", Tokens: 500}}}
	task := forward.PlacementRequest{Prompt: p, Engine: &forward.Engine{CapacityTokens: 80_000}, FailureDomain: "a", CacheGroup: "shared"}
	b.ReportAllocs()
	for b.Loop() {
		forward.Choose(task, g.state.candidates("s", p, 0, nil, clock.read()))
	}
}

func BenchmarkPlace12(b *testing.B)  { benchmarkPlace(b, 12) }
func BenchmarkPlace100(b *testing.B) { benchmarkPlace(b, 100) }
func BenchmarkPlace830(b *testing.B) { benchmarkPlace(b, 830) }

// Guards against endpoints that the peers of a large group count as not being updated, because the report
// that says so is valid for less than the time until the next one. Too many endpoints are then updated at
// once, and prompts are refused.
func TestUpdatesOfEndpointsStayKnownInALargeGroup(t *testing.T) {
	f := newFixture(t)
	f.state.peerLoads.members = make([]string, 330)
	require.Greater(t, f.reportInterval(), updateTTL)
	e := forward.Endpoint{ID: "e0", Service: "s", Models: []forward.ModelState{{Name: "m", Version: 1}}}
	f.applyOperators([]forward.OperatorChange{{Weights: &forward.WeightVersion{Model: "m", Version: 2}}}, f.clock.read(), false)
	fleets := map[string]forward.FleetCounts{"s": {Total: 1, Behind: 1}}
	f.state.rollout.NextSteps([]forward.ManagedEndpoint{{Endpoint: e, HandoverDone: true}}, fleets, f.clock.read())
	all, long := f.state.rollout.Blocked("e0", f.clock.read())
	require.True(t, all || long, "the endpoint is being updated")
	require.LessOrEqual(t, 2*f.reportInterval(), updateTTL, "one report may be lost")
	f.state.peerLoads.recordLoaded("e0", "m", 2, 1, f.clock.read())
	f.state.rollout.RecordReport("e0", forward.EndpointReport{Models: []forward.ModelState{{Name: "m", Version: 2}}}, f.clock.read())
	require.False(t, f.state.rollout.UpdatesAny(f.clock.read()))
	require.LessOrEqual(t, 2*f.reportInterval(), reportTTL, "the peers learn that it is loaded")
}
