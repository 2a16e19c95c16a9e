package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Size of a large group for the benchmarks of an entry's background work.
const (
	benchPeers     = 103
	benchEndpoints = 191
)

func benchEndpointID(i int) string { return fmt.Sprintf("10.20.%d.%d:7000", i/64, i%64) }

func benchEndpointChanges(heartbeat int64) []forward.EndpointChange {
	var changes []forward.EndpointChange
	for i := range benchEndpoints {
		id := benchEndpointID(i)
		changes = append(changes, forward.EndpointChange{ID: id, Endpoint: &forward.Endpoint{ID: id, Service: "s", FailureDomain: "a", Heartbeat: heartbeat, Models: []forward.ModelState{{Name: "m", Version: 1}}}})
	}
	return changes
}

func benchGateway() (*Gateway, *testClock) {
	clock := &testClock{}
	g := New(Options{Settings: testSettings(), Clock: clock.start(time.Hour), HeaderCodec: testHeaderCodec{}})
	g.applyEndpoints(benchEndpointChanges(1), clock.read(), true)
	return g, clock
}

// benchReport returns the report of a peer with 12 loaded endpoints that has sent 12 parts of
// prompts since its last one.
func benchReport(peer int, seq int64) *loadReport {
	r := &loadReport{Protocol: reportProtocol, Member: fmt.Sprintf("10.10.0.%d:7", peer), Seq: seq}
	for i := range 12 {
		h := endpointHash(benchEndpointID((peer*7 + i*13) % benchEndpoints))
		r.Loads = append(r.Loads, reportLoad{h, 1 + i%3, i % 2, 3000 * (i % 2), 12_000, 0})
		r.Uses = append(r.Uses, reportUse{h, uint64(peer%8)<<60 + uint64(i), 900})
	}
	return r
}

func BenchmarkEncodeReport(b *testing.B) {
	r := benchReport(1, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := encodeReport(r); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeReport(b *testing.B) {
	data, err := encodeReport(benchReport(1, 1))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var r loadReport
		if err := msgpack.Unmarshal(data, &r); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplyReport(b *testing.B) {
	g, _ := benchGateway()
	var reports []*loadReport
	for p := range benchPeers {
		reports = append(reports, benchReport(p, 1))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := reports[i%benchPeers]
		r.Seq++
		g.applyReport(r)
	}
}

func BenchmarkBuildReport(b *testing.B) {
	g, _ := benchGateway()
	for p := range benchPeers {
		g.applyReport(benchReport(p, 1))
	}
	seq := int64(0)
	b.ReportAllocs()
	for b.Loop() {
		seq++
		g.buildReport(seq)
	}
}

// Applies a read of the endpoint list in which half of the endpoints renewed their entries.
func BenchmarkApplyHeartbeats(b *testing.B) {
	g, clock := benchGateway()
	changes := benchEndpointChanges(2)[:benchEndpoints/2]
	b.ReportAllocs()
	for b.Loop() {
		g.applyEndpoints(changes, clock.read(), false)
	}
}

func BenchmarkPlace191(b *testing.B) { benchmarkPlace(b, benchEndpoints) }

// BenchmarkManagedEndpoints191 measures what an entry of a large group does 20 times a second to find
// the endpoints that it owns.
func BenchmarkManagedEndpoints191(b *testing.B) {
	g, clock := benchGateway()
	members := []string{g.memberID}
	for p := range benchPeers - 1 {
		members = append(members, fmt.Sprintf("10.10.0.%d:7", p))
	}
	now := clock.read()
	g.ownership.DecideRole(nil, now)
	generation := forward.Generation{Era: 1, Number: 1}
	g.ownership.RecordJoin(generation, now)
	g.ownership.RecordMembers(generation, members)
	g.ownership.RecordJoin(generation, now)
	b.ReportAllocs()
	for b.Loop() {
		g.managedEndpoints(now)
	}
}
