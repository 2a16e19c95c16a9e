package directory

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// The types below are a model of the variant that docs/decisions/0004-directory.md
// rejects: an operation-based merge as in Kleppmann and Beresford, "A
// Conflict-Free Replicated JSON Datatype" (arXiv 1608.03960). Each operation
// carries its ID, the IDs it depends on, a cursor and a mutation; every replica
// applies it to a tree of map nodes, whose leaves are multi-value registers with
// presence sets, and remembers its ID.
type opID struct {
	Counter uint64
	Replica uint16
}

type operation struct {
	ID     opID
	Deps   []opID
	Cursor []string
	Value  any
}

type node struct {
	presence map[opID]struct{}
	children map[string]*node
	values   map[opID]any
}

type replica struct {
	root    node
	applied map[opID]struct{}
}

func (r *replica) apply(o operation) {
	if _, ok := r.applied[o.ID]; ok {
		return
	}
	n := &r.root
	for _, k := range o.Cursor {
		if n.children == nil {
			n.children = map[string]*node{}
		}
		c := n.children[k]
		if c == nil {
			c = &node{presence: map[opID]struct{}{}}
			n.children[k] = c
		}
		c.presence[o.ID] = struct{}{}
		n = c
	}
	if n.values == nil {
		n.values = map[opID]any{}
	}
	for _, d := range o.Deps { // values that the writer had seen are overwritten
		delete(n.values, d)
	}
	n.values[o.ID] = o.Value
	r.applied[o.ID] = struct{}{}
}

// update returns the operations of one update of a context: one assignment for
// each field that changes.
func update(context, round int) []operation {
	var out []operation
	for i, f := range []struct {
		name  string
		value any
	}{{"endpoint", fmt.Sprint("endpoint-", context%830)}, {"engine_tokens", uint32(2048)}, {"chain_tip", key(context)}, {"updated_ms", int64(1_800_000_000_000)}} {
		o := operation{ID: opID{uint64(round*1_000_000 + context*4 + i + 1), uint16(context % 330)}, Cursor: []string{string(mustKey(context)), f.name}, Value: f.value}
		if round > 0 {
			o.Deps = []opID{{uint64((round-1)*1_000_000 + context*4 + i + 1), uint16(context % 330)}}
		}
		out = append(out, o)
	}
	return out
}

func mustKey(n int) []byte { k := key(n); return k[:] }

// A later assignment must replace the one that it depends on, and a repeated
// operation must change nothing; else the model would measure another datatype.
func TestMergeModel(t *testing.T) {
	r := &replica{applied: map[opID]struct{}{}}
	for _, round := range []int{0, 1, 1} {
		for _, o := range update(1, round) {
			r.apply(o)
		}
	}
	leaf := r.root.children[string(mustKey(1))].children["endpoint"]
	require.Len(t, leaf.values, 1)
	require.Len(t, r.applied, 8)
}

const (
	modelUpdatesPerSecond = 5100
	modelDaemons          = 330
	modelRounds           = 2 // updates of each context
)

// BenchmarkMergeVariant gives the bytes of one update, the traffic that it means
// for each daemon, and the memory of a context in each replica.
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

// BenchmarkPartitionedUpdate gives the same figures for the partitioned directory,
// where an update goes to one owner.
func BenchmarkPartitionedUpdate(b *testing.B) {
	var wire float64
	for b.Loop() {
		enc, err := msgpack.Marshal(struct {
			Key, Tip          []byte
			Endpoint, Version string
			Tokens            uint32
			Updated           int64
		}{mustKey(1), mustKey(2), "endpoint-829", "v1", 2048, 1_800_000_000_000})
		require.NoError(b, err)
		wire = float64(len(enc))
	}
	b.ReportMetric(wire, "B/update")
	b.ReportMetric(wire*modelUpdatesPerSecond/modelDaemons/1024, "KiB/s/daemon")
}
