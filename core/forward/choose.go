package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Figures of the placement. The rates are those that the operators publish for
// their engines; docs/decisions/0009-users-machines.md.
const (
	prefillPerMs    = 50.0                    // prompt tokens read in a ms, with the pauses of running requests
	slotStep        = 0.1                     // ms that one more running request adds to each step
	stepsPerPrompt  = 4                       // steps that a prompt of usual length waits for
	overMemory      = 1500 * time.Millisecond // wait for memory that is not there, for a whole memory
	fetchPerMs      = 180.0                   // tokens fetched from a store in a ms, by its link
	fetchFirst      = 8.0                     // ms until a fetch begins
	tieSpread       = 4.0                     // ms between the first and the last in the order by hash
	otherDomain     = 3.0                     // ms that a connection to another failure domain costs
	coldPenalty     = 50.0                    // ms for an endpoint that is still slow after its start
	evictionShare   = 0.35                    // cost of a token read, added for what it evicts
	plainCost       = 20.0                    // ms of one request more at a plain service, per slot in use
	outdatedPenalty = 150.0                   // ms: answers on older weights are worth a little less
	suspectPenalty  = 10_000.0                // ms: only taken when no other is there
)

// Candidate is an endpoint as the placement sees it.
type Candidate struct {
	Endpoint Endpoint
	Load     Load // of all processes
	Cached   *Residency
	Usable   bool // not suspect
	Excluded bool // already tried, or not to be used
	Outdated bool // has older weights than were named
	Emptying bool // gets no long prompts
}

// Task is what is to be placed.
type Task struct {
	Prompt        *Prompt // nil for plain services
	FailureDomain string  // of this process
	Engine        *Engine
	Group         string       // customers that may share cached prompts
	Stores        []*StoreView // nil when fetching is not allowed now
	Now           time.Duration
	Fetchable     func(model string, version int64) bool
}

// Choice is the endpoint that takes the request.
type Choice struct {
	Index   int // -1 when none can take it
	Wait    time.Duration
	Work    Work
	Salt    string // of the endpoint's weights
	Version int64  // of the endpoint's weights, 0 when unknown
	Cached  int    // prompt tokens expected in memory
	Fetched int    // prompt tokens expected from stores
	Plan    StorePlan
	Suspect bool // only a suspect endpoint was left
}

// Choose places a request on the endpoint with the lowest expected time to the
// first event. Load pattern: prompts of a few subjects that return at uneven
// gaps, so that a prompt goes where its shared parts are unless the queue there
// costs more than reading them again.
func Choose(t Task, cs []Candidate) Choice {
	best, bestCost := Choice{Index: -1}, math.Inf(1)
	plans := map[string]StorePlan{}
	for i := range cs {
		c := &cs[i]
		if c.Excluded {
			continue
		}
		cost, choice := t.cost(c, plans)
		if !c.Usable {
			cost += suspectPenalty
		}
		if c.Emptying && t.Prompt != nil && t.Prompt.Long() {
			cost += suspectPenalty
		}
		if c.Outdated {
			cost += outdatedPenalty
		}
		if cost < bestCost {
			choice.Index, choice.Suspect = i, !c.Usable
			best, bestCost = choice, cost
		}
	}
	return best
}

func (t *Task) cost(c *Candidate, plans map[string]StorePlan) (float64, Choice) {
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
	ch := Choice{Version: c.version(t.Prompt.Model)}
	ch.Salt = Salt(t.Group, t.Prompt.Model, ch.Version)
	plan, ok := plans[ch.Salt]
	if !ok && ch.Version > 0 && t.Stores != nil && t.Fetchable(t.Prompt.Model, ch.Version) {
		plan = PlanStores(t.Stores, t.Prompt, ch.Salt, t.Now)
		plans[ch.Salt] = plan
	}
	ch.Plan = plan
	ch.Cached, ch.Fetched = t.prefix(c, &ch)
	read := max(t.Prompt.Tokens-ch.Cached-ch.Fetched, 0)
	ch.Work = Work{Prefill: read, Memory: t.Prompt.Tokens + outputEstimate(t.Prompt), Long: t.Prompt.Long()}
	wait := float64(c.Load.Prefill+read)/prefillPerMs + slotStep*stepsPerPrompt*float64(c.Load.Active)
	if ch.Fetched > 0 {
		wait += fetchFirst + float64(ch.Fetched)/fetchPerMs
	}
	if over := c.Load.Memory + ch.Work.Memory - t.Engine.CapacityTokens; over > 0 {
		wait += float64(over) / float64(t.Engine.CapacityTokens) * float64(overMemory/time.Millisecond)
	}
	ch.Wait = time.Duration(wait * float64(time.Millisecond))
	cost += wait + evictionShare*float64(read+ch.Fetched)/prefillPerMs + tieSpread*t.order(c.Endpoint.ID)
	return cost, ch
}

// version returns the weights that the endpoint has of a model, 0 when unknown.
func (c *Candidate) version(model string) int64 {
	for _, m := range c.Endpoint.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// longOutput is the number of output tokens from which a run is a long one: its
// steps take longer than loading new weights.
const longOutput = 24

// Long tells whether the prompt's run takes long.
func (p *Prompt) Long() bool { return outputEstimate(p) >= longOutput }

// outputEstimate is the expected number of output tokens.
func outputEstimate(p *Prompt) int {
	if p.Length > 0 {
		return min(p.Length, p.MaxOutput)
	}
	return p.MaxOutput
}

// prefix returns how many tokens at the start of the prompt are in memory and how
// many can be fetched.
func (t *Task) prefix(c *Candidate, ch *Choice) (cached, fetched int) {
	for i, p := range t.Prompt.Shared() {
		switch {
		case c.Cached != nil && c.Cached.Has(PartKey(ch.Salt, p.ID)):
			cached += p.Tokens
		case i < len(ch.Plan.Fetch) && ch.Plan.Fetch[i] != nil:
			fetched += p.Tokens
		default:
			return cached, fetched
		}
	}
	return cached, fetched
}

// order is the place of the endpoint among all for the prompt's longest shared
// part, from 0 to 1, the same in every process.
func (t *Task) order(id string) float64 {
	shared := t.Prompt.Shared()
	if len(shared) == 0 {
		return 0
	}
	h := xxhash.Sum64String(t.Group + "\x00" + shared[len(shared)-1].ID + "\x00" + id)
	return float64(h) / math.MaxUint64
}
