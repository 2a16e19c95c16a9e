package replay

import (
	"math/rand/v2"
	"time"

	"github.com/galenaweir/galenaweir/core/limits"
	"github.com/galenaweir/galenaweir/core/retry"
	"github.com/galenaweir/galenaweir/core/routing"
)

// Limits and delays of an entry, as in the product.
const (
	silenceLimit       = 2 * time.Second // design section 9.3
	avoidDuration      = 2 * time.Second // entry/relay.go
	maxAttempts        = 4               // entry/relay.go
	slowEntryDelay     = 50 * time.Millisecond
	localHopDelay      = 200 * time.Microsecond // within a failure domain
	linkReportInterval = 500 * time.Millisecond
	maxReconnectDelay  = time.Second // callers of a lost entry reconnect within this time
)

// request is one arrival of the trace, with its state and outcome.
type request struct {
	index            int
	arrivedAt        time.Duration
	customer         string
	kind             string
	priority         string
	class            int
	conversation     int32
	conversationHash uint64
	promptTokens     int
	outputTokens     int
	deadline         time.Duration

	entry               *entry // entry that currently handles the request
	attempts            int
	triedAgents         []int         // agent indexes
	work                *workItem     // current attempt
	firstTokenAt        time.Duration // when the caller received the first token; zero if not yet
	tokenInterval       time.Duration // time between two output tokens
	done                bool
	refused             bool
	limited             bool // refused because of the customer's limit
	deadlineMissed      bool
	retries             int
	estimatedFirstToken time.Duration // time to first token that the first decision estimated
}

// entry is a fake entry process that uses the product's routing code.
type entry struct {
	sim             *sim
	id              int
	failureDomain   string
	lost            bool
	slow            bool
	rng             *rand.Rand
	endpointViews   []routing.EndpointView // by agent index
	avoidUntil      []time.Duration        // by agent index; the agent is not a candidate until then
	breakers        []retry.Breaker        // by agent index
	budget          *retry.Budget
	linkViews       []*routing.LinkView // by store index
	shares          *routing.ShareTracker
	limits          *limits.Limiter
	running         map[*request]bool
	candidateBuffer []routing.Candidate
	candidateAgents []int // agent index of each candidate in candidateBuffer
}

func (e *entry) hopDelay(a *agent) time.Duration {
	d := e.sim.hopDelay
	if e.failureDomain == a.failureDomain {
		d = localHopDelay
	}
	if e.slow {
		d += slowEntryDelay
	}
	return d
}

func (e *entry) submit(r *request) {
	e.running[r], r.entry = true, e
	e.budget.CountRequest(e.sim.clock.now)
	if !e.chargeLimit(r) {
		r.limited = true
		e.finish(r, true)
		return
	}
	e.lookup(r)
}

// lookup queries the directory, which takes one round trip, and then routes the
// request.
func (e *entry) lookup(r *request) {
	d := 2 * e.sim.hopDelay
	if e.slow {
		d += slowEntryDelay
	}
	e.sim.clock.after(d, func() {
		if !e.lost && r.entry == e && !r.done {
			e.route(r)
		}
	})
}

// route chooses an endpoint with the routing policy and sends it an attempt.
func (e *entry) route(r *request) {
	now := e.sim.clock.now
	if now >= r.deadline {
		e.finish(r, true)
		return
	}
	cs := e.candidates(r)
	choice := e.sim.routingPolicy.Choose(e.sim.fillRoutingRequest(r), cs, e.rng)
	if choice.Index < 0 {
		e.retry(r)
		return
	}
	c := &cs[choice.Index]
	a := e.sim.agents[e.candidateAgents[choice.Index]]
	e.breakers[a.index].Allow(now)
	cached, fetchPriority := c.EnginePrefixTokens, foreground
	if choice.FetchPrefix && c.StorePrefixTokens > cached {
		if e.linkViews[e.sim.storeIndex(r.conversation)].AddFetch(r.customer, float64(c.StorePrefixTokens-cached)*e.sim.kvBytesPerToken, now) {
			fetchPriority = overShare
		}
		cached = c.StorePrefixTokens
	}
	tokens := max(1, r.promptTokens-cached)
	e.endpointViews[a.index].AddRequest(tokens, a.engine.prefillRate, now)
	e.sim.attemptCount++
	w := &workItem{
		request: r, attemptID: e.sim.attemptCount, entry: e, customer: r.customer, class: r.class, promptTokens: r.promptTokens, outputTokens: r.outputTokens,
		deadline: r.deadline, importExpected: choice.FetchPrefix, importPriority: fetchPriority, overPrefillShare: e.shares.Record(r.customer, float64(tokens), now), key: contextKey{conversation: r.conversation},
	}
	r.work, r.attempts = w, r.attempts+1
	r.triedAgents = append(r.triedAgents, a.index)
	if r.attempts == 1 {
		r.estimatedFirstToken = choice.EstimatedTTFT
	}
	a.inTransitTokens += tokens
	e.sim.clock.after(e.hopDelay(a), func() { a.inTransitTokens -= tokens; a.receive(w) })
	if e.sim.options.OnDecision != nil {
		e.sim.options.OnDecision(newDecision(e, r, choice, cs))
	}
}

