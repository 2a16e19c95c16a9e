package trace

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Generate returns the trace of the spec. The same spec always gives the same trace.
// Each customer has its own random source, so that one customer's load does not
// change the requests of the others.
func Generate(s Spec) *Trace {
	w := s.workload()
	t := &Trace{Deployment: w.deployment, Faults: s.Faults}
	t.Deployment.Trace, t.Deployment.Seed, t.Deployment.CustomerShares = s.Name, s.seed, s.customerShares
	for i, customer := range t.Deployment.Customers {
		g := &generator{spec: s, workload: w, trace: t, customer: customer, rng: rand.New(rand.NewPCG(s.seed, uint64(i)))}
		rate := w.sessionsPerSecond * s.customerShares[i]
		if s.heavyCustomer && i == 0 {
			rate *= heavyLoadFactor
		}
		g.addSessions(rate)
	}
	t.sort()
	for i := range t.Arrivals {
		t.Arrivals[i].Request = fmt.Sprintf("r%06d", i)
	}
	return t
}

type generator struct {
	spec         Spec
	workload     workload
	trace        *Trace
	customer     string
	rng          *rand.Rand
	sessionCount int
}

// addSessions adds sessions whose start times are a Poisson process.
func (g *generator) addSessions(perSecond float64) {
	peak := perSecond
	if g.spec.bursts {
		peak *= burstRateFactor
	}
	for at := 0.0; at < g.workload.lengthMs; {
		at += g.rng.ExpFloat64() / peak * secondMs
		inBurst := int(at)%int(burstIntervalMs) < int(burstDurationMs)
		if g.spec.bursts && !inBurst && g.rng.Float64() > 1/burstRateFactor { // thin out to the normal rate
			continue
		}
		g.addSession(at)
	}
}

func (g *generator) drawTokens(r tokenRange) int { return r.min + g.rng.IntN(r.max-r.min+1) }

func (g *generator) drawKind() requestKind {
	u := g.rng.Float64()
	for _, k := range g.workload.kinds {
		if u -= k.share; u < 0 {
			return k
		}
	}
	return g.workload.kinds[len(g.workload.kinds)-1]
}

// Range of the ages of prior conversations, in seconds: ten minutes to four days.
const (
	minAgeSeconds = 10 * 60
	maxAgeSeconds = 4 * 24 * 3600
)

// addSession adds the turns of one conversation. The prompt of each turn consists of
// the previous prompt, the response to it and a new question.
func (g *generator) addSession(at float64) {
	k := g.drawKind()
	g.sessionCount++
	conversation := fmt.Sprintf("%s/%d", g.customer, g.sessionCount)
	tokens := g.drawTokens(tokenRange{k.turnTokens.max, k.turnTokens.max * 3}) // system prompt and initial facts
	if g.rng.Float64() < k.priorShare {
		tokens = g.drawTokens(k.contextTokens)
		g.trace.PriorContexts = append(g.trace.PriorContexts, PriorContext{
			Customer: g.customer, Conversation: conversation, Tokens: tokens,
			AgeSeconds: minAgeSeconds + g.rng.Int64N(maxAgeSeconds-minAgeSeconds),
		})
	}
	for at < g.workload.lengthMs {
		tokens += g.drawTokens(k.turnTokens)
		output := g.drawTokens(k.outputTokens)
		g.trace.Arrivals = append(g.trace.Arrivals, Arrival{
			AtMs: at, Customer: g.customer, Conversation: conversation, Model: g.workload.deployment.Model, Kind: k.name,
			Priority: k.priority, PromptTokens: tokens, MaxTokens: output, DeadlineMs: k.deadlineMs,
		})
		tokens += output
		if g.rng.Float64() > k.nextTurnProbability {
			return
		}
		// Twice the decode time, so that the response is complete before the next turn.
		at += float64(output)*2*decodeMs + thinkTimeMs(k.medianThinkMs, g.rng.NormFloat64())
	}
}

// Summary returns a human-readable summary of the trace with the requests by kind.
func (t *Trace) Summary() string {
	count, tokens := map[string]int{}, map[string]int{}
	for _, a := range t.Arrivals {
		count[a.Kind]++
		tokens[a.Kind] += a.PromptTokens
	}
	var kinds []string
	for k := range count {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	s := fmt.Sprintf("%s: %d requests, %d prior contexts, %d faults\n", t.Deployment.Trace, len(t.Arrivals), len(t.PriorContexts), len(t.Faults))
	for _, k := range kinds {
		s += fmt.Sprintf("  %-20s %6d requests, mean prompt %6d tokens\n", k, count[k], tokens[k]/count[k])
	}
	return s
}
