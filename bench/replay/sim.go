package replay

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/bench/trace"
	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/retry"
	"github.com/galenaweir/galenaweir/core/routing"
)

// Options configures a replay.
type Options struct {
	Policy routing.Policy
	// Admission is the admission policy of the agents; admission.fair if empty.
	Admission kernel.ID
	// Placement is the placement policy that decides on exports; placement.value if
	// empty.
	Placement kernel.ID
	// Oracle gives the routing policy the exact state of caches, queues and links
	// at the time of each decision.
	Oracle bool
	Seed   uint64
	// NoLimits disables the customers' limits.
	NoLimits bool
	// ReportInterval is the interval between load reports on a stream. If it is zero,
	// only the first and the last frame carry reports.
	ReportInterval time.Duration
	// OnDecision is called for each routing decision, if set.
	OnDecision func(Decision)
}

// memberState is an agent's membership state as the entries see it.
type memberState int

const (
	memberLive memberState = iota
	memberSuspect
	memberGone
)

// Delays after which entries see a membership change (design section 5).
const (
	suspectAfter = 3 * time.Second
	goneAfter    = 10 * time.Second
	liveAfter    = 2 * time.Second
)

// sim is the state of one replay.
type sim struct {
	clock           *clock
	options         Options
	routingPolicy   routing.Policy
	trace           *trace.Trace
	rng             *rand.Rand
	hopDelay        time.Duration
	clientDelay     time.Duration
	kvBytesPerToken float64
	warmup          time.Duration

	agents           []*agent
	members          []memberState
	entries          []*entry
	stores           []*store
	directory        *directory
	weightVersion    int32
	requests         []*request
	conversationIDs  map[string]int32
	built            map[contextKey]int // largest number of tokens that were built of each context
	routingRequest   routing.Request
	contractedShares map[string]float64 // by customer

	attemptCount int
	retryCount   int
	counts       prefillCounts
}

// prefillCounts counts prefill tokens after the warm-up, and exports.
type prefillCounts struct {
	builtBefore           int // prompt tokens whose KV cache had been built before
	recomputed            int // of builtBefore, tokens that were computed again
	exported, notExported int // contexts with new pieces, by the placement decision; includes the warm-up
	unavailable           int // of builtBefore, tokens that no engine and no store held when the prefill started
}

// Run replays the trace and returns the measurements.
func Run(t *trace.Trace, o Options) *Result {
	s := newSim(t, o)
	end := s.schedule()
	s.clock.run()
	return s.result(end)
}

// schedule schedules the trace's arrivals and faults and the periodic reports. It
// returns the time of the last arrival.
func (s *sim) schedule() (end time.Duration) {
	for i := range s.trace.Arrivals {
		r := s.newRequest(i, &s.trace.Arrivals[i])
		s.requests = append(s.requests, r)
		s.clock.at(r.arrivedAt+s.clientDelay, func() { s.dispatch(r) })
		end = max(end, r.arrivedAt)
	}
	for _, f := range s.trace.Faults {
		s.scheduleFault(f)
	}
	s.updateLinkViews(end)
	s.exchangeDemands(end)
	return end
}

func newSim(t *trace.Trace, o Options) *sim {
	d := t.Deployment
	s := &sim{
		clock: &clock{}, options: o, routingPolicy: o.Policy, trace: t, rng: rand.New(rand.NewPCG(o.Seed, 0)), hopDelay: millis(d.HopDelayMs),
		clientDelay: millis(d.ClientDelayMs), kvBytesPerToken: float64(d.KVBytesPerToken), warmup: time.Duration(d.WarmupMs) * time.Millisecond,
		conversationIDs: map[string]int32{}, built: map[contextKey]int{}, contractedShares: map[string]float64{},
	}
	for i, share := range d.CustomerShares {
		s.contractedShares[d.Customers[i]] = share
	}
	s.directory = &directory{s.clock, rand.New(rand.NewPCG(o.Seed, 1)), map[contextKey]*hint{}}
	for i := range d.Endpoints {
		a := &agent{
			sim: s, index: i, id: fmt.Sprintf("%s-%02d", d.Model, i), failureDomain: d.FailureDomains[i%len(d.FailureDomains)],
			queue: s.newQueue(), active: map[*workItem]bool{},
			placement: s.newPlacement(), returns: placement.NewReturnEstimator(maxTrackedContexts), linkUse: make([]linkUseTracker, len(d.Stores)),
		}
		a.engine = engine{clock: s.clock, slots: d.Slots, prefillRate: d.PrefillTokensPerSecond, decodeInterval: millis(d.DecodeMsPerToken)}
		a.engine.cache = newLRU(d.EngineKVTokens, func(k contextKey, _ int) { s.directory.announceEviction(k, i) })
		s.agents = append(s.agents, a)
	}
	s.members = make([]memberState, d.Endpoints)
	for _, id := range d.Stores {
		s.stores = append(s.stores, newStore(s.clock, id, int(float64(d.StoreMemoryBytes)/s.kvBytesPerToken), int(float64(d.StoreDiskBytes)/s.kvBytesPerToken), d.LinkBytesPerSecond, d.DiskBytesPerSecond, s.kvBytesPerToken))
	}
	for i := range d.Entries {
		e := &entry{
			sim: s, id: i, failureDomain: d.FailureDomains[i%len(d.FailureDomains)], rng: rand.New(rand.NewPCG(o.Seed, uint64(i+2))),
			endpointViews: make([]routing.EndpointView, d.Endpoints), avoidUntil: make([]time.Duration, d.Endpoints),
			breakers: make([]retry.Breaker, d.Endpoints), budget: retry.NewBudget(retry.MaxRetryShare, retry.BudgetWindow),
			running: map[*request]bool{}, shares: routing.NewShareTracker(),
		}
		e.limits = limits.New(e.limitsID())
		for range d.Stores {
			e.linkViews = append(e.linkViews, routing.NewLinkView())
		}
		s.entries = append(s.entries, e)
	}
	for _, c := range t.PriorContexts {
		k := contextKey{conversation: s.conversationID(c.Conversation)}
		s.built[k] = wholePieces(c.Tokens)
		s.storeFor(k.conversation).memory.put(k, wholePieces(c.Tokens))
		s.directory.hintFor(k).storeTokens = wholePieces(c.Tokens)
	}
	s.routingRequest = routing.Request{PrefillRate: d.PrefillTokensPerSecond, DecodeMsPerToken: d.DecodeMsPerToken, KVBytesPerToken: d.KVBytesPerToken}
	return s
}

