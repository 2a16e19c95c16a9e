package forward

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against members that all read each new generation, against a generation that nobody reads,
// and against a list that isn't of the generation that a join returned.
func TestFewMembersReadANewGeneration(t *testing.T) {
	var members []string
	for i := range 39 {
		members = append(members, fmt.Sprintf("10.0.0.%d:1", i))
	}
	reads := make([]MemberReads, len(members))
	for generation := range int64(50) {
		g, readers := Generation{Number: generation + 1}, 0
		for i, m := range members {
			if reads[i].ShouldRead(g, m, members) {
				readers++
			} else {
				reads[i].Offer(OfferedList{g, members})
				list, ok := reads[i].List(g)
				require.True(t, ok)
				require.Equal(t, members, list)
				reads[i].Settled()
			}
		}
		require.Equal(t, memberListReaders, readers)
	}
	_, ok := reads[0].List(Generation{Number: 1})
	require.False(t, ok, "old lists are forgotten")
	_, ok = reads[0].List(Generation{Era: 1, Number: 50})
	require.False(t, ok, "generations are given out again in a new era")

	var late MemberReads
	late.ShouldRead(Generation{Number: 60}, "10.0.0.99:1", members)
	require.True(t, late.ShouldRead(Generation{Number: 61}, "10.0.0.99:1", members), "a read is put off once, also if the generation changes")
	require.True(t, (&MemberReads{}).ShouldRead(Generation{Number: 1}, "a", nil), "a process that knows no members reads at once")
}
