// Package rendezvous assigns keys to members by rendezvous hashing (highest random
// weight): when a member joins or leaves, only its own keys move.
package rendezvous

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Key returns the 64-bit key of an identifier.
func Key(id []byte) uint64 { return xxhash.Sum64(id) }

// score returns the score of a member for the key, a hash of both.
func score(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], key)
	_, _ = d.Write(b[:]) // never fails
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// ranksBefore reports whether the first member ranks before the second: by higher
// score, then by lower ID.
func ranksBefore(score1 uint64, id1 string, score2 uint64, id2 string) bool {
	return score1 > score2 || score1 == score2 && id1 < id2
}

// Owner returns the member with the highest score for the key, or "" when ids is
// empty. It does not allocate.
func Owner(key uint64, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		if s := score(key, id); best == "" || ranksBefore(s, id, bestScore, best) {
			best, bestScore = id, s
		}
	}
	return best
}

// Top returns the n members with the highest scores for the key, highest first.
func Top(key uint64, ids []string, n int) []string {
	return AppendTop(make([]string, 0, max(0, min(n, len(ids)))), key, ids, n)
}

// AppendTop appends the result of Top to dst. It doesn't allocate when dst has
// enough capacity. It is meant for small n, since it keeps the results sorted by
// insertion.
func AppendTop(dst []string, key uint64, ids []string, n int) []string {
	start := len(dst)
	for _, id := range ids {
		s := score(key, id)
		i := len(dst)
		for i > start && ranksBefore(s, id, score(key, dst[i-1]), dst[i-1]) {
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

// Rank returns how many of the IDs rank before id for a key. It takes less time than Top where
// only one ID is of interest.
func Rank(key uint64, ids []string, id string) int {
	own, n := score(key, id), 0
	for _, other := range ids {
		if ranksBefore(score(key, other), other, own, id) {
			n++
		}
	}
	return n
}
