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

// Options of a replay.
type Options struct {
	Policy routing.Policy
	// Admission is the policy at the agents, admission.fair if empty.
	Admission kernel.ID
	// Placement is the policy of exports, placement.value if empty.
	Placement kernel.ID
	// Oracle gives the policy exact knowledge of caches, queues and links at the
	// instant of each decision.
	Oracle bool
	Seed   uint64
	// NoLimits lets customers send beyond their limits.
	NoLimits bool
	// ReportGap is the time between two load reports on one stream; zero for
	// reports on the first and last frame only.
	ReportGap time.Duration
	// Decisions takes a line for each decision, if set.
	Decisions func(Decision)
}

type member int

const (
	live member = iota
	suspect
	gone
)

// Delays of membership (design 5).
const (
	suspectAfter = 3 * time.Second
	goneAfter    = 10 * time.Second
	liveAfter    = 2 * time.Second
)

// sim holds the fakes of one replay.
type sim struct {
	c        *clock
	o        Options
	policy   routing.Policy
	t        *trace.Trace
	rng      *rand.Rand
	hop      time.Duration
	client   time.Duration
	perToken float64 // bytes
	warmup   time.Duration

	agents     []*agent
	members    []member
	entries    []*entry
	stores     []*store
	dir        *directory
	version    int32
	requests   []*request
	ids        map[string]int32
	had        map[contextKey]int // tokens that were built before
	req        routing.Request
	contracted map[string]float64 // shares by customer

	attempts int
	retries  int
	count    buildCount
}

// buildCount counts prefill tokens of the measured part.
type buildCount struct {
	had            int // of the prompts, tokens that had been built before
	recomputed     int // of these, computed again
	exported, kept int // contexts whose new pieces were exported or not
	unavailable    int // of these, held by no engine and no store when the prefill began
}

// Run replays the trace.
func Run(t *trace.Trace, o Options) *Result {
	s := newSim(t, o)
	end := s.schedule()
	s.c.run()
	return s.result(end)
}

// schedule enters the trace into the clock and returns the last arrival's time.
func (s *sim) schedule() (end time.Duration) {
	for i := range s.t.Arrivals {
		r := s.newRequest(i, &s.t.Arrivals[i])
		s.requests = append(s.requests, r)
		s.c.at(r.at+s.client, func() { s.arrive(r) })
		end = max(end, r.at)
	}
	for _, f := range s.t.Faults {
		s.fault(f)
	}
	s.observeLinks(end)
	s.exchangeUsage(end)
	return end
}

func newSim(t *trace.Trace, o Options) *sim {
	d := t.Deployment
	s := &sim{
		c: &clock{}, o: o, policy: o.Policy, t: t, rng: rand.New(rand.NewPCG(o.Seed, 0)), hop: millis(d.HopMs),
		client: millis(d.ClientMs), perToken: float64(d.KVBytesPerToken), warmup: time.Duration(d.WarmupMs) * time.Millisecond,
		ids: map[string]int32{}, had: map[contextKey]int{}, contracted: map[string]float64{},
	}
	for i, share := range d.Shares {
		s.contracted[d.Customers[i]] = share
	}
	s.dir = &directory{s.c, rand.New(rand.NewPCG(o.Seed, 1)), map[contextKey]*hint{}}
	for i := range d.Endpoints {
		a := &agent{
			s: s, index: i, id: fmt.Sprintf("%s-%02d", d.Model, i), domain: d.FailureDomains[i%len(d.FailureDomains)],
			queue: s.newQueue(), live: map[*work]bool{},
			placement: s.newPlacement(), returns: placement.NewReturnEstimator(maxContexts), links: make([]linkUse, len(d.Stores)),
		}
		a.engine = engine{c: s.c, slots: d.Slots, rate: d.PrefillRate, decode: millis(d.DecodeMs)}
		a.engine.cache = newLRU(d.EngineTokens, func(k contextKey, _ int) { s.dir.evicted(k, i) })
		s.agents = append(s.agents, a)
	}
	s.members = make([]member, d.Endpoints)
	for _, id := range d.Stores {
		s.stores = append(s.stores, newStore(s.c, id, int(float64(d.StoreMemoryBytes)/s.perToken), int(float64(d.StoreDiskBytes)/s.perToken), d.LinkBytesPerSec, d.DiskBytesPerSec, s.perToken))
	}
	for i := range d.Entries {
		e := &entry{
			s: s, id: i, domain: d.FailureDomains[i%len(d.FailureDomains)], rng: rand.New(rand.NewPCG(o.Seed, uint64(i+2))),
			views: make([]routing.EndpointView, d.Endpoints), avoid: make([]time.Duration, d.Endpoints),
			breakers: make([]retry.Breaker, d.Endpoints), budget: retry.NewBudget(retry.MaxRetryShare, retry.BudgetWindow),
			running: map[*request]bool{}, shares: routing.NewShareTracker(),
		}
		e.limits = limits.New(e.limitsID())
		for range d.Stores {
			e.links = append(e.links, routing.NewLinkView())
		}
		s.entries = append(s.entries, e)
	}
	for _, c := range t.Contexts {
		k := contextKey{conversation: s.id(c.Conversation)}
		s.had[k] = wholePieces(c.Tokens)
		s.storeOf(k.conversation).memory.put(k, wholePieces(c.Tokens))
		s.dir.entry(k).store = wholePieces(c.Tokens)
	}
	s.req = routing.Request{PrefillRate: d.PrefillRate, DecodeMsPerToken: d.DecodeMs, KVBytesPerToken: d.KVBytesPerToken}
	return s
}

