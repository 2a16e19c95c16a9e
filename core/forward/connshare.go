package forward

import (
	"slices"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// ConnShare returns how many connections to an endpoint one entry may have, of those that the
// endpoint accepts from all entries together. One further share is left for an entry that isn't
// known, and for orders. If there are fewer connections than entries, some have one each:
// rendezvous hashing chooses them without a message.
func ConnShare(endpoint string, maxConns int, self string, members []string) int {
	entries := len(members)
	if !slices.Contains(members, self) {
		entries++
	}
	if share := maxConns / (entries + 1); share >= 1 {
		return share
	}
	if slices.Contains(members, self) && rendezvous.Rank(rendezvous.Key([]byte(endpoint)), members, self) < max(maxConns-1, 1) {
		return 1
	}
	return 0
}

// ConnShare returns this process's share of an endpoint's connections.
func (g *LimitGroup) ConnShare(endpoint string, maxConns int) int {
	return ConnShare(endpoint, maxConns, g.self, g.members)
}