// candidates returns the endpoints that may be chosen, as entry/view.go does.
func (e *entry) candidates(r *request) []routing.Candidate {
	now := e.sim.clock.now
	e.candidateBuffer, e.candidateAgents = e.candidateBuffer[:0], e.candidateAgents[:0]
	hints := e.sim.directory.lookup(contextKey{r.conversation, e.sim.weightVersion})
	linkWait, linkRate := e.linkViews[e.sim.storeIndex(r.conversation)].EstimateFetch(r.customer, now)
	for i, a := range e.sim.agents {
		m := e.sim.members[i]
		if m == memberGone || now < e.avoidUntil[i] || e.breakers[i].Open(now) || wasTried(r, i) {
			continue
		}
		c := routing.Candidate{
			Endpoint: a.id, Agent: a.id, FailureDomain: a.failureDomain, Slots: a.engine.slots, HopLatency: e.hopDelay(a), Suspect: m == memberSuspect,
			EnginePrefixTokens: wholePieces(min(hints.engineTokens[i], r.promptTokens)), StorePrefixTokens: wholePieces(min(hints.storeTokens, r.promptTokens)),
			FetchWait: linkWait, FetchRate: linkRate,
		}
		e.endpointViews[i].FillLoad(&c, r.class, a.engine.prefillRate, now)
		if e.sim.options.Oracle {
			e.sim.useExactState(&c, r, a)
		}
		e.candidateBuffer, e.candidateAgents = append(e.candidateBuffer, c), append(e.candidateAgents, i)
	}
	return e.candidateBuffer
}

func wasTried(r *request, agent int) bool {
	for _, t := range r.triedAgents {
		if t == agent {
			return true
		}
	}
	return false
}

// receiveFirstToken handles the first token of an attempt, after which the tokens
// follow at the interval.
func (e *entry) receiveFirstToken(w *workItem, interval time.Duration) {
	r := w.request
	if r.work != w || r.done {
		return
	}
	e.breakers[w.agentIndex()].Done(true, e.sim.clock.now, e.rng)
	if r.firstTokenAt == 0 {
		r.firstTokenAt = e.sim.clock.now + e.sim.clientDelay
	}
	r.tokenInterval = interval
}

// receiveEnd handles the end of an attempt. A response that is not complete was ended
// by its deadline or by a cancellation.
func (e *entry) receiveEnd(w *workItem, complete bool) {
	if w.request.work == w && !w.request.done {
		w.request.deadlineMissed = !complete
		e.finish(w.request, false)
	}
}

// receiveRefusal handles an agent's response that it does not run the attempt.
func (e *entry) receiveRefusal(w *workItem, a *agent, loading bool) {
	report := a.loadReport()
	e.sim.clock.after(e.hopDelay(a), func() {
		if e.lost || w.request.work != w || w.request.done {
			return
		}
		e.endpointViews[a.index].ApplyReport(report, e.sim.clock.now)
		if loading {
			e.avoidUntil[a.index] = e.sim.clock.now + avoidDuration
		}
		e.retry(w.request)
	})
}

// handleSilence handles an attempt whose agent sent nothing for the silence limit.
func (e *entry) handleSilence(w *workItem, a *agent) {
	if e.lost || w.request.work != w || w.request.done {
		return
	}
	e.avoidUntil[a.index] = e.sim.clock.now + avoidDuration
	e.breakers[a.index].Done(false, e.sim.clock.now, e.rng)
	e.retry(w.request)
}

// retry tries another endpoint if the retry budget and the deadline allow it, and
// otherwise fails the request.
func (e *entry) retry(r *request) {
	now := e.sim.clock.now
	pause, ok := retry.Backoff{}.Delay(r.retries, r.deadline-now, e.rng)
	if !ok || r.retries+1 >= maxAttempts || !e.budget.TrySpend(now) {
		e.finish(r, true)
		return
	}
	r.retries++
	e.sim.retryCount++
	e.sim.clock.after(pause, func() {
		if !e.lost && r.entry == e {
			e.lookup(r)
		}
	})
}

// finish ends the request. A request that fails after its first token counts as missing
// its deadline instead of as refused.
func (e *entry) finish(r *request, refused bool) {
	r.done = true
	r.refused = refused && r.firstTokenAt == 0
	r.deadlineMissed = r.deadlineMissed || refused && r.firstTokenAt != 0
	delete(e.running, r)
	if !r.limited {
		e.refundLimit(r)
	}
}

// updateLinkViews updates the entry's views of the links from the stores' reports.
func (e *entry) updateLinkViews() {
	for i, st := range e.sim.stores {
		rate := 0.0
		if !st.link.down {
			rate = st.link.currentRate()
		}
		e.linkViews[i].ApplyReport(st.link.queuedBytes[foreground], st.link.queuedBytes[overShare], rate, e.sim.clock.now)
	}
}

// crash breaks the entry's streams. The agents cancel its attempts, and the callers
// reconnect through other entries.
func (e *entry) crash() {
	e.lost = true
	e.limits = limits.New(e.limitsID())
	for _, r := range sortedRequests(e.running) {
		if w := r.work; w != nil {
			a := e.sim.agents[w.agentIndex()]
			e.sim.clock.after(e.hopDelay(a), func() { a.cancel(w) })
		}
		r.triedAgents, r.work, r.entry = nil, nil, nil
		pause := time.Duration(e.rng.Int64N(int64(maxReconnectDelay)))
		e.sim.clock.after(pause, func() { e.sim.dispatch(r) })
	}
	clear(e.running)
}
