package forward

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the cost model. The token rates are those that the operators publish
// for their engines. See docs/decisions/0009-users-machines.md.
const (
	prefillTokensPerMs   = 50.0                    // average, including the time lost to running requests
	stepMsPerRequest     = 0.1                     // added to each engine step by one more running request
	stepsPerPrompt       = 4                       // engine steps that a typical prompt waits for
	memoryOvercommitWait = 1500 * time.Millisecond // expected wait if the memory is overcommitted by its whole capacity

	peerTokensPerMs = 2500.0 // transfer rate between two endpoints, limited by the link
	peerLatencyMs   = 6.0    // time until a fetch from another endpoint starts

	// maxFetchToPrefillRatio lets a fetch take longer than the prefill that it
	// replaces, because prefill also delays other requests.
	maxFetchToPrefillRatio = 3.0

	// fetchAllowanceMs extends that limit for small first parts: if one is not fetched,
	// all later parts must be prefilled.
	fetchAllowanceMs = 40.0

	tieBreakSpreadMs = 4.0 // difference between the first and the last endpoint in hash order

	// unseenWorkMs is for an endpoint that isn't among the preferred ones of a prefix: the
	// prefill of a prompt by a peer that chose it at the same time.
	unseenWorkMs = 100.0

	crossDomainMs = 3.0  // cost of a connection to another failure domain
	coldPenaltyMs = 50.0 // for an endpoint that is still warming up

	// evictionCostShare is the share of a token's prefill time that is added for the
	// cache entries that it evicts.
	evictionCostShare = 0.35

	// recomputeCostShare is the share of a shared token's prefill time that is added
	// because the token has been or will be prefilled on another endpoint too.
	recomputeCostShare = 0.65

	// plainRequestMs is the cost of each active request at a service without a model
	// engine, divided by the endpoint's slots.
	plainRequestMs = 20.0

	// outdatedPenaltyMs is for an endpoint with older weights than the target version,
	// whose answers are worth slightly less.
	outdatedPenaltyMs = 150.0

	// suspectPenaltyMs makes a suspect endpoint the last resort, and likewise, for a
	// long-running prompt, an endpoint that should get none.
	suspectPenaltyMs = 10_000.0
)

// Candidate is an endpoint that the request may be placed on.
type Candidate struct {
	Endpoint         Endpoint
	Load             EndpointLoad // from all processes
	Residency        *Residency
	Usable           bool          // false while the endpoint is suspect, refuses requests or loads weights
	Excluded         bool          // already tried, or not allowed for this request
	OverLimit        bool          // this process's part of the endpoint's limit is used up
	PausedUntil      time.Duration // the endpoint wants no requests from this process before this time
	Outdated         bool          // has older weights than the target version
	OutdatedSince    time.Duration // if Outdated, the earliest time at which the first newer version may have been set
	ExpiresAt        time.Duration // if Outdated, prompts must begin on its weights before this time
	AvoidLongRunning bool          // should get no long-running prompts, because it is about to load weights
}

// PlacementRequest describes a request to be placed.
type PlacementRequest struct {
	Prompt        *Prompt // nil for services without a model engine
	FailureDomain string  // failure domain of this process
	Engine        *Engine
	CacheGroup    string       // group of customers that share cached prompts
	Stores        []*StoreView // nil while fetching is not allowed
	StartIndex    int          // index of the candidate to evaluate first, which wins ties
	Unseen        float64      // prompts that peers have placed and that this process doesn't know of yet, on average
	Now           time.Duration
	Ranked        bool // the request is sent with a rank
	Rank          int
	Fetchable     func(model string, version int64) bool  // see Rollout.Fetchable
	Tentative     bool                                    // the choice may not be used; see Choice.RecordTransfers
	Observe       func(index int, cost float64, c Choice) // called for each candidate, unless nil
}

