package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the key of a duty or object for Rendezvous.
func KeyHash(s string) uint64 { return xxhash.Sum64String(s) }

// Rendezvous returns the n IDs with the highest scores for the key, best first.
// All processes that see the same IDs get the same answer, and the loss of one
// ID moves only the keys that it held. It allocates only its result.
func Rendezvous(key uint64, ids []string, n int) []string {
	return AppendRendezvous(make([]string, 0, max(0, min(n, len(ids)))), key, ids, n)
}

// AppendRendezvous is Rendezvous into dst, without allocation when dst has room.
// It suits a small n: the cost is len(ids) scores and n insertions.
func AppendRendezvous(dst []string, key uint64, ids []string, n int) []string {
	start := len(dst)
	for _, id := range ids {
		s := score(key, id)
		i := len(dst)
		for i > start && before(s, id, score(key, dst[i-1]), dst[i-1]) {
			i--
		}
		if i-start >= n {
			continue
		}
		if len(dst)-start == n {
			dst = dst[:len(dst)-1]
		}
		dst = slices.Insert(dst, i, id)
	}
	return dst
}

// Owner returns the ID with the highest score, empty when there is none.
func Owner(key uint64, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		if s := score(key, id); best == "" || before(s, id, bestScore, best) {
			best, bestScore = id, s
		}
	}
	return best
}

func before(s uint64, id string, t uint64, other string) bool { return s > t || (s == t && id < other) }

// Constants of the 64-bit finalizer of MurmurHash3, which spreads every input
// bit over all output bits.
const (
	mixShift = 33
	mixFirst = 0xff51afd7ed558ccd
	mixThen  = 0xc4ceb9fe1a85ec53
)

func score(key uint64, id string) uint64 {
	h := xxhash.Sum64String(id) ^ key
	h ^= h >> mixShift
	h *= mixFirst
	h ^= h >> mixShift
	h *= mixThen
	return h ^ h>>mixShift
}
