package forward

import (
	"cmp"
	"slices"
)

// Ranks order the requests at an endpoint, 0 first. Engines accept priorities up to LastRank.
const (
	RankCount = 10
	LastRank  = RankCount - 1
)

// chunkTokens is how much of a less urgent prompt an engine prefills before it takes a more urgent one.
const chunkTokens = 2048

// priorityPair orders requests by their customer, and those of one customer by their route.
type priorityPair struct{ customer, route int }

func pairOf(r *Route, c *Customer) priorityPair {
	return priorityPair{EffectivePriority(r, c), r.Priority}
}

func (p priorityPair) compare(o priorityPair) int {
	return cmp.Or(cmp.Compare(p.customer, o.customer), cmp.Compare(p.route, o.route))
}

// rankedPairs returns the distinct pairs of priorities that prompts can have, the first one first. Other
// requests are sent without a priority.
func rankedPairs(c *Config) (out []priorityPair) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.CarriesPrompts {
			continue
		}
		if len(c.Customers) == 0 || r.Public {
			out = append(out, pairOf(r, nil))
		}
		for k := range c.Customers {
			out = append(out, pairOf(r, &c.Customers[k]))
		}
	}
	slices.SortFunc(out, priorityPair.compare)
	return slices.Compact(out)
}

// Rank returns the rank of a customer's prompts of a route. A route of an earlier configuration gets
// the rank of its place in the order.
func (t *Table) Rank(r *Route, c *Customer) int {
	i, _ := slices.BinarySearchFunc(t.ranks, pairOf(r, c), priorityPair.compare)
	return min(i, LastRank)
}

// RankedTokens are tokens of waiting prefill by the rank of their requests.
type RankedTokens [RankCount]int

// Valid reports whether the tokens can be part of a load with so many tokens of waiting prefill.
func (r RankedTokens) Valid(total int) bool {
	for _, n := range r {
		if total -= n; n < 0 || total < 0 {
			return false
		}
	}
	return true
}

// PrefillBehind returns the waiting prefill of less urgent ranks. Prefill whose rank isn't known, as of
// peers with an earlier release, counts for all ranks.
func (l *EndpointLoad) PrefillBehind(rank int) (tokens int) {
	for _, n := range l.PrefillByRank[rank+1:] {
		tokens += n
	}
	return tokens
}

// AheadOf returns the load that delays a request of the given rank: of the waiting prefill that of the
// same and more urgent ranks, and at most one chunk of the others. Prompts that wait behind the request
// hold no memory yet; if theirs counted, a queue of late prompts would have the urgent ones refused.
//
// Load pattern: a burst of long patient prompts beside short urgent ones, which an engine takes first.
// If all waiting prefill counts, the urgent ones are refused although they wouldn't wait.
func (l EndpointLoad) AheadOf(rank int) EndpointLoad {
	behind := l.PrefillBehind(rank)
	l.PrefillTokens -= behind - min(behind, chunkTokens)
	l.MemoryTokens -= min(behind, l.MemoryTokens)
	return l
}

func (r RankedTokens) plus(o RankedTokens, sign int) RankedTokens {
	for i := range r {
		r[i] += sign * o[i]
	}
	return r
}