// Choice is the result of placing a request.
type Choice struct {
	Index            int // index of the candidate, -1 if none can take the request
	ExpectedWait     time.Duration
	QueueWait        time.Duration // part of ExpectedWait that is caused by other requests
	FetchMs          float64       // part of ExpectedWait that is spent on fetching cached parts
	Load             RequestLoad
	Salt             string // cache salt for the endpoint's weights
	Version          int64  // weight version of the endpoint, 0 if unknown
	CachedTokens     int    // prompt tokens expected in the endpoint's memory
	FetchedTokens    int    // prompt tokens expected to be fetched from stores and other endpoints
	RecomputedTokens int    // shared prompt tokens expected to be prefilled
	Plan             StorePlan
	Suspect          bool // true if no usable endpoint was left

	fetchMask uint64 // bit i is set if part i is fetched from its source in the plan
}

// Choose places a request on the endpoint with the lowest expected time to the first
// event. For prompts that share long prefixes and return at irregular intervals, this
// selects an endpoint that has the shared parts in memory, unless waiting in its
// queue costs more than prefilling them again elsewhere.
//
// Load pattern: entries that know the same loads choose the same endpoint until they hear of each
// other's choices. Each prefix therefore has preferred endpoints, by hash: so few that on average
// at most one of the unseen prompts prefers the same endpoint.
func Choose(t PlacementRequest, cs []Candidate) Choice {
	best, bestCost := Choice{Index: -1}, math.Inf(1)
	plans := planCache{request: &t, candidates: cs, byVersion: map[int64]*versionPlan{}}
	for k := range cs {
		i := (t.StartIndex + k) % len(cs)
		c := &cs[i]
		if c.Excluded || c.OverLimit || c.Paused(t.Now) {
			continue
		}
		cost, choice := t.cost(c, &plans)
		if c.Outdated && t.Now+choice.ExpectedWait >= c.ExpiresAt {
			continue // the prompt begins with its first token, after the wait
		}
		if !c.Usable {
			cost += suspectPenaltyMs
		}
		if c.AvoidLongRunning && t.Prompt != nil && t.Prompt.LongRunning() {
			cost += suspectPenaltyMs
		}
		if c.Outdated {
			cost += outdatedPenaltyMs
		}
		if t.Observe != nil {
			t.Observe(i, cost, choice)
		}
		if cost < bestCost {
			choice.Index, choice.Suspect = i, !c.Usable
			best, bestCost = choice, cost
		}
	}
	if best.Index >= 0 && t.Prompt != nil && t.Engine != nil {
		if !t.Tentative {
			best.recordTransfers(&cs[best.Index], t.Prompt.SharedParts(), plans.forVersion(best.Version).keys, t.Now)
		}
		best.selectSources()
	}
	return best
}

// recordTransfers adds the fetches of parts that are not expected in the endpoint's memory
// to the queues of their stores.
func (c *Choice) recordTransfers(cand *Candidate, parts []Part, keys []uint64, now time.Duration) {
	for i, s := range c.Plan.Fetch {
		if c.fetchMask&(1<<i) != 0 && s.Store != nil && (cand.Residency == nil || !cand.Residency.Has(keys[i])) {
			s.Store.recordTransfer(parts[i].Tokens, now)
		}
	}
}

// selectSources removes the sources that are not worth fetching from for the chosen
// endpoint.
func (c *Choice) selectSources() {
	fetch := make([]Source, len(c.Plan.Fetch))
	for i, s := range c.Plan.Fetch {
		if c.fetchMask&(1<<i) != 0 {
			fetch[i] = s
		}
	}
	c.Plan.Fetch = fetch
}

