// Package placementsim simulates contexts that are exported to one store and
// requested again later, in order to compare placement policies.
package placementsim

import (
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/prefix"
)

const (
	stepInterval           = 36 * time.Second // time between the ends of two contexts
	minReturnSteps         = 20               // steps until a context is requested again
	maxReturnSteps         = 400
	memoryBytes            = 8 << 30
	diskBytes              = 16 << 30
	linkBytesPerSecond     = 2000 << 20
	kvBytesPerToken        = 64 << 10
	prefillTokensPerSecond = 8000
)

type simContext struct {
	placement.StoredBlock
	tokens      float64
	createdStep int
}

// simulation is one store with contexts of customers that return with different
// probabilities.
type simulation struct {
	policy                                   placement.Policy
	rng                                      *rand.Rand
	contexts                                 []simContext // indexed by the step in which the context ended
	returns                                  map[int]int  // index of the context that is requested again, by step
	used, size                               map[placement.Tier]int64
	requestedTokens, cachedTokens, sentBytes float64
}

func newSimulation(p placement.Policy, seed uint64) *simulation {
	return &simulation{
		policy: p, rng: rand.New(rand.NewPCG(seed, 0)), returns: map[int]int{}, used: map[placement.Tier]int64{},
		size: map[placement.Tier]int64{placement.Memory: memoryBytes, placement.Disk: diskBytes},
	}
}

func (s *simulation) use(t placement.Tier) float64 { return float64(s.used[t]) / float64(s.size[t]) }

// step counts the context that is requested again in step i, if any, and then ends a new
// context, which is exported if the policy decides so.
func (s *simulation) step(i int) {
	if j, ok := s.returns[i]; ok {
		s.requestedTokens += s.contexts[j].tokens
		if s.contexts[j].Tier != "" {
			s.cachedTokens += s.contexts[j].tokens
		}
	}
	chance := []float64{0.05, 0.3, 0.95}[i%3]
	tokens := float64(prefix.PieceTokens * (1 + s.rng.IntN(16)))
	gap := minReturnSteps + s.rng.IntN(maxReturnSteps-minReturnSteps)
	if s.rng.Float64() < chance {
		for s.returns[i+gap] != 0 {
			gap++
		}
		s.returns[i+gap] = i
	}
	b := simContext{tokens: tokens, createdStep: i}
	c := &placement.Candidate{
		Bytes: int64(tokens) * kvBytesPerToken, PrefillTime: time.Duration(tokens / prefillTokensPerSecond * float64(time.Second)),
		Return: placement.ReturnEstimate{Probability: chance, TimeToReturn: (minReturnSteps + maxReturnSteps) / 2 * stepInterval},
		Link:   placement.Link{BytesPerSecond: linkBytesPerSecond},
		Space:  placement.TierUsage{MemoryUse: s.use(placement.Memory), DiskUse: s.use(placement.Disk)},
	}
	if d := s.policy.Export(c); d.Export && s.makeRoom(c, d, i) {
		b.StoredBlock = placement.StoredBlock{Bytes: c.Bytes, Tier: d.Tier, Value: d.Value, ReturnAge: c.Return.TimeToReturn}
		s.used[d.Tier] += c.Bytes
		s.sentBytes += float64(c.Bytes)
	}
	s.contexts = append(s.contexts, b)
}

// makeRoom evicts contexts chosen by the policy until the candidate fits, and reports
// whether it does.
func (s *simulation) makeRoom(c *placement.Candidate, d placement.Decision, i int) bool {
	shortfall := s.used[d.Tier] + c.Bytes - s.size[d.Tier]
	if shortfall <= 0 {
		return true
	}
	all := make([]placement.StoredBlock, len(s.contexts))
	for j, h := range s.contexts {
		all[j] = h.StoredBlock
		all[j].Age = time.Duration(i-h.createdStep) * stepInterval
	}
	victims := s.policy.Evict(all, d.Tier, shortfall, d.Value)
	for _, j := range victims {
		s.used[d.Tier] -= s.contexts[j].Bytes
		s.contexts[j].StoredBlock = placement.StoredBlock{}
	}
	return victims != nil
}
