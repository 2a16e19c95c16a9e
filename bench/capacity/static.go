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

// How a figure was measured.
const (
	howVirtual  = "state machines in virtual time"
	howLoopback = "real processes' code over gRPC on loopback"
	howProcess  = "separate processes on loopback"
	howState    = "state machine, this process's heap"
	howCPU      = "state machine, this process's CPU time"
)

// directorySlopes measures the shard of the context directory.
func directorySlopes() ([]Slope, error) {
	memory := Slope{ID: "directory_bytes", Text: "directory memory for each context", Unit: "bytes", XUnit: "contexts", How: howState,
		Target: targetContexts, Limit: limitDirectoryBytes}
	update := Slope{ID: "directory_update_cpu", Text: "CPU time of an update and a lookup", Unit: "µs", XUnit: "contexts", How: howCPU, Target: contextsPerAgent}
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		now := time.UnixMilli(0).Add(keyWindowSec * time.Second)
		var s *directory.Shard
		bytes := heapOf(func() any { s = fillDirectory(n, now); return s })
		memory.Points = append(memory.Points, Point{float64(n), bytes / float64(n)})
		i, l := 0, location(0, now)
		d, err := cpuOf(func() {
			k := contextKey(i % n)
			s.Put(k, l, now)
			s.Get(k, now)
			i++
		})
		if err != nil {
			return nil, err
		}
		update.Points = append(update.Points, Point{float64(n), d.Seconds() * microsSec})
	}
	return []Slope{memory.fit(), update.fit()}, nil
}

func contextKey(i int) (h prefix.Hash) {
	const mix = 0x9e3779b97f4a7c15 // spreads consecutive numbers over the key
	binary.BigEndian.PutUint64(h[:], uint64(i)*mix)
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

// routingSlopes measures one decision of the default policy.
func routingSlopes() ([]Slope, error) {
	s := Slope{ID: "routing_cpu", Text: "routing decision", Unit: "µs", XUnit: "candidate endpoints", How: howCPU, Target: targetEndpoints, Limit: limitRoutingMicros}
	rng := rand.New(rand.NewPCG(seed, seed))
	p := prefixcost.New(prefixcost.Options{})
	r := &routing.Request{PromptTokens: 8192, MaxTokens: 200, PrefillRate: 10_000, KVBytesPerToken: 65_536}
	for _, n := range []int{12, 100, targetEndpoints} {
		cs := candidates(n, rng)
		d, err := cpuOf(func() { p.Choose(r, cs, rng) })
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{float64(n), d.Seconds() * microsSec})
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

// documentSlopes measures the configuration at sizes of the customer list.
func documentSlopes() ([]Slope, error) {
	full := Slope{ID: "config_document_bytes", Text: "full configuration document", Unit: "bytes", XUnit: "customers", How: howState, Target: targetCustomers}
	patch := Slope{ID: "config_patch_bytes", Text: "patch of one customer's limit", Unit: "bytes", XUnit: "customers", How: howState, Target: targetCustomers}
	held := Slope{ID: "config_memory", Text: "memory of the version in force", Unit: "MiB", XUnit: "customers", How: howState, Target: targetCustomers, Limit: limitControlMiB}
	apply := Slope{ID: "config_apply_cpu", Text: "CPU time to apply a patch", Unit: "ms", XUnit: "customers", How: howCPU, Target: targetCustomers}
	valid := Slope{ID: "config_validate_cpu", Text: "CPU time to validate the document", Unit: "ms", XUnit: "customers", How: howCPU, Target: targetCustomers}
	for _, n := range []int{100, 1000, targetCustomers} {
		d := document(n)
		text, err := canonical(d)
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
		held.Points = append(held.Points, Point{x, heapOf(func() any { return newStream(text) }) / mebibyte})
		applied, err := cpuOfPatch(text, change)
		if err != nil {
			return nil, err
		}
		validated, err := cpuOf(func() { _ = d.Validate() })
		if err != nil {
			return nil, err
		}
		apply.Points = append(apply.Points, Point{x, applied.Seconds() * millisSec})
		valid.Points = append(valid.Points, Point{x, validated.Seconds() * millisSec})
	}
	return []Slope{full.fit(), patch.fit(), held.fit(), apply.fit(), valid.fit()}, nil
}

const millisSec = 1000

// newStream returns a stream with the document in force.
func newStream(text []byte) *config.Stream {
	s := config.NewStream()
	s.ApplyPage(0, 1, []config.Entry{{Offset: 0, TimeMs: 1, Record: firstRecord(append([]byte(nil), text...))}})
	return s
}

// cpuOfPatch returns the CPU time of accepting the change; the stream is
// prepared outside of the measured time.
func cpuOfPatch(text []byte, change *config.Record) (time.Duration, error) {
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
				return 0, fmt.Errorf("the patch was not accepted: %w", o.Err)
			}
		}
	}
	end, err := processCPU()
	return (end - start) / repeats, err
}