// cost returns the estimated cost of the request on c in ms, and the Choice for c.
func (t *PlacementRequest) cost(c *Candidate, plans *planCache) (float64, Choice) {
	cost := 0.0
	if c.Endpoint.FailureDomain != t.FailureDomain {
		cost += crossDomainMs
	}
	if c.Endpoint.WarmUpRemaining > 0 {
		cost += coldPenaltyMs
	}
	if t.Prompt == nil || t.Engine == nil {
		slots := float64(max(c.Endpoint.Slots, 1))
		wait := max(0, float64(c.Load.Active)-slots+1) * plainRequestMs
		return cost + plainRequestMs*float64(c.Load.Active)/slots + wait,
			Choice{ExpectedWait: time.Duration(wait * float64(time.Millisecond))}
	}
	ch := Choice{Version: c.weightVersion(t.Prompt.Model)}
	vp := plans.forVersion(ch.Version)
	ch.Salt, ch.Plan = vp.salt, vp.StorePlan
	recomputed := t.estimatePrefix(c, vp, &ch)
	ch.RecomputedTokens = recomputed
	prefillTokens := max(t.Prompt.Tokens-ch.CachedTokens-ch.FetchedTokens, 0)
	ch.Load = RequestLoad{PrefillTokens: prefillTokens, MemoryTokens: t.Prompt.Tokens + outputEstimate(t.Prompt), LongRunning: t.Prompt.LongRunning(), Ranked: t.Ranked, Rank: t.Rank}
	ownWait := ch.FetchMs + float64(prefillTokens)/prefillTokensPerMs
	queueWait := t.queueMs(c.Load, ch.Load)
	ch.QueueWait = time.Duration(queueWait * float64(time.Millisecond))
	ch.ExpectedWait = time.Duration((queueWait + ownWait) * float64(time.Millisecond))
	cost += queueWait + ownWait + (evictionCostShare*float64(prefillTokens+ch.FetchedTokens)+recomputeCostShare*float64(recomputed))/prefillTokensPerMs + t.spreadMs(c.Endpoint.ID)
	return cost, ch
}

// spreadMs returns the part of the cost that lets different prefixes prefer different endpoints.
func (t *PlacementRequest) spreadMs(endpoint string) float64 {
	order := t.hashOrder(endpoint)
	spread := tieBreakSpreadMs * order
	if order*t.Unseen > 1 {
		spread += unseenWorkMs
	}
	return spread
}

// queueMs returns the expected time in ms that a request waits for a load on its endpoint.
func (t *PlacementRequest) queueMs(l EndpointLoad, own RequestLoad) float64 {
	if own.Ranked {
		l = l.AheadOf(own.Rank)
	}
	wait := float64(l.PrefillTokens)/prefillTokensPerMs + stepMsPerRequest*stepsPerPrompt*float64(l.Active)
	if overcommit := l.MemoryTokens + own.MemoryTokens - t.Engine.CapacityTokens; overcommit > 0 {
		wait += float64(overcommit) / float64(t.Engine.CapacityTokens) * float64(memoryOvercommitWait/time.Millisecond)
	}
	return wait
}

// weightVersion returns the endpoint's weight version of a model, 0 if unknown.
func (c *Candidate) weightVersion(model string) int64 { return c.Endpoint.WeightVersion(model) }

// WeightVersion returns the endpoint's weight version of a model, 0 if unknown.
func (e *Endpoint) WeightVersion(model string) int64 {
	for _, m := range e.Models {
		if m.Name == model {
			return m.Version
		}
	}
	return 0
}

// longOutputTokens is the number of output tokens from which a request counts as
// long-running: decoding them takes longer than loading new weights.
const longOutputTokens = 24

// LongRunning reports whether the prompt is expected to decode for longer than loading new
// weights takes.
func (p *Prompt) LongRunning() bool { return outputEstimate(p) >= longOutputTokens }

// outputEstimate returns the expected number of output tokens.
func outputEstimate(p *Prompt) int {
	if p.OutputHint > 0 {
		return min(p.OutputHint, p.MaxOutput)
	}
	return p.MaxOutput
}

