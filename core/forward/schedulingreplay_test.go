package forward

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The load of a burst of long patient prompts beside short urgent ones. Customer 0 sends a third of all
// requests. No part of a prompt is cached, as when contexts come back after long.
const (
	replayEngines     = 49
	replayEntries     = 27
	replayCustomers   = 24
	replayTokensPerMs = 57
	replayChunkTokens = 2048
	replayCapacity    = 90_000 // tokens of KV cache memory
	replayDelay       = 20 * time.Millisecond
	replayStep        = time.Millisecond
	replayBurstStart  = 5 * time.Second
	replayBurstEnd    = 15 * time.Second
	replayDuration    = 20 * time.Second
	replayDecode      = 600 * time.Millisecond // from the first event to the end
)

// Long prompts a second outside of the burst. In the burst they are twice as many: with the short ones,
// 2.2 M, 3.0 M and 3.7 M tokens a second, of 2.8 M that the engines prefill.
const (
	replayWithinCapacity    = 67.0
	replayBeyondCapacity    = 100.0
	replayFarBeyondCapacity = 130.0
)

// replayClass is a kind of prompts of the load.
type replayClass struct {
	name      string
	tokens    int
	perSecond float64 // outside of the burst
	burst     float64 // factor of the rate in the burst
	route     Route
	deadline  time.Duration
}

func replayClasses(longPerSecond float64) []replayClass {
	return []replayClass{
		{"short", 2_400, 250, 1, Route{Name: "short", Priority: 0, LatencyTarget: 500 * time.Millisecond, CarriesPrompts: true}, 3 * time.Second},
		{"long", 12_000, longPerSecond, 2, Route{Name: "long", Priority: 2, LatencyTarget: 2 * time.Second, CarriesPrompts: true}, 15 * time.Second},
	}
}

// replayRequest is a prompt of the load and what became of it.
type replayRequest struct {
	class           *replayClass
	entry, customer int
	at              time.Duration
	prompt          *Prompt

	refused, late bool
	engine        int
	priority      int
	work          RequestLoad
	left          int           // tokens that are not prefilled yet
	firstEvent    time.Duration // 0 before it
}

// replayDecision is what an entry decides about a prompt; the engine is -1 if it is refused.
type replayDecision struct {
	engine   int
	priority int
	late     bool
	load     RequestLoad
}

// replayEngine prefills its most urgent prompts first, in chunks.
type replayEngine struct {
	waiting   []*replayRequest
	current   *replayRequest
	chunkLeft int
	memory    int // tokens held by prompts whose prefill has begun
}

// next begins a chunk of the most urgent waiting prompt.
func (e *replayEngine) next() bool {
	if len(e.waiting) == 0 {
		return false
	}
	e.current = slices.MinFunc(e.waiting, func(a, b *replayRequest) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.at, b.at))
	})
	if e.current.left == e.current.prompt.Tokens {
		if e.memory+e.current.work.MemoryTokens > replayCapacity {
			return false
		}
		e.memory += e.current.work.MemoryTokens
	}
	e.chunkLeft = min(replayChunkTokens, e.current.left)
	return true
}

// prefill prefills for one step and returns the prompts that it completed.
func (e *replayEngine) prefill() (done []*replayRequest) {
	for tokens := replayTokensPerMs; tokens > 0; {
		if e.chunkLeft == 0 && !e.next() {
			return done
		}
		n := min(tokens, e.chunkLeft)
		tokens, e.chunkLeft, e.current.left = tokens-n, e.chunkLeft-n, e.current.left-n
		if e.current.left == 0 {
			done = append(done, e.current)
			e.waiting = slices.DeleteFunc(e.waiting, func(r *replayRequest) bool { return r == e.current })
		}
	}
	return done
}

// replayEvent is a change at a later time: of the loads that all entries know, or of an engine.
type replayEvent struct {
	at    time.Duration
	order int
	apply func()
}

