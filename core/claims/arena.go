package claims

import "container/heap"

// storedClaim is a claim that was applied from the log. A partition holds one for
// each claim in the key window, so it contains no pointers, and its outcome stays in
// the log.
type storedClaim struct {
	key, body             Hash
	attempt               attemptID
	keyTimeMs, expiresMs  int64
	outcomeOffset         int64
	outcomeRecord         uint32
	executor, incarnation uint32 // indexes in State.strings
	status                ClaimStatus
	settled               bool
}

// claimsPerChunk is the number of claims allocated together. A growing slice would
// have up to 25% unused capacity, and would need twice the memory while it is
// copied.
const claimsPerChunk = 1024

// arena stores claims by index and orders them by expiry. It implements
// heap.Interface for the expiry heap.
type arena struct {
	chunks      []*[claimsPerChunk]storedClaim
	used        uint32
	freeIndexes []uint32
	expiry      []uint32 // min-heap of claim indexes by expiresMs
}

func (a *arena) at(i uint32) *storedClaim { return &a.chunks[i/claimsPerChunk][i%claimsPerChunk] }

// add stores the claim and returns its index.
func (a *arena) add(sc storedClaim) uint32 {
	i := a.used
	if last := len(a.freeIndexes) - 1; last >= 0 {
		i, a.freeIndexes = a.freeIndexes[last], a.freeIndexes[:last]
	} else {
		a.used++
		if int(i/claimsPerChunk) == len(a.chunks) {
			a.chunks = append(a.chunks, new([claimsPerChunk]storedClaim))
		}
	}
	*a.at(i) = sc
	heap.Push(a, i)
	return i
}

// popExpired removes and returns a claim that expires before the time, if there is
// one.
func (a *arena) popExpired(beforeMs int64) (storedClaim, bool) {
	if len(a.expiry) == 0 || a.at(a.expiry[0]).expiresMs >= beforeMs {
		return storedClaim{}, false
	}
	i := heap.Pop(a).(uint32)
	a.freeIndexes = append(a.freeIndexes, i)
	return *a.at(i), true
}

// Len implements heap.Interface.
func (a *arena) Len() int { return len(a.expiry) }

// Less implements heap.Interface.
func (a *arena) Less(i, j int) bool {
	return a.at(a.expiry[i]).expiresMs < a.at(a.expiry[j]).expiresMs
}

// Swap implements heap.Interface.
func (a *arena) Swap(i, j int) { a.expiry[i], a.expiry[j] = a.expiry[j], a.expiry[i] }

// Push implements heap.Interface.
func (a *arena) Push(x any) { a.expiry = append(a.expiry, x.(uint32)) }

// Pop implements heap.Interface.
func (a *arena) Pop() any {
	last := len(a.expiry) - 1
	i := a.expiry[last]
	a.expiry = a.expiry[:last]
	return i
}