// estimatePrefix records in ch how many tokens at the start of the prompt are in
// memory and how many are fetched. It returns the number of shared tokens that must
// be prefilled. Once a part is prefilled, all later parts are prefilled too, so it
// compares the prefixes: a slow fetch of a small part can be worth it for a large one
// that follows.
func (t *PlacementRequest) estimatePrefix(c *Candidate, vp *versionPlan, ch *Choice) (recomputed int) {
	parts := t.Prompt.SharedParts()
	end, gain, bestGain := 0, fetchAllowanceMs, 0.0
	var queued *StoreView // the store whose queue is part of gain
	for i, p := range parts {
		if c.Residency == nil || !c.Residency.Has(vp.keys[i]) {
			source := vp.Fetch[i]
			if source.Address == "" || source.Address == c.Endpoint.Address {
				break
			}
			gain -= source.Ms
			if source.Store != queued {
				gain -= source.QueueMs
				queued = source.Store
			}
		}
		gain += maxFetchToPrefillRatio * float64(p.Tokens) / prefillTokensPerMs
		if gain >= bestGain {
			end, bestGain = i+1, gain
		}
	}
	queued = nil
	for i, p := range parts {
		source := vp.Fetch[i]
		resident := c.Residency != nil && c.Residency.Has(vp.keys[i])
		switch {
		case i >= end:
			recomputed += p.Tokens
			continue
		case resident:
			ch.CachedTokens += p.Tokens
		default:
			ch.FetchedTokens += p.Tokens
			ch.FetchMs += source.Ms
			if source.Store != queued {
				ch.FetchMs += source.QueueMs
				queued = source.Store
			}
		}
		if source.Address != "" && source.Address != c.Endpoint.Address {
			ch.fetchMask |= 1 << i // set for a resident part too, because it may have been evicted
		}
	}
	return recomputed
}

// planCache computes the sources of the prompt's parts once for each weight version
// that endpoints have.
type planCache struct {
	request    *PlacementRequest
	candidates []Candidate
	byVersion  map[int64]*versionPlan
}

// versionPlan holds what is computed for the endpoints with one weight version.
type versionPlan struct {
	StorePlan
	salt string
	keys []uint64 // cache keys of the shared parts
}

func (pc *planCache) forVersion(version int64) *versionPlan {
	if p := pc.byVersion[version]; p != nil {
		return p
	}
	t := pc.request
	shared := t.Prompt.SharedParts()
	p := &versionPlan{salt: Salt(t.CacheGroup, t.Prompt.Model, version), StorePlan: StorePlan{Fetch: make([]Source, len(shared))}}
	for _, part := range shared {
		p.keys = append(p.keys, PartKey(p.salt, part.ID))
	}
	pc.byVersion[version] = p
	if version == 0 { // with an unknown version no cached part can be identified
		return p
	}
	if t.Stores != nil && t.Fetchable(t.Prompt.Model, version) {
		p.StorePlan = PlanStores(t.Stores, t.Prompt, p.salt, t.Now)
	}
	for i, part := range shared {
		if s, ok := pc.fastestPeer(p.keys[i], part.Tokens); ok && (p.Fetch[i].Address == "" || s.Ms < p.Fetch[i].Ms+p.Fetch[i].QueueMs) {
			p.Fetch[i] = s
		}
	}
	return p
}

// fastestPeer returns the endpoint from which a part can be fetched in the shortest
// time, among those that used it so recently that it must still be in memory.
func (pc *planCache) fastestPeer(key uint64, tokens int) (Source, bool) {
	best := Source{}
	for i := range pc.candidates {
		c := &pc.candidates[i]
		if !c.Usable || c.Residency == nil || !c.Residency.CanFetch(key, pc.request.Engine.CapacityTokens, pc.request.Now) {
			continue
		}
		ms := peerLatencyMs + float64(tokens)/peerTokensPerMs
		if c.Endpoint.FailureDomain != pc.request.FailureDomain {
			ms *= 2
		}
		if best.Address == "" || ms < best.Ms {
			best = Source{Address: c.Endpoint.Address, Ms: ms}
		}
	}
	return best, best.Address != ""
}

// hashOrder returns the endpoint's position, from 0 to 1, in a hash order that
// depends on the prompt's longest shared prefix. It is the same in every process, so
// that all processes prefer the same endpoint for a prefix if the costs are about equal.
func (t *PlacementRequest) hashOrder(id string) float64 {
	shared := t.Prompt.SharedParts()
	if len(shared) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{t.CacheGroup, shared[len(shared)-1].ID, id} {
		_, _ = d.WriteString(s) // never returns an error
		_, _ = d.Write([]byte{0})
	}
	return float64(d.Sum64()) / math.MaxUint64
}
