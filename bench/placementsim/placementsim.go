// Package placementsim plays returning contexts against one store, to compare
// placement policies.
package placementsim

import (
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/prefix"
)

const (
	simStep     = 36 * time.Second // between the ends of two contexts
	simMinGap   = 20               // steps until a return
	simMaxGap   = 400
	simMemory   = 8 << 30 // bytes
	simDisk     = 16 << 30
	simLink     = 2000 << 20
	kvPerToken  = 64 << 10
	prefillRate = 8000 // tokens per second
)

type simBlock struct {
	placement.StoredBlock
	tokens float64
	at     int
}

// simulation plays contexts of customers with different habits against one store.
type simulation struct {
	policy             placement.Policy
	rng                *rand.Rand
	held               []simBlock // one for each context
	returns            map[int]int
	used, size         map[placement.Tier]int64
	asked, found, sent float64
}

func newSimulation(p placement.Policy, seed uint64) *simulation {
	return &simulation{
		policy: p, rng: rand.New(rand.NewPCG(seed, 0)), returns: map[int]int{}, used: map[placement.Tier]int64{},
		size: map[placement.Tier]int64{placement.Memory: simMemory, placement.Disk: simDisk},
	}
}

func (s *simulation) use(t placement.Tier) float64 { return float64(s.used[t]) / float64(s.size[t]) }

func (s *simulation) step(i int) {
	if j, ok := s.returns[i]; ok {
		s.asked += s.held[j].tokens
		if s.held[j].Tier != "" {
			s.found += s.held[j].tokens
		}
	}
	chance := []float64{0.05, 0.3, 0.95}[i%3]
	tokens := float64(prefix.PieceTokens * (1 + s.rng.IntN(16)))
	gap := simMinGap + s.rng.IntN(simMaxGap-simMinGap)
	if s.rng.Float64() < chance {
		for s.returns[i+gap] != 0 {
			gap++
		}
		s.returns[i+gap] = i
	}
	b := simBlock{tokens: tokens, at: i}
	c := &placement.Candidate{
		Bytes: int64(tokens) * kvPerToken, PrefillTime: time.Duration(tokens / prefillRate * float64(time.Second)),
		Return: placement.ReturnEstimate{Probability: chance, TimeToReturn: (simMinGap + simMaxGap) / 2 * simStep},
		Link:   placement.Link{BytesPerSecond: simLink},
		Space:  placement.TierUsage{MemoryUse: s.use(placement.Memory), DiskUse: s.use(placement.Disk)},
	}
	if d := s.policy.Export(c); d.Export && s.fits(c, d, i) {
		b.StoredBlock = placement.StoredBlock{Bytes: c.Bytes, Tier: d.Tier, Value: d.Value, ReturnAge: c.Return.TimeToReturn}
		s.used[d.Tier] += c.Bytes
		s.sent += float64(c.Bytes)
	}
	s.held = append(s.held, b)
}

// fits makes way for a block if needed, as the policy says.
func (s *simulation) fits(c *placement.Candidate, d placement.Decision, i int) bool {
	lack := s.used[d.Tier] + c.Bytes - s.size[d.Tier]
	if lack <= 0 {
		return true
	}
	all := make([]placement.StoredBlock, len(s.held))
	for j, h := range s.held {
		all[j] = h.StoredBlock
		all[j].Age = time.Duration(i-h.at) * simStep
	}
	victims := s.policy.Evict(all, d.Tier, lack, d.Value)
	for _, j := range victims {
		s.used[d.Tier] -= s.held[j].Bytes
		s.held[j].StoredBlock = placement.StoredBlock{}
	}
	return victims != nil
}
