// Package leastload registers the baseline policy routing.least_load: it
// chooses the endpoint with the fewest requests per slot and ignores KV caches.
package leastload

import (
	"math/rand/v2"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "routing.least_load"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return Policy{} }}) }

// Policy implements routing.Policy.
type Policy struct{}

// Choose returns the candidate with the lowest load per slot; ties are broken
// at random, so that entries with the same load data choose different endpoints.
func (Policy) Choose(_ *routing.Request, cs []routing.Candidate, rng *rand.Rand) routing.Choice {
	best, bestLoad, ties := -1, 0.0, 0
	for i := range cs {
		c := &cs[i]
		load := float64(c.Running+c.Waiting+c.OwnInFlight) / float64(max(1, c.Slots))
		switch {
		case best < 0 || load < bestLoad:
			best, bestLoad, ties = i, load, 1
		case load == bestLoad:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return routing.Choice{Index: best}
}
