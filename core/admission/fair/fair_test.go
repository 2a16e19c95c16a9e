package fair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/admission/fifo"
	"github.com/galenaweir/galenaweir/core/kernel"
)

const (
	slots    = 16
	tokens   = 1000
	service  = 2 * time.Second // of one request
	prefill  = 250 * time.Millisecond
	simTime  = 5 * time.Minute
	deadline = time.Hour
)

func options() admission.Options {
	return admission.Options{Slots: slots, TokensPerSecond: tokens / service.Seconds(), MaxWaiting: 1000, Classes: map[string]admission.Class{
		"interactive": {Rank: 3, MinShare: 0.5, ReservedSlots: 2}, "standard": {Rank: 2, MinShare: 0.2}, "batch": {Rank: 1, MinShare: 0.1},
	}}
}

type event struct {
	at   time.Time
	r    *admission.Request // arrives, or ends if it was started
	done bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// load is one customer's requests in a class.
type load struct {
	customer, class string
	perSecond       float64
}

type result struct {
	first  []time.Duration // times to first token
	tokens int
}

// run plays the loads in virtual time; it returns the results by customer.
func run(p admission.Policy, seed uint64, loads ...load) map[string]*result {
	p.Configure(options())
	begin := time.Unix(0, 0)
	var q events
	out := map[string]*result{}
	for _, l := range loads {
		rng := rand.New(rand.NewPCG(seed, uint64(len(l.customer))<<8|uint64(l.customer[len(l.customer)-1])))
		out[l.customer] = &result{}
		for at := begin; at.Sub(begin) < simTime; at = at.Add(time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second))) {
			q = append(q, event{at, &admission.Request{Customer: l.customer, Weight: 1, Class: l.class, Tokens: tokens, Deadline: at.Add(deadline)}, false})
		}
	}
	arrived := map[*admission.Request]time.Time{}
	heap.Init(&q)
	for len(q) > 0 && q[0].at.Sub(begin) < simTime {
		e := heap.Pop(&q).(event)
		if e.done {
			p.Done(e.r, tokens, e.at)
		} else {
			arrived[e.r] = e.at
			p.Offer(e.r, e.at)
		}
		for r := p.Next(e.at); r != nil; r = p.Next(e.at) {
			o := out[r.Customer]
			o.first = append(o.first, e.at.Sub(arrived[r])+prefill)
			o.tokens += r.Tokens
			heap.Push(&q, event{e.at.Add(service), r, true})
		}
	}
	return out
}

func p95(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*95/100]
}

// lights are seven customers that together use the given share of the endpoint.
func lights(share float64) (out []load) {
	for i := range 7 {
		out = append(out, load{fmt.Sprint("light-", i), "standard", share * slots / service.Seconds() / 7})
	}
	return out
}

func lightP95(rs map[string]*result) time.Duration {
	var all []time.Duration
	for id, r := range rs {
		if id != "heavy" {
			all = append(all, r.first...)
		}
	}
	return p95(all)
}

// lightSlowdown returns how much a customer at ten times its share slows down the
// light ones, at p95 of the time to first token.
func lightSlowdown(t testing.TB, id kernel.ID, share float64, seed uint64) float64 {
	policy := func() admission.Policy {
		p, err := kernel.New[admission.Policy](id)
		require.NoError(t, err)
		return p
	}
	alone := lightP95(run(policy(), seed, lights(share)...))
	with := lightP95(run(policy(), seed, append(lights(share), load{"heavy", "standard", 10})...))
	return float64(with) / float64(alone)
}

// Section 14: the light customers' p95 while a heavy customer sends ten times its
// share stays within 1.2 times their p95 without it.
func TestHeavyCustomerDoesNotSlowLightOnes(t *testing.T) {
	const limit, lightShare = 1.2, 0.4
	for seed := range uint64(3) {
		require.LessOrEqual(t, lightSlowdown(t, ID, lightShare, seed), limit, "seed %d", seed)
		require.Greater(t, lightSlowdown(t, fifo.ID, lightShare, seed), limit, "seed %d: the baseline must show the harm", seed)
	}
}

// Under overload, customers get tokens by weight and not by demand, and a class
// with a minimum share is not starved by higher ones.
func TestSharesUnderOverload(t *testing.T) {
	rs := run(New(), 1, load{"a", "standard", 20}, load{"bb", "standard", 80})
	require.InEpsilon(t, rs["a"].tokens, rs["bb"].tokens, 0.05)
	rs = run(New(), 1, load{"now", "interactive", 50}, load{"std", "standard", 50}, load{"batch", "batch", 50})
	all := float64(rs["now"].tokens + rs["std"].tokens + rs["batch"].tokens)
	require.InDelta(t, 0.1, float64(rs["batch"].tokens)/all, 0.02)
	require.InDelta(t, 0.2, float64(rs["std"].tokens)/all, 0.02)
}

// Slots that are reserved for the interactive class stay free for it.
func TestReservedSlots(t *testing.T) {
	p, now := New(), time.Unix(0, 0)
	p.Configure(options())
	for range slots {
		p.Offer(&admission.Request{Customer: "a", Weight: 1, Class: "batch", Tokens: 1}, now)
	}
	n := 0
	for p.Next(now) != nil {
		n++
	}
	require.Equal(t, slots-2, n)
	p.Offer(&admission.Request{Customer: "a", Weight: 1, Class: "interactive", Tokens: 1}, now)
	require.Equal(t, "interactive", p.Next(now).Class)
}

