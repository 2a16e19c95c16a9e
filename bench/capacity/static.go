package capacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/directory"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/core/routing/prefixcost"
)

const seed = 7

// Measurement methods.
const (
	methodVirtual  = "state machines in virtual time"
	methodLoopback = "real processes' code over gRPC on loopback"
	methodProcess  = "separate processes on loopback"
	methodHeap     = "state machine, this process's heap"
	methodCPU      = "state machine, this process's CPU time"
)

// directorySlopes measures memory and CPU time of a shard of the context directory.
func directorySlopes() ([]Slope, error) {
	memory := Slope{ID: "directory_bytes", Description: "directory memory for each context", Unit: "bytes", XUnit: "contexts", Method: methodHeap,
		Target: targetContexts, Limit: limitDirectoryBytes}
	update := Slope{ID: "directory_update_cpu", Description: "CPU time of an update and a lookup", Unit: "µs", XUnit: "contexts", Method: methodCPU, Target: contextsPerAgent}
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		now := time.UnixMilli(0).Add(keyWindowSec * time.Second)
		var s *directory.Shard
		bytes := retainedHeap(func() any { s = fillDirectory(n, now); return s })
		memory.Points = append(memory.Points, Point{float64(n), bytes / float64(n)})
		i, l := 0, location(0, now)
		d, err := cpuPerCall(func() {
			k := contextKey(i % n)
			s.Put(k, l, now)
			s.Get(k, now)
			i++
		})
		if err != nil {
			return nil, err
		}
		update.Points = append(update.Points, Point{float64(n), d.Seconds() * microsPerSec})
	}
	return []Slope{memory.fit(), update.fit()}, nil
}

func contextKey(i int) (h prefix.Hash) {
	const multiplier = 0x9e3779b97f4a7c15 // distributes consecutive numbers over the key space
	binary.BigEndian.PutUint64(h[:], uint64(i)*multiplier)
	binary.BigEndian.PutUint64(h[8:], uint64(i))
	return h
}

func location(i int, now time.Time) directory.Location {
	const stores = 12
	return directory.Location{Endpoint: fmt.Sprintf("server-%03d", i%targetEndpoints), EngineTokens: 8192, Store: fmt.Sprintf("store-%02d", i%stores),
		StoreTokens: 8192, WeightVersion: "v1", UpdatedAt: now, ChainTip: contextKey(i)}
}

func fillDirectory(n int, now time.Time) *directory.Shard {
	o := directory.DefaultOptions()
	o.Capacity = n
	s := directory.NewShard(o, now)
	for i := range n {
		s.Put(contextKey(i), location(i, now), now)
	}
	return s
}

// routingSlopes measures one routing decision of the default policy.
func routingSlopes() ([]Slope, error) {
	s := Slope{ID: "routing_cpu", Description: "routing decision", Unit: "µs", XUnit: "candidate endpoints", Method: methodCPU, Target: targetEndpoints, Limit: limitRoutingMicros}
	rng := rand.New(rand.NewPCG(seed, seed))
	p := prefixcost.New(prefixcost.Options{})
	r := &routing.Request{PromptTokens: 8192, MaxTokens: 200, PrefillRate: 10_000, KVBytesPerToken: 65_536}
	for _, n := range []int{12, 100, targetEndpoints} {
		cs := candidates(n, rng)
		d, err := cpuPerCall(func() { p.Choose(r, cs, rng) })
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{float64(n), d.Seconds() * microsPerSec})
	}
	return []Slope{s.fit()}, nil
}

func candidates(n int, rng *rand.Rand) []routing.Candidate {
	const maxQueued = 20_000
	cs := make([]routing.Candidate, n)
	for i := range cs {
		q := rng.IntN(maxQueued)
		cs[i] = routing.Candidate{Endpoint: fmt.Sprintf("server-%03d", i), Slots: slotsPerServer, Running: rng.IntN(slotsPerServer),
			QueuedTokens: q, AheadTokens: q, SlotTime: 5 * time.Second, ReportAge: time.Second, FetchRate: 5e9, StorePrefixTokens: 8192}
	}
	return cs
}

// documentSlopes measures the configuration document with different numbers of customers.
func documentSlopes() ([]Slope, error) {
	full := Slope{ID: "config_document_bytes", Description: "full configuration document", Unit: "bytes", XUnit: "customers", Method: methodHeap, Target: targetCustomers}
	patch := Slope{ID: "config_patch_bytes", Description: "patch of one customer's limit", Unit: "bytes", XUnit: "customers", Method: methodHeap, Target: targetCustomers}
	memory := Slope{ID: "config_memory", Description: "memory of the version in force", Unit: "MiB", XUnit: "customers", Method: methodHeap, Target: targetCustomers, Limit: limitControlMiB}
	apply := Slope{ID: "config_apply_cpu", Description: "CPU time to apply a patch", Unit: "ms", XUnit: "customers", Method: methodCPU, Target: targetCustomers}
	valid := Slope{ID: "config_validate_cpu", Description: "CPU time to validate the document", Unit: "ms", XUnit: "customers", Method: methodCPU, Target: targetCustomers}
	for _, n := range []int{100, 1000, targetCustomers} {
		d := document(n)
		text, err := canonicalText(d)
		if err != nil {
			return nil, err
		}
		change, err := changeRecord(d, text)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		full.Points = append(full.Points, Point{x, float64(len(text))})
		patch.Points = append(patch.Points, Point{x, float64(len(change.Patch))})
		memory.Points = append(memory.Points, Point{x, retainedHeap(func() any { return newStream(text) }) / mebibyte})
		applied, err := patchCPU(text, change)
		if err != nil {
			return nil, err
		}
		validated, err := cpuPerCall(func() { _ = d.Validate() })
		if err != nil {
			return nil, err
		}
		apply.Points = append(apply.Points, Point{x, applied.Seconds() * millisPerSec})
		valid.Points = append(valid.Points, Point{x, validated.Seconds() * millisPerSec})
	}
	return []Slope{full.fit(), patch.fit(), memory.fit(), apply.fit(), valid.fit()}, nil
}

const millisPerSec = 1000

// newStream returns a configuration stream that has applied the document as version 1.
func newStream(text []byte) *config.Stream {
	s := config.NewStream()
	s.ApplyPage(0, 1, []config.Entry{{Offset: 0, TimeMs: 1, Record: firstRecord(append([]byte(nil), text...))}})
	return s
}

// patchCPU returns the CPU time to apply the change to a stream. Preparing the
// streams is not measured.
func patchCPU(text []byte, change *config.Record) (time.Duration, error) {
	const repeats = 8
	streams := make([]*config.Stream, repeats)
	for i := range streams {
		streams[i] = newStream(text)
	}
	start, err := processCPU()
	if err != nil {
		return 0, err
	}
	for _, s := range streams {
		for _, o := range s.ApplyPage(0, 2, []config.Entry{{Offset: 1, TimeMs: 2, Record: change}}) {
			if o.Err != nil {
				return 0, fmt.Errorf("patch was not accepted: %w", o.Err)
			}
		}
	}
	end, err := processCPU()
	return (end - start) / repeats, err
}
