package forward

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against entries that together open more connections to an endpoint than it accepts, so
// that it resets some with requests on them, and against an endpoint that no entry can reach.
func TestEntriesTogetherKeepTheConnectionsOfAnEndpoint(t *testing.T) {
	for _, entries := range []int{1, 4, 31, 330} {
		var members []string
		for i := range entries {
			members = append(members, fmt.Sprintf("entry-%03d", i))
		}
		for _, maxConns := range []int{1, 2, 3, 10, 31, 100, 110, 329, 330, 331, 360, 940, 5000} {
			for _, endpoint := range []string{"e1", "e2", "e3"} {
				sum := 0
				for _, m := range members {
					share := ConnShare(endpoint, maxConns, m, members)
					require.True(t, share >= 1 || maxConns <= entries)
					sum += share
				}
				require.LessOrEqual(t, sum, maxConns, "%d entries", entries)
				require.Positive(t, sum, "%d entries, %d connections", entries, maxConns)
				unknown := ConnShare(endpoint, maxConns, "not listed", members)
				require.True(t, sum+unknown <= maxConns, "%d entries, %d connections, one that isn't listed", entries, maxConns)
			}
		}
	}
	require.Equal(t, 50, ConnShare("e", 100, "a", nil), "the group isn't known yet")
}

// Guards against a few entries that get all endpoints while others get none.
func TestScarceConnectionsAreSpreadOverTheEntries(t *testing.T) {
	const entries, endpoints, maxConns = 330, 166, 100
	var members []string
	for i := range entries {
		members = append(members, fmt.Sprintf("entry-%03d", i))
	}
	for _, m := range members {
		n := 0
		for e := range endpoints {
			n += ConnShare(fmt.Sprint("e", e), maxConns, m, members)
		}
		require.InDelta(t, endpoints*(maxConns-1)/entries, n, 25, "%s", m)
	}
}

// Guards against a share that stays as members come and go, or as the bound changes.
func TestConnShareFollowsItsInputs(t *testing.T) {
	var g LimitGroup
	var c ConnShareCache
	require.Equal(t, 50, c.Share("e", 100, &g))
	g.RecordMembers("a", []string{"a", "b", "c"}, nil)
	require.Equal(t, 25, c.Share("e", 100, &g))
	require.Equal(t, 10, c.Share("e", 40, &g))
	g.RecordMembers("a", []string{"b", "c"}, []string{"d"})
	require.Equal(t, 8, c.Share("e", 40, &g), "this process isn't listed")
}
