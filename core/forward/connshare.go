package forward

import (
	"slices"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// ConnShare returns how many connections to an endpoint one entry may have, of those that the
// endpoint accepts from all entries together. One further share is left for an entry that isn't
// known, and for orders. If there are fewer connections than entries, some have one each:
// rendezvous hashing chooses them without a message. The members are sorted.
func ConnShare(endpoint string, maxConns int, self string, members []string) int {
	entries := len(members)
	_, listed := slices.BinarySearch(members, self)
	if !listed {
		entries++
	}
	if share := maxConns / (entries + 1); share >= 1 {
		return share
	}
	if listed && rendezvous.Rank(rendezvous.Key([]byte(endpoint)), members, self) < max(maxConns-1, 1) {
		return 1
	}
	return 0
}

// ConnShareCache holds this process's share of one endpoint's connections until the members or the
// bound change: ranking the members of a large group takes too long for each candidate of a request.
type ConnShareCache struct {
	share, maxConns int
	generation      uint64
	known           bool
}

// Share returns this process's share of the endpoint's connections.
func (c *ConnShareCache) Share(endpoint string, maxConns int, g *LimitGroup) int {
	if !c.known || c.maxConns != maxConns || c.generation != g.generation {
		*c = ConnShareCache{ConnShare(endpoint, maxConns, g.self, g.members), maxConns, g.generation, true}
	}
	return c.share
}
