package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RequestLoad is the load that one unfinished request puts on an endpoint.
type RequestLoad struct {
	PrefillTokens int  // prompt tokens expected to be prefilled rather than cached
	MemoryTokens  int  // tokens of KV cache memory held until the request ends
	LongRunning   bool // the request is long-running
	Started       bool // the first event has arrived
	Ranked        bool // the endpoint got the request with a rank
	Rank          int
}

// EndpointLoad is the sum of the unfinished requests on one endpoint.
type EndpointLoad struct {
	Active        int // unfinished requests
	Waiting       int // requests that have not received their first event
	PrefillTokens int // tokens to be prefilled for the waiting requests
	MemoryTokens  int // tokens of KV cache memory held by the active requests
	LongRunning   int // active requests that are long-running

	PrefillByRank RankedTokens // part of PrefillTokens of requests whose rank is known
}

// Add adds a request that was sent to the endpoint.
func (l *EndpointLoad) Add(w RequestLoad) {
	l.Active++
	l.MemoryTokens += w.MemoryTokens
	l.LongRunning += boolInt(w.LongRunning)
	if !w.Started {
		l.Waiting++
		l.addPrefill(w, w.PrefillTokens)
	}
}

func (l *EndpointLoad) addPrefill(w RequestLoad, tokens int) {
	l.PrefillTokens += tokens
	if w.Ranked {
		l.PrefillByRank[w.Rank] += tokens
	}
}

// RecordFirstEvent records the first event of a request.
func (l *EndpointLoad) RecordFirstEvent(w *RequestLoad) {
	if !w.Started {
		w.Started = true
		l.Waiting--
		l.addPrefill(*w, -w.PrefillTokens)
	}
}

// Remove removes a request that has ended.
func (l *EndpointLoad) Remove(w *RequestLoad) {
	l.RecordFirstEvent(w)
	l.Active--
	l.MemoryTokens -= w.MemoryTokens
	l.LongRunning -= boolInt(w.LongRunning)
}

// Plus returns the sum of two loads.
func (l EndpointLoad) Plus(o EndpointLoad) EndpointLoad {
	return EndpointLoad{l.Active + o.Active, l.Waiting + o.Waiting, l.PrefillTokens + o.PrefillTokens, l.MemoryTokens + o.MemoryTokens, l.LongRunning + o.LongRunning, l.PrefillByRank.plus(o.PrefillByRank, 1)}
}

// Minus returns the difference of two loads.
func (l EndpointLoad) Minus(o EndpointLoad) EndpointLoad {
	return EndpointLoad{l.Active - o.Active, l.Waiting - o.Waiting, l.PrefillTokens - o.PrefillTokens, l.MemoryTokens - o.MemoryTokens, l.LongRunning - o.LongRunning, l.PrefillByRank.plus(o.PrefillByRank, -1)}
}

// Aged returns what is left of a load of short requests in a report that came with the given interval
// instead of the interval in which the load is worth knowing in full.
//
// Load pattern: in a large group, peers' reports are many times older than a request of a plain service
// takes. An endpoint that seemed idle would get the requests of all entries until their next reports.
func (l EndpointLoad) Aged(fresh, interval time.Duration) EndpointLoad {
	if interval <= fresh {
		return l
	}
	share := float64(fresh) / float64(interval)
	aged := func(n int) int { return int(math.Round(float64(n) * share)) }
	return EndpointLoad{Active: aged(l.Active), Waiting: aged(l.Waiting), PrefillTokens: aged(l.PrefillTokens), MemoryTokens: aged(l.MemoryTokens), LongRunning: aged(l.LongRunning)}
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

// RecordUse records that a request with the part was sent and that the part will be in
// memory at the time ready.
func (r *Residency) RecordUse(key uint64, tokens, capacity int, ready time.Duration) {
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

// CanFetch reports whether the part has been prefilled and was used so recently that
// it can be fetched from the endpoint.
func (r *Residency) CanFetch(key uint64, capacity int, now time.Duration) bool {
	p := r.parts[key]
	return p != nil && now >= p.readyAt && float64(r.useClock-p.lastUse) < certainShare*float64(capacity)
}

// Clear removes all parts, as after a restart or a change of weights.
func (r *Residency) Clear() { *r = Residency{} }
