package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an uneven distribution of the directory, and against keys that
// move although their owner remains.
func TestOwnerBalanceAndTakeover(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("agent-%d", i))
	}
	const keys = 20_000
	ownedKeys := map[string]int{}
	for k := range uint64(keys) {
		top := Top(k, ids, 2)
		require.Equal(t, Owner(k, ids), top[0])
		ownedKeys[top[0]]++
		rest := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == top[0] })
		require.Equal(t, top[1], Owner(k, rest), "the second member must take over")
		slices.Reverse(rest)
		require.Equal(t, top[1], Owner(k, rest), "the order of members must not matter")
	}
	for id, n := range ownedKeys {
		require.InEpsilon(t, keys/len(ids), n, 0.2, id)
	}
	require.Equal(t, "", Owner(1, nil))
	require.Empty(t, Top(1, nil, 3))
}

// Guards against a rank that names other IDs than Top does.
func TestRankAgreesWithTop(t *testing.T) {
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint("id-", i))
	}
	for key := range uint64(20) {
		for rank, id := range Top(key, ids, len(ids)) {
			require.Equal(t, rank, Rank(key, ids, id))
		}
	}
}
