package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// sharedGroup is the cache group of the customers that are not dedicated while none is.
const sharedGroup = "shared"

// cacheGroups assigns customers to cache groups: those that share cached prompts are in one group.
//
// A dedicated customer has a group of its own. All others are in a group that is named after the set
// of dedicated customers. So a part in that group was made by a customer that is not in the set,
// whenever it was made and however often customers have become dedicated since. The groups depend on
// nothing but the configuration, as a process that has just started knows no earlier one.
type cacheGroups struct {
	shared    string
	dedicated map[string]bool // of each customer by name, whether it is dedicated
}

func newCacheGroups(cs []Customer) cacheGroups {
	g := cacheGroups{shared: sharedGroup, dedicated: map[string]bool{}}
	var names []string
	for _, c := range cs {
		if c.Dedicated && !g.dedicated[c.Name] {
			names = append(names, c.Name)
		}
		g.dedicated[c.Name] = g.dedicated[c.Name] || c.Dedicated
	}
	if len(names) > 0 {
		slices.Sort(names)
		g.shared += " without " + digestNames(names)
	}
	return g
}

// digestNames returns a digest that differs between lists of names, whatever characters they contain.
func digestNames(names []string) string {
	h := sha256.New()
	for _, n := range names {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(n)))) // never returns an error
		_, _ = h.Write([]byte(n))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// CacheGroup returns the cache group of a customer, or of callers without a customer if it is "". A
// customer that is not in the configuration, of whom a request is still under way, may have been
// dedicated.
func (t *Table) CacheGroup(customer string) string {
	dedicated, known := t.groups.dedicated[customer]
	if dedicated || !known && customer != "" {
		return "customer " + customer
	}
	return t.groups.shared
}