func (s *sim) id(conversation string) int32 {
	id, ok := s.ids[conversation]
	if !ok {
		id = int32(len(s.ids))
		s.ids[conversation] = id
	}
	return id
}

var classOf = map[string]int{trace.Interactive: interactiveClass, trace.Standard: standardClass, trace.Batch: batchClass}

func (s *sim) newRequest(i int, a *trace.Arrival) *request {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a.Conversation)) // never fails
	at := millis(a.AtMs)
	return &request{
		index: i, at: at, customer: a.Customer, kind: a.Kind, priority: a.Priority, class: classOf[a.Priority],
		conversation: s.id(a.Conversation), hash: h.Sum64(), prompt: max(1, a.PromptTokens), output: max(1, a.MaxTokens),
		deadline: at + time.Duration(a.DeadlineMs)*time.Millisecond,
	}
}

// arrive gives the request to one of the entries that are there.
func (s *sim) arrive(r *request) {
	n := len(s.entries)
	for i := range n {
		if e := s.entries[(r.index+i)%n]; !e.lost {
			e.submit(r)
			return
		}
	}
	r.done, r.refused, r.missed = true, r.firstAt == 0, r.firstAt != 0
}

func (s *sim) request(r *request) *routing.Request {
	s.req.Customer, s.req.Priority = r.customer, r.priority
	s.req.PromptTokens, s.req.MaxTokens, s.req.StickyHash = r.prompt, r.output, r.hash
	return &s.req
}

func (s *sim) storeIndex(conversation int32) int { return int(conversation) % len(s.stores) }

func (s *sim) storeOf(conversation int32) *store { return s.stores[s.storeIndex(conversation)] }

// exact replaces what an entry knows by the truth, for the oracle.
func (s *sim) exact(c *routing.Candidate, r *request, a *agent) {
	k := contextKey{r.conversation, a.version}
	st := s.storeOf(r.conversation)
	c.EnginePrefixTokens = wholePieces(min(a.engine.cache.tokens(k), r.prompt))
	c.StorePrefixTokens = wholePieces(min(st.tokens(k), r.prompt))
	c.FetchRate, c.FetchWait = 0, 0
	if !st.link.down {
		c.FetchRate, c.FetchWait = st.link.speed(), st.wait(k, foreground)
	}
	report := a.report()
	c.ReportAge, c.OwnInFlight, c.OwnTokens = 0, 0, a.enRoute
	c.Running, c.Waiting, c.SlotTime = report.Running, report.Waiting, report.SlotTime
	c.QueuedTokens, c.AheadTokens = report.QueuedTokens, report.AheadTokens[r.class]
	c.Suspect = a.dead || a.loading
}

// built notes that the tokens of the context exist.
func (s *sim) built(k contextKey, tokens int) { s.had[k] = max(s.had[k], wholePieces(tokens)) }

func (s *sim) countBuild(w *work) {
	if w.r.at < s.warmup {
		return
	}
	had := min(s.had[w.key], wholePieces(w.prompt))
	available := w.cached
	for _, a := range s.agents {
		available = max(available, wholePieces(a.engine.cache.tokens(w.key)))
	}
	available = max(available, s.storeOf(w.key.conversation).tokens(w.key))
	s.count.had += had
	s.count.recomputed += max(0, had-w.cached)
	s.count.unavailable += max(0, had-available)
}

func (s *sim) observeLinks(end time.Duration) {
	for _, e := range s.entries {
		e.observe()
	}
	if s.c.now < end {
		s.c.after(linkReportGap, func() { s.observeLinks(end) })
	}
}

func (w *work) agentIndex() int { return w.r.tried[len(w.r.tried)-1] }

func sortedRequests(set map[*request]bool) []*request {
	return slices.SortedFunc(maps.Keys(set), func(x, y *request) int { return cmp.Compare(x.index, y.index) })
}
