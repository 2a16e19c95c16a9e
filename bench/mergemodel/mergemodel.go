// Package mergemodel models the directory design that docs/decisions/0004-directory.md
// rejects: an operation-based CRDT as described by Kleppmann and Beresford, "A
// Conflict-Free Replicated JSON Datatype" (arXiv 1608.03960). Each operation
// carries its ID, the IDs it depends on, a cursor and a mutation. Every replica
// applies it to a tree of map nodes, whose leaves are multi-value registers with
// presence sets, and records the operation's ID.
package mergemodel

import (
	"encoding/binary"
	"fmt"

	"github.com/galenaweir/galenaweir/core/prefix"
)

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
	for _, d := range o.Deps { // overwrite the values that the writer had seen
		delete(n.values, d)
	}
	n.values[o.ID] = o.Value
	r.applied[o.ID] = struct{}{}
}

// update returns the operations of one context update, one assignment per changed
// field.
func update(context, round int) []operation {
	var out []operation
	for i, f := range []struct {
		name  string
		value any
	}{{"endpoint", fmt.Sprint("endpoint-", context%830)}, {"engine_tokens", uint32(2048)}, {"chain_tip", contextKey(context)}, {"updated_ms", int64(1_800_000_000_000)}} {
		o := operation{ID: opID{uint64(round*1_000_000 + context*4 + i + 1), uint16(context % 330)}, Cursor: []string{contextKey(context), f.name}, Value: f.value}
		if round > 0 {
			o.Deps = []opID{{uint64((round-1)*1_000_000 + context*4 + i + 1), uint16(context % 330)}}
		}
		out = append(out, o)
	}
	return out
}

func contextKey(n int) string {
	var h prefix.Hash
	binary.BigEndian.PutUint64(h[:], uint64(n))
	return string(h[:])
}