func (s *sim) conversationID(conversation string) int32 {
	id, ok := s.conversationIDs[conversation]
	if !ok {
		id = int32(len(s.conversationIDs))
		s.conversationIDs[conversation] = id
	}
	return id
}

var classByPriority = map[string]int{trace.Interactive: interactiveClass, trace.Standard: standardClass, trace.Batch: batchClass}

func (s *sim) newRequest(i int, a *trace.Arrival) *request {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.Conversation)) // never fails
	at := millis(a.AtMs)
	return &request{
		index: i, arrivedAt: at, customer: a.Customer, kind: a.Kind, priority: a.Priority, class: classByPriority[a.Priority],
		conversation: s.conversationID(a.Conversation), conversationHash: h.Sum64(), promptTokens: max(1, a.PromptTokens), outputTokens: max(1, a.MaxTokens),
		deadline: at + time.Duration(a.DeadlineMs)*time.Millisecond,
	}
}

// dispatch submits the request to an entry that is running. If there is none, the
// request fails.
func (s *sim) dispatch(r *request) {
	n := len(s.entries)
	for i := range n {
		if e := s.entries[(r.index+i)%n]; !e.lost {
			e.submit(r)
			return
		}
	}
	r.done, r.refused, r.deadlineMissed = true, r.firstTokenAt == 0, r.firstTokenAt != 0
}

func (s *sim) fillRoutingRequest(r *request) *routing.Request {
	s.routingRequest.Customer, s.routingRequest.Priority = r.customer, r.priority
	s.routingRequest.PromptTokens, s.routingRequest.MaxTokens, s.routingRequest.StickyHash = r.promptTokens, r.outputTokens, r.conversationHash
	return &s.routingRequest
}

func (s *sim) storeIndex(conversation int32) int { return int(conversation) % len(s.stores) }

func (s *sim) storeFor(conversation int32) *store { return s.stores[s.storeIndex(conversation)] }

// useExactState replaces the entry's view of a candidate by the exact state, for the
// oracle.
func (s *sim) useExactState(c *routing.Candidate, r *request, a *agent) {
	k := contextKey{r.conversation, a.weightVersion}
	st := s.storeFor(r.conversation)
	c.EnginePrefixTokens = wholePieces(min(a.engine.cache.tokens(k), r.promptTokens))
	c.StorePrefixTokens = wholePieces(min(st.tokens(k), r.promptTokens))
	c.FetchRate, c.FetchWait = 0, 0
	if !st.link.down {
		c.FetchRate, c.FetchWait = st.link.currentRate(), st.wait(k, foreground)
	}
	report := a.loadReport()
	c.ReportAge, c.OwnInFlight, c.OwnTokens = 0, 0, a.inTransitTokens
	c.Running, c.Waiting, c.SlotTime = report.Running, report.Waiting, report.SlotTime
	c.QueuedTokens, c.AheadTokens = report.QueuedTokens, report.AheadTokens[r.class]
	c.Suspect = a.dead || a.loadingWeights
}

// markBuilt records that the KV cache of the context's tokens has been built.
func (s *sim) markBuilt(k contextKey, tokens int) { s.built[k] = max(s.built[k], wholePieces(tokens)) }

func (s *sim) countPrefill(w *workItem) {
	if w.request.arrivedAt < s.warmup {
		return
	}
	builtBefore := min(s.built[w.key], wholePieces(w.promptTokens))
	available := w.cachedTokens
	for _, a := range s.agents {
		available = max(available, wholePieces(a.engine.cache.tokens(w.key)))
	}
	available = max(available, s.storeFor(w.key.conversation).tokens(w.key))
	s.counts.builtBefore += builtBefore
	s.counts.recomputed += max(0, builtBefore-w.cachedTokens)
	s.counts.unavailable += max(0, builtBefore-available)
}

func (s *sim) updateLinkViews(end time.Duration) {
	for _, e := range s.entries {
		e.updateLinkViews()
	}
	if s.clock.now < end {
		s.clock.after(linkReportInterval, func() { s.updateLinkViews(end) })
	}
}

func (w *workItem) agentIndex() int { return w.request.triedAgents[len(w.request.triedAgents)-1] }

func sortedRequests(set map[*request]bool) []*request {
	return slices.SortedFunc(maps.Keys(set), func(x, y *request) int { return cmp.Compare(x.index, y.index) })
}
