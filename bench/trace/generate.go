package trace

import (
	"fmt"
	"math/rand/v2"
	"sort"
)

// Generate returns the trace of the spec. The same spec gives the same trace.
// Each customer has its own random source, so that one customer's load changes
// nothing in the requests of the others.
func Generate(s Spec) *Trace {
	p := s.profile()
	t := &Trace{Deployment: p.deployment, Faults: s.Faults}
	t.Deployment.Trace, t.Deployment.Seed, t.Deployment.Shares = s.Name, s.seed, s.shares
	for i, customer := range t.Deployment.Customers {
		g := &generator{s: s, p: p, t: t, customer: customer, rng: rand.New(rand.NewPCG(s.seed, uint64(i)))}
		rate := p.rate * s.shares[i]
		if s.heavy && i == 0 {
			rate *= heavyFactor
		}
		g.sessions(rate)
	}
	t.sort()
	for i := range t.Arrivals {
		t.Arrivals[i].Request = fmt.Sprintf("r%06d", i)
	}
	return t
}

type generator struct {
	s        Spec
	p        profile
	t        *Trace
	customer string
	rng      *rand.Rand
	count    int
}

// sessions draws the starts of sessions as a Poisson process.
func (g *generator) sessions(perSecond float64) {
	peak := perSecond
	if g.s.bursts {
		peak *= burstRate
	}
	for at := 0.0; at < g.p.lengthMs; {
		at += g.rng.ExpFloat64() / peak * secondMs
		inBurst := int(at)%int(burstGap) < int(burstMs)
		if g.s.bursts && !inBurst && g.rng.Float64() > 1/burstRate {
			continue
		}
		g.session(at)
	}
}

func (g *generator) draw(s span) int { return s.lo + g.rng.IntN(s.hi-s.lo+1) }

func (g *generator) kind() kind {
	u := g.rng.Float64()
	for _, k := range g.p.kinds {
		if u -= k.share; u < 0 {
			return k
		}
	}
	return g.p.kinds[len(g.p.kinds)-1]
}

// Ages of prior conversations: minutes to days.
const (
	minAgeSeconds = 10 * 60
	maxAgeSeconds = 4 * 24 * 3600
)

// session adds the turns of one conversation; each turn's prompt is everything
// before with the answer to it and a new question.
func (g *generator) session(at float64) {
	k := g.kind()
	g.count++
	conversation := fmt.Sprintf("%s/%d", g.customer, g.count)
	tokens := g.draw(span{k.question.hi, k.question.hi * 3}) // system text and first facts
	if g.rng.Float64() < k.prior {
		tokens = g.draw(k.context)
		g.t.Contexts = append(g.t.Contexts, Context{
			Customer: g.customer, Conversation: conversation, Tokens: tokens,
			AgeSeconds: minAgeSeconds + g.rng.Int64N(maxAgeSeconds-minAgeSeconds),
		})
	}
	for at < g.p.lengthMs {
		tokens += g.draw(k.question)
		output := g.draw(k.output)
		g.t.Arrivals = append(g.t.Arrivals, Arrival{
			AtMs: at, Customer: g.customer, Conversation: conversation, Model: g.p.deployment.Model, Kind: k.name,
			Priority: k.priority, PromptTokens: tokens, MaxTokens: output, DeadlineMs: k.deadlineMs,
		})
		tokens += output
		if g.rng.Float64() > k.more {
			return
		}
		at += float64(output)*2*decodeMs + think(k.thinkMs, g.rng.NormFloat64())
	}
}

// Summary counts a trace's requests by kind, for people.
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
	s := fmt.Sprintf("%s: %d requests, %d prior contexts, %d faults\n", t.Deployment.Trace, len(t.Arrivals), len(t.Contexts), len(t.Faults))
	for _, k := range kinds {
		s += fmt.Sprintf("  %-20s %6d requests, mean prompt %6d tokens\n", k, count[k], tokens[k]/count[k])
	}
	return s
}