type replayEvents []replayEvent

func (q replayEvents) Len() int { return len(q) }
func (q replayEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q replayEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayEvents) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedulingReplay replays the load in virtual time.
type schedulingReplay struct {
	classes []replayClass
	rng     *rand.Rand
	engines [replayEngines]replayEngine
	cs      []Candidate // the loads that the entries know
	events  replayEvents
	order   int
}

// replayDecider decides about a prompt by the loads that all entries know.
type replayDecider func(p *schedulingReplay, r *replayRequest, t PlacementRequest) replayDecision

func (p *schedulingReplay) schedule(at time.Duration, apply func()) {
	p.order++
	heap.Push(&p.events, replayEvent{at, p.order, apply})
}

// arrivals returns the prompts of the load in the order of their arrival.
func (p *schedulingReplay) arrivals() (out []*replayRequest) {
	for i := range p.classes {
		c := &p.classes[i]
		for now := time.Duration(0); ; {
			rate := c.perSecond
			if now >= replayBurstStart && now < replayBurstEnd {
				rate *= c.burst
			}
			if now += time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second)); now >= replayDuration {
				break
			}
			customer := 0
			if p.rng.IntN(3) > 0 {
				customer = 1 + p.rng.IntN(replayCustomers-1)
			}
			prompt := &Prompt{Model: "m", Tokens: c.tokens, MaxOutput: 32, Parts: []Part{{fmt.Sprint(c.name, len(out)), c.tokens - 200}, {"own", 200}}}
			out = append(out, &replayRequest{class: c, entry: p.rng.IntN(replayEntries), customer: customer, at: now, prompt: prompt, left: c.tokens, engine: -1})
		}
	}
	slices.SortStableFunc(out, func(a, b *replayRequest) int { return cmp.Compare(a.at, b.at) })
	return out
}

// replayScheduling replays the load with a seed and returns its prompts.
func replayScheduling(classes []replayClass, seed uint64, decide replayDecider) []*replayRequest {
	p := &schedulingReplay{classes: classes, rng: rand.New(rand.NewPCG(seed, 0)), cs: make([]Candidate, replayEngines)}
	for i := range p.cs {
		p.cs[i] = Candidate{Endpoint: Endpoint{ID: fmt.Sprint("e", i), FailureDomain: "a", Models: []ModelState{{"m", 1}}}, Residency: &Residency{}, Usable: true}
	}
	all := p.arrivals()
	perSecond := float64(len(all)) / replayDuration.Seconds()
	engine := &Engine{CapacityTokens: replayCapacity}
	next := 0
	for now := time.Duration(0); now < replayDuration+classes[len(classes)-1].deadline; now += replayStep {
		for len(p.events) > 0 && p.events[0].at <= now {
			heap.Pop(&p.events).(replayEvent).apply()
		}
		for ; next < len(all) && all[next].at <= now; next++ {
			p.place(all[next], PlacementRequest{
				Prompt: all[next].prompt, FailureDomain: "a", Engine: engine, CacheGroup: "g", StartIndex: p.rng.IntN(replayEngines),
				Now: now, Unseen: perSecond * replayDelay.Seconds(), Fetchable: func(string, int64) bool { return false },
			}, decide)
		}
		for i := range p.engines {
			for _, r := range p.engines[i].prefill() {
				p.complete(r, now+replayStep)
			}
		}
	}
	return all
}

func (p *schedulingReplay) place(r *replayRequest, t PlacementRequest, decide replayDecider) {
	d := decide(p, r, t)
	if r.refused = d.engine < 0; r.refused {
		return
	}
	r.engine, r.priority, r.late, r.work = d.engine, d.priority, d.late, d.load
	e := &p.engines[d.engine]
	e.waiting = append(e.waiting, r)
	p.schedule(t.Now+replayDelay, func() { p.cs[r.engine].Load.Add(r.work) })
}

