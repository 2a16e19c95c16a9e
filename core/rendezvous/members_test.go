package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against keys that move when another member joins or leaves, results that
// depend on the order of the IDs, and an uneven distribution.
func TestTopIsStableAndBalanced(t *testing.T) {
	const members, keys = 330, 3300
	ids := make([]string, members)
	for i := range ids {
		ids[i] = fmt.Sprintf("host-%03d", i)
	}
	reversed := slices.Clone(ids)
	slices.Reverse(reversed)
	ownedKeys := map[string]int{}
	for k := range uint64(keys) {
		got := Top(k, ids, 3)
		assert.Len(t, got, 3)
		assert.Equal(t, got, Top(k, reversed, 3))
		assert.Equal(t, got[0], Owner(k, ids))
		without := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == got[0] })
		assert.Equal(t, got[1:], Top(k, without, 2))
		ownedKeys[got[0]]++
	}
	for _, id := range ids {
		assert.Less(t, ownedKeys[id], 3*keys/members, id)
	}
	assert.Empty(t, Top(1, nil, 3))
	assert.Len(t, Top(1, ids[:2], 3), 2)
	assert.Empty(t, Owner(1, nil))
	buf := make([]string, 0, 3)
	assert.Zero(t, testing.AllocsPerRun(10, func() { buf = AppendTop(buf[:0], 7, ids, 3) }))
}
