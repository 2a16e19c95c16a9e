package replay

import (
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/retry"
	"github.com/galenaweir/galenaweir/core/routing"
)

// Times of the entry, as in the product.
const (
	silenceLimit  = 2 * time.Second // design 9.3
	avoidTime     = 2 * time.Second // entry/relay.go
	maxTries      = 4               // entry/relay.go
	slowEntryTime = 50 * time.Millisecond
	localHop      = 200 * time.Microsecond // within a failure domain
	linkReportGap = 500 * time.Millisecond
	reconnectMax  = time.Second // callers of a lost entry come back within
)

// request is one arrival with what became of it.
type request struct {
	index        int
	at           time.Duration
	customer     string
	kind         string
	priority     string
	class        int
	conversation int32
	hash         uint64
	prompt       int
	output       int
	deadline     time.Duration

	entry     *entry // that has it now
	tries     int
	tried     []int // agents
	work      *work
	firstAt   time.Duration // when the caller had it; zero before
	interval  time.Duration
	done      bool
	refused   bool
	limited   bool // refused by the customer's limit
	missed    bool
	retries   int
	estimated time.Duration
}

// entry is the fake of one entry process around the product's routing.
type entry struct {
	s        *sim
	id       int
	domain   string
	lost     bool
	slow     bool
	rng      *rand.Rand
	views    []routing.EndpointView
	avoid    []time.Duration
	breakers []retry.Breaker
	budget   *retry.Budget
	links    []*routing.LinkView
	shares   *routing.ShareTracker
	limits   *limits.Limiter
	running  map[*request]bool
	scratch  []routing.Candidate
	indexes  []int
}

func (e *entry) hop(a *agent) time.Duration {
	d := e.s.hop
	if e.domain == a.domain {
		d = localHop
	}
	if e.slow {
		d += slowEntryTime
	}
	return d
}

func (e *entry) submit(r *request) {
	e.running[r], r.entry = true, e
	e.budget.CountRequest(e.s.c.now)
	if !e.charge(r) {
		r.limited = true
		e.finish(r, true)
		return
	}
	e.lookup(r)
}

// lookup asks the directory, one round trip, and then routes.
func (e *entry) lookup(r *request) {
	d := 2 * e.s.hop
	if e.slow {
		d += slowEntryTime
	}
	e.s.c.after(d, func() {
		if !e.lost && r.entry == e && !r.done {
			e.route(r)
		}
	})
}

func (e *entry) route(r *request) {
	now := e.s.c.now
	if now >= r.deadline {
		e.finish(r, true)
		return
	}
	cs := e.candidates(r)
	choice := e.s.policy.Choose(e.s.request(r), cs, e.rng)
	if choice.Index < 0 {
		e.retry(r)
		return
	}
	c := &cs[choice.Index]
	a := e.s.agents[e.indexes[choice.Index]]
	e.breakers[a.index].Allow(now)
	cached, fetchLevel := c.EnginePrefixTokens, foreground
	if choice.FetchPrefix && c.StorePrefixTokens > cached {
		if e.links[e.s.storeIndex(r.conversation)].AddFetch(r.customer, float64(c.StorePrefixTokens-cached)*e.s.perToken, now) {
			fetchLevel = overShare
		}
		cached = c.StorePrefixTokens
	}
	tokens := max(1, r.prompt-cached)
	e.views[a.index].AddRequest(tokens, a.engine.rate, now)
	e.s.attempts++
	w := &work{
		r: r, attempt: e.s.attempts, entry: e, customer: r.customer, class: r.class, prompt: r.prompt, output: r.output,
		deadline: r.deadline, fetch: choice.FetchPrefix, level: fetchLevel, over: e.shares.Record(r.customer, float64(tokens), now), key: contextKey{conversation: r.conversation},
	}
	r.work, r.tries = w, r.tries+1
	r.tried = append(r.tried, a.index)
	if r.tries == 1 {
		r.estimated = choice.EstimatedTTFT
	}
	a.enRoute += tokens
	e.s.c.after(e.hop(a), func() { a.enRoute -= tokens; a.arrive(w) })
	if e.s.o.Decisions != nil {
		e.s.o.Decisions(decision(e, r, choice, cs))
	}
}

