package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Work is one request that an endpoint has not finished.
type Work struct {
	Prefill int  // prompt tokens expected to be read, not cached
	Memory  int  // tokens of memory held until the end
	Long    bool // runs for long
	Started bool // the first event has come
}

// Load is the work of this process on one endpoint.
type Load struct {
	Active  int // requests without an end
	Waiting int // requests without a first event
	Prefill int // tokens to be read by the waiting ones
	Memory  int // tokens of all active ones
	Long    int // active ones that run for long
}

// Add counts a request that was sent.
func (l *Load) Add(w Work) {
	l.Active++
	l.Memory += w.Memory
	l.Long += boolInt(w.Long)
	if !w.Started {
		l.Waiting++
		l.Prefill += w.Prefill
	}
}

// Start counts the first event of a request.
func (l *Load) Start(w *Work) {
	if !w.Started {
		w.Started = true
		l.Waiting--
		l.Prefill -= w.Prefill
	}
}

// Remove counts the end of a request.
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

// PartKey identifies a cached part under the salt that it is kept by.
func PartKey(salt, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Residency estimates which parts an endpoint has in memory: those that were sent
// to it last, as far as its memory reaches.
type Residency struct {
	parts  map[uint64]*resident
	total  int
	passed int // tokens of all uses so far
}

type resident struct {
	tokens int
	passed int           // as of the last use
	ready  time.Duration // when it is read
}

// residentReach is the share of the memory by which a part must have been passed
// before it is held to be uncertain: the order of reading isn't that of sending.
const residentReach = 0.6

// Use records that a request with the part was sent, which is read by the time ready.
func (r *Residency) Use(key uint64, tokens, capacity int, ready time.Duration) {
	if r.parts == nil {
		r.parts = map[uint64]*resident{}
	}
	if p := r.parts[key]; p != nil {
		r.passed += min(tokens, r.passed-p.passed)
		p.passed = r.passed
		return
	}
	r.passed += tokens
	r.parts[key] = &resident{tokens, r.passed, ready}
	r.total += tokens
	for r.total > capacity && len(r.parts) > 1 {
		r.evict()
	}
}

func (r *Residency) evict() {
	var oldest uint64
	at := math.MaxInt
	for k, p := range r.parts {
		if p.passed < at || p.passed == at && k < oldest {
			oldest, at = k, p.passed
		}
	}
	r.total -= r.parts[oldest].tokens
	delete(r.parts, oldest)
}

// Has tells whether the part is believed to be in memory.
func (r *Residency) Has(key uint64) bool { return r.parts[key] != nil }

// Certain tells whether the part is read and was used so recently that it can be
// fetched from the endpoint.
func (r *Residency) Certain(key uint64, capacity int, now time.Duration) bool {
	p := r.parts[key]
	return p != nil && now >= p.ready && float64(r.passed-p.passed) < residentReach*float64(capacity)
}

// Clear forgets all parts, as after a restart or a change of weights.
func (r *Residency) Clear() { *r = Residency{} }
