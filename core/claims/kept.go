package claims

import "container/heap"

// kept is a judged claim. A partition keeps one for each claim of the key window,
// so it has no pointers, and its outcome stays in the log.
type kept struct {
	key, body             Hash
	attempt               attemptID
	keyTimeMs, expiresMs  int64
	outcomeOffset         int64
	outcomeIndex          uint32
	executor, incarnation uint32 // in names
	standing              Standing
	settled               bool
}

// chunkClaims is the number of claims that are allocated together. A slice that
// grows would hold up to a quarter more than it needs, and twice that while it is
// copied.
const chunkClaims = 1024

// arena holds the kept claims by number, and the order in which they expire.
type arena struct {
	chunks []*[chunkClaims]kept
	used   uint32
	free   []uint32
	expiry []uint32 // a heap by expiresMs
}

func (a *arena) at(i uint32) *kept { return &a.chunks[i/chunkClaims][i%chunkClaims] }

// add keeps the claim and returns its number.
func (a *arena) add(k kept) uint32 {
	i := a.used
	if last := len(a.free) - 1; last >= 0 {
		i, a.free = a.free[last], a.free[:last]
	} else {
		a.used++
		if int(i/chunkClaims) == len(a.chunks) {
			a.chunks = append(a.chunks, new([chunkClaims]kept))
		}
	}
	*a.at(i) = k
	heap.Push(a, i)
	return i
}

// expired removes and returns a claim that expired before the time.
func (a *arena) expired(beforeMs int64) (kept, bool) {
	if len(a.expiry) == 0 || a.at(a.expiry[0]).expiresMs >= beforeMs {
		return kept{}, false
	}
	i := heap.Pop(a).(uint32)
	a.free = append(a.free, i)
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
