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
	peerPerMs       = 2500.0                  // tokens fetched from another endpoint in a ms, by its link
	peerFirst       = 6.0                     // ms until such a fetch begins
	fetchOverRead   = 3.0                     // a fetch may take so many times as long as reading, which takes others' time
	fetchAllowance  = 40.0                    // ms beyond that: without a small first part the ones after it are read too
	tieSpread       = 4.0                     // ms between the first and the last in the order by hash
	otherDomain     = 3.0                     // ms that a connection to another failure domain costs
	coldPenalty     = 50.0                    // ms for an endpoint that is still slow after its start
	evictionShare   = 0.35                    // cost of a token, added for what it evicts
	againShare      = 0.65                    // cost of a shared token read, added as it was or will be read elsewhere too
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
	First         int          // index of the candidate that is looked at first; it wins ties
	Now           time.Duration
	Fetchable     func(model string, version int64) bool
}

// Choice is the endpoint that takes the request.
type Choice struct {
	Index   int // -1 when none can take it
	Wait    time.Duration
	Queue   time.Duration // of the wait, what others cause
	FetchMs float64       // of the wait
	Work    Work
	Salt    string // of the endpoint's weights
	Version int64  // of the endpoint's weights, 0 when unknown
	Cached  int    // prompt tokens expected in memory
	Fetched int    // prompt tokens expected from stores and other endpoints
	Read    int    // shared prompt tokens expected to be read
	Plan    StorePlan
	Suspect bool // only a suspect endpoint was left

	sources uint64 // bit i: part i is fetched as the plan says
}

// Choose places a request on the endpoint with the lowest expected time to the
// first event. Load pattern: prompts of a few subjects that return at uneven
// gaps, so that a prompt goes where its shared parts are unless the queue there
// costs more than reading them again.
func Choose(t Task, cs []Candidate) Choice {
	best, bestCost := Choice{Index: -1}, math.Inf(1)
	plans := plans{task: &t, candidates: cs, byVersion: map[int64]*versionPlan{}}
	for k := range cs {
		i := (t.First + k) % len(cs)
		c := &cs[i]
		if c.Excluded {
			continue
		}
		cost, choice := t.cost(c, &plans)
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
	if best.Index >= 0 && t.Prompt != nil && t.Engine != nil {
		best.takeSources()
	}
	return best
}

// takeSources keeps the sources that are worth it for the chosen endpoint.
func (c *Choice) takeSources() {
	fetch := make([]Source, len(c.Plan.Fetch))
	for i, s := range c.Plan.Fetch {
		if c.sources&(1<<i) != 0 {
			fetch[i] = s
		}
	}
	c.Plan.Fetch = fetch
}

func (t *Task) cost(c *Candidate, plans *plans) (float64, Choice) {
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
	vp := plans.of(ch.Version)
	ch.Salt, ch.Plan = vp.salt, vp.StorePlan
	again := t.prefix(c, vp, &ch)
	ch.Read = again
	read := max(t.Prompt.Tokens-ch.Cached-ch.Fetched, 0)
	ch.Work = Work{Prefill: read, Memory: t.Prompt.Tokens + outputEstimate(t.Prompt), Long: t.Prompt.Long()}
	wait := float64(c.Load.Prefill+read)/prefillPerMs + slotStep*stepsPerPrompt*float64(c.Load.Active)
	wait += ch.FetchMs
	if over := c.Load.Memory + ch.Work.Memory - t.Engine.CapacityTokens; over > 0 {
		wait += float64(over) / float64(t.Engine.CapacityTokens) * float64(overMemory/time.Millisecond)
	}
	own := ch.FetchMs + float64(read)/prefillPerMs
	ch.Queue = time.Duration((wait - own) * float64(time.Millisecond))
	ch.Wait = time.Duration(wait * float64(time.Millisecond))
	cost += wait + (evictionShare*float64(read+ch.Fetched)+againShare*float64(again))/prefillPerMs + tieSpread*t.order(c.Endpoint.ID)
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

// prefix works out how many tokens at the start of the prompt are in memory and how
// many are fetched, and returns the shared tokens that are read.
func (t *Task) prefix(c *Candidate, vp *versionPlan, ch *Choice) (again int) {
	broken := false // a part is read; the later ones are read too
	for i, p := range t.Prompt.Shared() {
		resident := c.Cached != nil && c.Cached.Has(vp.keys[i])
		source := vp.Fetch[i]
		useful := source.Address != "" && source.Address != c.Endpoint.Address && source.Ms < fetchOverRead*float64(p.Tokens)/prefillPerMs+fetchAllowance
		if useful && !broken {
			ch.sources |= 1 << i // also of a resident part, which may have been evicted
		}
		switch {
		case broken || !resident && !useful:
			broken = true
			again += p.Tokens
		case resident:
			ch.Cached += p.Tokens
		default:
			ch.Fetched += p.Tokens
			ch.FetchMs += source.Ms
		}
	}
	return again
}

// plans works the sources of a prompt's parts out once for each weight version that
// endpoints have.
type plans struct {
	task       *Task
	candidates []Candidate
	byVersion  map[int64]*versionPlan
}

type versionPlan struct {
	StorePlan
	salt string
	keys []uint64 // of the shared parts
}

func (ps *plans) of(version int64) *versionPlan {
	if p := ps.byVersion[version]; p != nil {
		return p
	}
	t := ps.task
	shared := t.Prompt.Shared()
	p := &versionPlan{salt: Salt(t.Group, t.Prompt.Model, version), StorePlan: StorePlan{Fetch: make([]Source, len(shared))}}
	for _, part := range shared {
		p.keys = append(p.keys, PartKey(p.salt, part.ID))
	}
	ps.byVersion[version] = p
	if version == 0 { // unknown: nothing cached may be named
		return p
	}
	if t.Stores != nil && t.Fetchable(t.Prompt.Model, version) {
		p.StorePlan = PlanStores(t.Stores, t.Prompt, p.salt, t.Now)
	}
	for i, part := range shared {
		if s, ok := ps.peer(p.keys[i], part.Tokens); ok && (p.Fetch[i].Address == "" || s.Ms < p.Fetch[i].Ms) {
			p.Fetch[i] = s
		}
	}
	return p
}

// peer returns the endpoint that a part can be fetched from soonest: one that used
// it so recently that it must still be in memory.
func (ps *plans) peer(key uint64, tokens int) (Source, bool) {
	best := Source{}
	for i := range ps.candidates {
		c := &ps.candidates[i]
		if !c.Usable || c.Cached == nil || !c.Cached.Certain(key, ps.task.Engine.CapacityTokens, ps.task.Now) {
			continue
		}
		ms := peerFirst + float64(tokens)/peerPerMs
		if c.Endpoint.FailureDomain != ps.task.FailureDomain {
			ms *= 2
		}
		if best.Address == "" || ms < best.Ms {
			best = Source{Address: c.Endpoint.Address, Ms: ms}
		}
	}
	return best, best.Address != ""
}

// order is the place of the endpoint among all for the prompt's longest shared
// part, from 0 to 1, the same in every process.
func (t *Task) order(id string) float64 {
	shared := t.Prompt.Shared()
	if len(shared) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{t.Group, shared[len(shared)-1].ID, id} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return float64(d.Sum64()) / math.MaxUint64
}