// candidates lists the endpoints that may be chosen, as entry/view.go does.
func (e *entry) candidates(r *request) []routing.Candidate {
	now := e.s.c.now
	e.scratch, e.indexes = e.scratch[:0], e.indexes[:0]
	hints := e.s.dir.get(contextKey{r.conversation, e.s.version})
	linkWait, linkRate := e.links[e.s.storeIndex(r.conversation)].EstimateFetch(r.customer, now)
	for i, a := range e.s.agents {
		m := e.s.members[i]
		if m == gone || now < e.avoid[i] || e.breakers[i].Open(now) || tried(r, i) {
			continue
		}
		c := routing.Candidate{
			Endpoint: a.id, Agent: a.id, FailureDomain: a.domain, Slots: a.engine.slots, HopLatency: e.hop(a), Suspect: m == suspect,
			EnginePrefixTokens: wholePieces(min(hints.engine[i], r.prompt)), StorePrefixTokens: wholePieces(min(hints.store, r.prompt)),
			FetchWait: linkWait, FetchRate: linkRate,
		}
		e.views[i].FillLoad(&c, r.class, a.engine.rate, now)
		if e.s.o.Oracle {
			e.s.exact(&c, r, a)
		}
		e.scratch, e.indexes = append(e.scratch, c), append(e.indexes, i)
	}
	return e.scratch
}

func tried(r *request, agent int) bool {
	for _, t := range r.tried {
		if t == agent {
			return true
		}
	}
	return false
}

func (e *entry) first(w *work, interval time.Duration) {
	r := w.r
	if r.work != w || r.done {
		return
	}
	e.breakers[w.agentIndex()].Done(true, e.s.c.now, e.rng)
	if r.firstAt == 0 {
		r.firstAt = e.s.c.now + e.s.client
	}
	r.interval = interval
}

func (e *entry) end(w *work, whole bool) {
	if w.r.work == w && !w.r.done {
		w.r.missed = !whole
		e.finish(w.r, false)
	}
}

// refused is an agent's answer that it doesn't run the attempt.
func (e *entry) refused(w *work, a *agent, loading bool) {
	report := a.report()
	e.s.c.after(e.hop(a), func() {
		if e.lost || w.r.work != w || w.r.done {
			return
		}
		e.views[a.index].ApplyReport(report, e.s.c.now)
		if loading {
			e.avoid[a.index] = e.s.c.now + avoidTime
		}
		e.retry(w.r)
	})
}

// silent is an attempt whose agent sent nothing for the silence limit.
func (e *entry) silent(w *work, a *agent) {
	if e.lost || w.r.work != w || w.r.done {
		return
	}
	e.avoid[a.index] = e.s.c.now + avoidTime
	e.breakers[a.index].Done(false, e.s.c.now, e.rng)
	e.retry(w.r)
}

// retry tries another endpoint within the budget and the deadline, or gives up.
func (e *entry) retry(r *request) {
	now := e.s.c.now
	pause, ok := retry.Backoff{}.Delay(r.retries, r.deadline-now, e.rng)
	if !ok || r.retries+1 >= maxTries || !e.budget.TrySpend(now) {
		e.finish(r, true)
		return
	}
	r.retries++
	e.s.retries++
	e.s.c.after(pause, func() {
		if !e.lost && r.entry == e {
			e.lookup(r)
		}
	})
}

func (e *entry) finish(r *request, refused bool) {
	r.done = true
	r.refused = refused && r.firstAt == 0
	r.missed = r.missed || refused && r.firstAt != 0
	delete(e.running, r)
	if !r.limited {
		e.settle(r)
	}
}

// observe takes the links' state as their stores report it.
func (e *entry) observe() {
	for i, st := range e.s.stores {
		rate := 0.0
		if !st.link.down {
			rate = st.link.speed()
		}
		e.links[i].ApplyReport(st.link.queued[foreground], st.link.queued[overShare], rate, e.s.c.now)
	}
}

// lose breaks the entry's streams: the engines are freed, and the callers come
// back through other entries.
func (e *entry) lose() {
	e.lost = true
	e.limits = limits.New(e.limitsID())
	for _, r := range sortedRequests(e.running) {
		if w := r.work; w != nil {
			a := e.s.agents[w.agentIndex()]
			e.s.c.after(e.hop(a), func() { a.stop(w) })
		}
		r.tried, r.work, r.entry = nil, nil, nil
		pause := time.Duration(e.rng.Int64N(int64(reconnectMax)))
		e.s.c.after(pause, func() { e.s.arrive(r) })
	}
	clear(e.running)
}
