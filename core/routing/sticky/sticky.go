// Package sticky registers the baseline policy routing.sticky: it chooses
// the endpoint by a hash of the conversation and ignores load.
package sticky

import (
	"math/rand/v2"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/routing"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "routing.sticky"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return Policy{} }}) }

// Policy implements routing.Policy.
type Policy struct{}

// Choose uses rendezvous hashing, so that removing an endpoint moves only its own
// conversations. It requests an import when the store holds more of the prefix than
// the engine.
func (Policy) Choose(r *routing.Request, cs []routing.Candidate, _ *rand.Rand) routing.Choice {
	best, bestHash := -1, uint64(0)
	for i := range cs {
		h := hashEndpoint(r.StickyHash, cs[i].Endpoint)
		if best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return routing.Choice{Index: best, FetchPrefix: best >= 0 && cs[best].StorePrefixTokens > cs[best].EnginePrefixTokens}
}

// Parameters of FNV-1a and the finalizer of MurmurHash3.
const (
	fnvOffset        = 14695981039346656037
	fnvPrime         = 1099511628211
	murmurMultiplier = 0xff51afd7ed558ccd
	murmurShift      = 33
)

func hashEndpoint(seed uint64, id string) uint64 {
	h := uint64(fnvOffset) ^ seed
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	h = (h ^ h>>murmurShift) * murmurMultiplier
	return h ^ h>>murmurShift
}
