// Package rendezvous assigns keys to members by highest random weight: when a
// member comes or goes, only its own keys move.
package rendezvous

import (
	"encoding/binary"
	"slices"
	"strings"

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

// Owner returns the member with the highest weight for the key, "" when there is
// none. It does not allocate.
func Owner(key uint64, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		if s := score(key, id); best == "" || s > bestScore || s == bestScore && id < best {
			best, bestScore = id, s
		}
	}
	return best
}

// Top returns the n members with the highest weights for the key, highest first.
func Top(key uint64, ids []string, n int) []string {
	type weighted struct {
		id    string
		score uint64
	}
	ws := make([]weighted, len(ids))
	for i, id := range ids {
		ws[i] = weighted{id, score(key, id)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	out := make([]string, 0, min(n, len(ws)))
	for _, w := range ws[:min(n, len(ws))] {
		out = append(out, w.id)
	}
	return out
}
