package mergemodel

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a model that doesn't behave like the published data type: a later
// assignment must replace the one it depends on, and applying an operation twice
// must have no further effect.
func TestMergeModel(t *testing.T) {
	r := &replica{applied: map[opID]struct{}{}}
	for _, round := range []int{0, 1, 1} {
		for _, o := range update(1, round) {
			r.apply(o)
		}
	}
	leaf := r.root.children[contextKey(1)].children["endpoint"]
	require.Len(t, leaf.values, 1)
	require.Len(t, r.applied, 8)
}

const (
	modelUpdatesPerSecond = 5100
	modelDaemons          = 330
	modelRounds           = 2 // updates per context
)

// BenchmarkMergeVariant reports the encoded size of one update, the resulting traffic
// per daemon, and the memory per context in each replica.
func BenchmarkMergeVariant(b *testing.B) {
	const contexts = 10_000
	var wire, memory float64
	for b.Loop() {
		before := heap()
		r := &replica{applied: map[opID]struct{}{}}
		bytes := 0
		for round := range modelRounds {
			for c := range contexts {
				ops := update(c, round)
				enc, err := msgpack.Marshal(ops)
				require.NoError(b, err)
				bytes += len(enc)
				for _, o := range ops {
					r.apply(o)
				}
			}
		}
		wire = float64(bytes) / contexts / modelRounds
		memory = float64(heap()-before) / contexts
		runtime.KeepAlive(r)
	}
	b.ReportMetric(wire, "B/update")
	b.ReportMetric(wire*modelUpdatesPerSecond/1024, "KiB/s/daemon")
	b.ReportMetric(memory, "B/context/replica")
}

// BenchmarkPartitionedUpdate reports size and traffic for the partitioned directory,
// in which an update is sent to a single owner.
func BenchmarkPartitionedUpdate(b *testing.B) {
	var wire float64
	for b.Loop() {
		enc, err := msgpack.Marshal(struct {
			Key, Tip          []byte
			Endpoint, Version string
			Tokens            uint32
			Updated           int64
		}{[]byte(contextKey(1)), []byte(contextKey(2)), "endpoint-829", "v1", 2048, 1_800_000_000_000})
		require.NoError(b, err)
		wire = float64(len(enc))
	}
	b.ReportMetric(wire, "B/update")
	b.ReportMetric(wire*modelUpdatesPerSecond/modelDaemons/1024, "KiB/s/daemon")
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