// complete sends the first event of a prompt and ends it after its decoding time.
func (p *schedulingReplay) complete(r *replayRequest, now time.Duration) {
	r.firstEvent = now
	p.schedule(now+replayDelay, func() { p.cs[r.engine].Load.RecordFirstEvent(&r.work) })
	p.schedule(now+replayDecode, func() { p.engines[r.engine].memory -= r.work.MemoryTokens })
	p.schedule(now+replayDecode+replayDelay, func() { p.cs[r.engine].Load.Remove(&r.work) })
}

// replayResult counts what became of the prompts of a class that came in the burst.
type replayResult struct {
	all, refused, inTarget, inDeadline, late, overdue int
}

func (r replayResult) share(n int) float64 { return float64(n) / float64(max(r.all, 1)) }

func (r replayResult) String() string {
	return fmt.Sprintf("%d: refused %.3f, in target %.3f, later within the deadline %.3f, after it %.3f, placed late %.3f", r.all, r.share(r.refused), r.share(r.inTarget), r.share(r.inDeadline), r.share(r.overdue), r.share(r.late))
}

// countReplay counts the prompts of a class for which include returns true.
func countReplay(all []*replayRequest, class string, include func(*replayRequest) bool) (out replayResult) {
	for _, r := range all {
		if r.class.name != class || r.at < replayBurstStart || r.at >= replayBurstEnd || !include(r) {
			continue
		}
		out.all++
		out.late += boolInt(r.late)
		wait := r.firstEvent - r.at
		switch {
		case r.refused:
			out.refused++
		case r.firstEvent > 0 && wait <= r.class.route.LatencyTarget:
			out.inTarget++
		case r.firstEvent > 0 && wait <= r.class.deadline:
			out.inDeadline++
		default:
			out.overdue++
		}
	}
	return out
}

// decideBefore decides as without any of the settings of scheduling.
func decideBefore(p *schedulingReplay, r *replayRequest, t PlacementRequest) replayDecision {
	c := Choose(t, p.cs)
	if c.Index < 0 || c.ExpectedWait > r.class.deadline || ShouldShed(c, r.class.route.LatencyTarget) {
		return replayDecision{engine: -1}
	}
	return replayDecision{engine: c.Index, priority: r.class.route.Priority, load: c.Load}
}

// scheduler decides as with settings of scheduling. Each entry has shares of its own.
type scheduler struct {
	late   bool
	shares []FairShare // by entry, nil if the setting is off
	table  *Table
}

func newScheduler(classes []replayClass, late, fairShare bool) *scheduler {
	config := &Config{}
	for _, c := range classes {
		config.Routes = append(config.Routes, c.route)
	}
	s := &scheduler{late: late, table: NewTable(config)}
	if fairShare {
		s.shares = make([]FairShare, replayEntries)
	}
	return s
}

func (s *scheduler) decide(p *schedulingReplay, r *replayRequest, t PlacementRequest) replayDecision {
	rank := s.table.Rank(&r.class.route, nil)
	t.Ranked, t.Rank = true, rank
	c, customer := Choose(t, p.cs), fmt.Sprint(r.customer)
	if c.Index < 0 || c.ExpectedWait > r.class.deadline {
		return replayDecision{engine: -1}
	}
	var behindAll func() Choice
	if s.late {
		behindAll = func() Choice {
			t.Rank = LastRank
			return Choose(t, p.cs)
		}
	}
	overShare := s.shares != nil && s.shares[r.entry].Exceeds(customer, rank, t.Now)
	c, outcome, _ := Schedule(c, r.class.route.LatencyTarget, r.class.deadline, overShare, behindAll)
	if s.shares != nil {
		s.shares[r.entry].RecordPrompt(customer, rank, r.prompt.Tokens, outcome, t.Now)
	}
	if outcome == Refused {
		return replayDecision{engine: -1}
	}
	return replayDecision{engine: c.Index, priority: c.Load.Rank, late: outcome.Late(), load: c.Load}
}
