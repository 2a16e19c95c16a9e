package forward

import (
	"cmp"
	"maps"
	"slices"
)

// minRelayedPeers is the number of peers in another failure domain from which one of them
// passes reports on to the others. For fewer it saves nothing that is worth the dependence.
const minRelayedPeers = 3

// Fanout says how a report reaches all peers.
type Fanout struct {
	Direct []string // peers that get the report
	Relays []string // peers that get the report and pass it on in their failure domain
}

// PlanFanout plans how report number seq reaches the peers, so that it crosses to each other
// failure domain once. The domains are those of the peers that can pass reports on; all other
// peers get reports directly. The relays change with each report, so the loss of one loses
// only a share of the reports.
func PlanFanout(self, domain string, peers []string, domains map[string]string, seq int64) Fanout {
	var f Fanout
	byDomain := map[string][]string{}
	for _, p := range peers {
		if d, ok := domains[p]; ok && d != domain {
			byDomain[d] = append(byDomain[d], p)
		} else if p != self {
			f.Direct = append(f.Direct, p)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(byDomain)) {
		members := byDomain[d]
		if len(members) < minRelayedPeers {
			f.Direct = append(f.Direct, members...)
			continue
		}
		slices.Sort(members)
		// The sender's position among all peers spreads the senders of a moment over the relays.
		first, _ := slices.BinarySearchFunc(members, self, cmp.Compare[string])
		f.Relays = append(f.Relays, members[(int(seq%int64(len(members)))+first)%len(members)])
	}
	return f
}
