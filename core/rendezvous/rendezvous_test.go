package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a skewed share of the directory, and against keys that move
// although their owner stayed.
func TestSharesAndMoves(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("agent-%d", i))
	}
	const keys = 20_000
	count := map[string]int{}
	for k := range uint64(keys) {
		top := Top(k, ids, 2)
		require.Equal(t, Owner(k, ids), top[0])
		count[top[0]]++
		rest := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == top[0] })
		require.Equal(t, top[1], Owner(k, rest), "the second takes over")
		slices.Reverse(rest)
		require.Equal(t, top[1], Owner(k, rest), "the order of members does not matter")
	}
	for id, n := range count {
		require.InEpsilon(t, keys/len(ids), n, 0.2, id)
	}
	require.Equal(t, "", Owner(1, nil))
	require.Empty(t, Top(1, nil, 3))
}