// P5: a request that would start after its deadline is refused at once and leaves
// no trace; one that a light customer sends is estimated by its own place.
func TestEarlyRefusal(t *testing.T) {
	p, now := New(), time.Unix(0, 0)
	p.Configure(options())
	request := func(customer string, in time.Duration) *admission.Request {
		return &admission.Request{Customer: customer, Weight: 1, Class: "standard", Tokens: tokens, Deadline: now.Add(in)}
	}
	for range 10 * slots {
		require.Equal(t, admission.Wait, p.Offer(request("heavy", deadline), now).Verdict)
	}
	for p.Next(now) != nil {
	}
	before := p.Load()
	o := p.Offer(request("heavy", service), now)
	require.Equal(t, admission.Late, o.Verdict)
	require.GreaterOrEqual(t, o.RetryAfter, 8*service, "about nine rounds are waiting")
	require.Equal(t, before, p.Load())
	require.Equal(t, admission.Wait, p.Offer(request("light", service), now).Verdict)
	o2 := options()
	o2.MaxWaiting = p.Load().Waiting
	p.Configure(o2)
	require.Equal(t, admission.Queued, p.Offer(request("light", deadline), now).Verdict)
}

// Tokens, slots and customers must be given back, whatever ends a request.
func TestAccounting(t *testing.T) {
	const seed = 5
	rng := rand.New(rand.NewPCG(seed, 0))
	p, now := New(), time.Unix(0, 0)
	p.Configure(options())
	var waiting, running []*admission.Request
	for i := range 20_000 {
		now = now.Add(time.Duration(rng.IntN(100)) * time.Millisecond)
		switch k := rng.IntN(4); {
		case k == 0 && len(waiting) > 0:
			r := waiting[rng.IntN(len(waiting))]
			require.True(t, p.Cancel(r), "seed %d step %d", seed, i)
			require.False(t, p.Cancel(r))
			waiting = slices.DeleteFunc(waiting, func(x *admission.Request) bool { return x == r })
		case k == 1 && len(running) > 0:
			p.Done(running[0], rng.IntN(tokens), now)
			running = running[1:]
		default:
			r := &admission.Request{Customer: fmt.Sprint(rng.IntN(50)), Weight: 1, Class: "batch", Tokens: 1 + rng.IntN(tokens)}
			require.Equal(t, admission.Wait, p.Offer(r, now).Verdict)
			waiting = append(waiting, r)
		}
		for r := p.Next(now); r != nil; r = p.Next(now) {
			running = append(running, r)
			waiting = slices.DeleteFunc(waiting, func(x *admission.Request) bool { return x == r })
		}
		l := p.Load()
		require.Equal(t, []int{len(running), len(waiting)}, []int{l.Running, l.Waiting}, "seed %d step %d", seed, i)
		require.LessOrEqual(t, l.Running, slots)
	}
	for _, r := range waiting {
		p.Cancel(r)
	}
	for _, r := range running {
		p.Done(r, 1, now)
	}
	p.forget(now.Add(activeWindow))
	require.Zero(t, p.Load())
	require.Empty(t, p.classes["batch"].customers)
	require.Empty(t, p.classes["batch"].finish)
}

// BenchmarkDecision measures one offer, one start and one end with many customers
// waiting.
func BenchmarkDecision(b *testing.B) {
	p, now := New(), time.Unix(0, 0)
	p.Configure(options())
	var running []*admission.Request
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		p.Offer(&admission.Request{Customer: fmt.Sprint(i % 800), Weight: 1, Class: "standard", Tokens: tokens, Deadline: now.Add(deadline)}, now)
		for r := p.Next(now); r != nil; r = p.Next(now) {
			running = append(running, r)
		}
		if len(running) > 0 && p.Load().Waiting > 800 {
			p.Done(running[0], tokens, now)
			running = running[1:]
		}
	}
}

// BenchmarkHeavyCustomer gives the figures of docs/decisions/0006-fairness.md.
func BenchmarkHeavyCustomer(b *testing.B) {
	for _, id := range kernel.IDs("admission") {
		for _, share := range []float64{0.2, 0.3, 0.4, 0.6} {
			b.Run(fmt.Sprintf("%s/lights=%.1f", id, share), func(b *testing.B) {
				var s float64
				for b.Loop() {
					s = lightSlowdown(b, id, share, 0)
				}
				b.ReportMetric(s, "p95-with/without")
			})
		}
	}
}

// Guards against slots that stay empty while requests wait: with more customers
// than slots, an even share is less than one slot, and a customer that runs
// nothing must not count as heavy for its backlog.
func TestManyWaitingCustomersFillTheSlots(t *testing.T) {
	const customers = 10 * slots
	p := New()
	p.Configure(options())
	now := time.Unix(0, 0)
	for i := range 2 * customers {
		r := &admission.Request{Customer: fmt.Sprint(i % customers), Weight: 1, Class: "interactive", Tokens: tokens}
		require.Equal(t, admission.Wait, p.Offer(r, now).Verdict)
	}
	now = now.Add(2 * service)
	for p.Next(now) != nil {
	}
	require.Equal(t, slots, p.Load().Running)
}
