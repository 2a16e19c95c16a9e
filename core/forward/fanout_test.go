package forward

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against peers that get no report or get it twice, against a report that crosses to
// a failure domain more than once, and against one relay that loses all reports.
func TestFanoutReachesEachPeerOnce(t *testing.T) {
	domains := map[string]string{}
	var peers []string
	for i := range 30 {
		p := fmt.Sprintf("10.0.%d.%d:7", i%4, i)
		peers = append(peers, p)
		domains[p] = fmt.Sprint("domain", i%4)
	}
	self := peers[0]
	relays := map[string]int{}
	for seq := range int64(21) {
		f := PlanFanout(self, domains[self], peers, domains, seq)
		require.Len(t, f.Relays, 3)
		got := map[string]int{}
		for _, p := range f.Direct {
			require.Equal(t, domains[self], domains[p])
			got[p]++
		}
		for _, r := range f.Relays {
			relays[r]++
			for _, p := range peers {
				if domains[p] == domains[r] {
					got[p]++ // itself and those that it passes the report on to
				}
			}
		}
		require.Len(t, got, len(peers)-1)
		for p, n := range got {
			require.Equal(t, 1, n, p)
		}
	}
	for r, n := range relays {
		require.LessOrEqual(t, n, 4, r)
	}

	known := maps.Clone(domains)
	delete(known, peers[1])
	require.Contains(t, PlanFanout(self, domains[self], peers, known, 0).Direct, peers[1], "it may be unable to pass reports on")
	small := PlanFanout(self, domains[self], peers[:12], domains, 0)
	require.Len(t, small.Relays, 3)
	small = PlanFanout(self, domains[self], peers[:4], domains, 0)
	require.Empty(t, small.Relays)
	require.Len(t, small.Direct, 3)
}
