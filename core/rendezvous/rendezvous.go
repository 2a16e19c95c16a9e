// Package rendezvous assigns keys to members by highest random weight: when a
// member comes or goes, only its own keys move.
package rendezvous

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key returns the 64-bit key of an identifier.
func Key(id []byte) uint64 { return xxhash.Sum64(id) }

func score(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:]) // never fails
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// before reports whether the weight and ID come before the other ones.
func before(w uint64, id string, v uint64, other string) bool {
	return w > v || w == v && id < other
}

// Owner returns the member with the highest weight for the key, "" when there is
// none. It does not allocate.
func Owner(key uint64, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		if s := score(key, id); best == "" || before(s, id, bestScore, best) {
			best, bestScore = id, s
		}
	}
	return best
}

// Top returns the n members with the highest weights for the key, highest first.
func Top(key uint64, ids []string, n int) []string {
	return AppendTop(make([]string, 0, max(0, min(n, len(ids)))), key, ids, n)
}

// AppendTop is Top into dst, without allocation when dst has room. It suits a
// small n: the cost is a weight for each ID and an insertion for each result.
func AppendTop(dst []string, key uint64, ids []string, n int) []string {
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
