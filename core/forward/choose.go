package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of the placement. The rates are those that the operators publish for
// their engines; docs/decisions/0009-users-machines.md.
const (
	prefillPerMs   = 50.0                    // prompt tokens read in a ms, with the pauses of running requests
	slotStep       = 0.1                     // ms that one more running request adds to each step
	stepsPerPrompt = 4                       // steps that a prompt of usual length waits for
	overMemory     = 1500 * time.Millisecond // wait for memory that is not there, for a whole memory
	tieSpread      = 4.0                     // ms between the first and the last in the order by hash
	otherDomain    = 3.0                     // ms that a connection to another failure domain costs
	coldPenalty    = 50.0                    // ms for an endpoint that is still slow after its start
	evictionShare  = 0.35                    // cost of a token read, added for what it evicts
	plainCost      = 20.0                    // ms of one request more at a plain service, per slot in use
	suspectPenalty = 10_000.0                // ms: only taken when no other is there
)

// Candidate is an endpoint as the placement sees it.
type Candidate struct {
	Endpoint Endpoint
	Load     Load // of all processes
	Cached   *Residency
	Usable   bool // not suspect
	Excluded bool // already tried, or not to be used
	Outdated bool // has older weights than were named
}

// Task is what is to be placed.
type Task struct {
	Prompt        *Prompt // nil for plain services
	Salt          string
	FailureDomain string // of this process
	Engine        *Engine
}

// Choice is the endpoint that takes the request.
type Choice struct {
	Index   int // -1 when none can take it
	Wait    time.Duration
	Work    Work
	Cached  int  // prompt tokens expected in memory
	Suspect bool // only a suspect endpoint was left
}

// Choose places a request on the endpoint with the lowest expected time to the
// first event. Load pattern: prompts of a few subjects that return at uneven
// gaps, so that a prompt goes where its shared parts are unless the queue there
// costs more than reading them again.
func Choose(t Task, cs []Candidate) Choice {
	best, bestCost := Choice{Index: -1}, math.Inf(1)
	for i := range cs {
		c := &cs[i]
		if c.Excluded {
			continue
		}
		cost, choice := t.cost(c)
		if !c.Usable {
			cost += suspectPenalty
		}
		if c.Outdated {
			cost += suspectPenalty / 2
		}
		if cost < bestCost {
			choice.Index, choice.Suspect = i, !c.Usable
			best, bestCost = choice, cost
		}
	}
	return best
}

func (t *Task) cost(c *Candidate) (float64, Choice) {
	cost := 0.0
	if c.Endpoint.FailureDomain != t.FailureDomain {
		cost += otherDomain
	}
	if c.Endpoint.ColdLeft > 0 {
		cost += coldPenalty
	}
	if t.Prompt == nil || t.Engine == nil {
		slots := float64(max(c.Endpoint.Slots, 1))
		wait := max(0, float64(c.Load.Active)-slots+1) * plainCost
		return cost + plainCost*float64(c.Load.Active)/slots + wait,
			Choice{Wait: time.Duration(wait * float64(time.Millisecond))}
	}
	cached := t.cached(c)
	read := max(t.Prompt.Tokens-cached, 0)
	w := Work{Prefill: read, Memory: t.Prompt.Tokens + outputEstimate(t.Prompt)}
	wait := float64(c.Load.Prefill+read)/prefillPerMs + slotStep*stepsPerPrompt*float64(c.Load.Active)
	if over := c.Load.Memory + w.Memory - t.Engine.CapacityTokens; over > 0 {
		wait += float64(over) / float64(t.Engine.CapacityTokens) * float64(overMemory/time.Millisecond)
	}
	cost += wait + evictionShare*float64(read)/prefillPerMs + tieSpread*t.order(c.Endpoint.ID)
	return cost, Choice{Wait: time.Duration(wait * float64(time.Millisecond)), Work: w, Cached: cached}
}

// outputEstimate is the expected number of output tokens.
func outputEstimate(p *Prompt) int {
	if p.Length > 0 {
		return min(p.Length, p.MaxOutput)
	}
	return p.MaxOutput
}

// cached returns how many tokens at the start of the prompt are in memory.
func (t *Task) cached(c *Candidate) int {
	n := 0
	for _, p := range t.Prompt.Shared() {
		if c.Cached == nil || !c.Cached.Has(PartKey(t.Salt, p.ID)) {
			break
		}
		n += p.Tokens
	}
	return n
}

// order is the place of the endpoint among all for the prompt's longest shared
// part, from 0 to 1, the same in every process.
func (t *Task) order(id string) float64 {
	shared := t.Prompt.Shared()
	if len(shared) == 0 {
		return 0
	}
	h := xxhash.Sum64String(t.Salt + "\x00" + shared[len(shared)-1].ID + "\x00" + id)
	return float64(h) / math.MaxUint64
}
