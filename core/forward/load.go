package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Work is the load that one unfinished request puts on an endpoint.
type Work struct {
	Prefill int  // prompt tokens expected to be prefilled rather than cached
	Memory  int  // tokens of KV cache memory held until the request ends
	Long    bool // the request is long-running
	Started bool // the first event has arrived
}

// Load is the sum of the unfinished requests on one endpoint.
type Load struct {
	Active  int // unfinished requests
	Waiting int // requests that have not received their first event
	Prefill int // tokens to be prefilled for the waiting requests
	Memory  int // tokens of KV cache memory held by the active requests
	Long    int // active requests that are long-running
}

// Add adds a request that was sent to the endpoint.
func (l *Load) Add(w Work) {
	l.Active++
	l.Memory += w.Memory
	l.Long += boolInt(w.Long)
	if !w.Started {
		l.Waiting++
		l.Prefill += w.Prefill
	}
}

// Start records the first event of a request.
func (l *Load) Start(w *Work) {
	if !w.Started {
		w.Started = true
		l.Waiting--
		l.Prefill -= w.Prefill
	}
}

// Remove removes a request that has ended.
func (l *Load) Remove(w *Work) {
	l.Start(w)
	l.Active--
	l.Memory -= w.Memory
	l.Long -= boolInt(w.Long)
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Active + o.Active, l.Waiting + o.Waiting, l.Prefill + o.Prefill, l.Memory + o.Memory, l.Long + o.Long}
}

// Minus returns the difference of two loads.
func (l Load) Minus(o Load) Load {
	return Load{l.Active - o.Active, l.Waiting - o.Waiting, l.Prefill - o.Prefill, l.Memory - o.Memory, l.Long - o.Long}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// PartKey returns the key of a prompt part that is cached under the given salt.
func PartKey(salt, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Residency estimates which prompt parts an endpoint has in memory: the most recently
// used ones that fit its capacity.
type Residency struct {
	parts       map[uint64]*residentPart
	totalTokens int
	useClock    int // sum of the tokens used so far, as a logical clock
}

type residentPart struct {
	tokens  int
	lastUse int           // useClock at the last use
	readyAt time.Duration // when the part has been prefilled
}

// certainShare is the share of the capacity that may be used after a part before its
// residency becomes uncertain. It is below 1 because an endpoint does not process
// requests in the order in which they are sent.
const certainShare = 0.6

// Use records that a request with the part was sent and that the part will be in
// memory at the time ready.
func (r *Residency) Use(key uint64, tokens, capacity int, ready time.Duration) {
	if r.parts == nil {
		r.parts = map[uint64]*residentPart{}
	}
	if p := r.parts[key]; p != nil {
		r.useClock += min(tokens, r.useClock-p.lastUse)
		p.lastUse = r.useClock
		return
	}
	r.useClock += tokens
	r.parts[key] = &residentPart{tokens, r.useClock, ready}
	r.totalTokens += tokens
	for r.totalTokens > capacity && len(r.parts) > 1 {
		r.evict()
	}
}

func (r *Residency) evict() {
	var oldestKey uint64
	oldestUse := math.MaxInt
	for k, p := range r.parts {
		if p.lastUse < oldestUse || p.lastUse == oldestUse && k < oldestKey {
			oldestKey, oldestUse = k, p.lastUse
		}
	}
	r.totalTokens -= r.parts[oldestKey].tokens
	delete(r.parts, oldestKey)
}

// Has reports whether the part is expected to be in memory.
func (r *Residency) Has(key uint64) bool { return r.parts[key] != nil }

// Certain reports whether the part has been prefilled and was used so recently that
// it can be fetched from the endpoint.
func (r *Residency) Certain(key uint64, capacity int, now time.Duration) bool {
	p := r.parts[key]
	return p != nil && now >= p.readyAt && float64(r.useClock-p.lastUse) < certainShare*float64(capacity)
}

// Clear removes all parts, as after a restart or a change of weights.
func (r *Residency) Clear() { *r = Residency{} }
