// Package fair registers admission.fair: start-time fair queueing over customers
// by weight, in tokens, within priority classes with minimum shares and reserved
// slots; requests that would start too late are refused at once.
package fair

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/kernel"
)

// ID is the plug-in's name.
const ID kernel.ID = "admission.fair"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return New() }}) }

const (
	shareWindow  = time.Minute      // half-life of the tokens served
	activeWindow = 30 * time.Second // for which a customer without requests counts as active
	busyWindow   = 30 * time.Second // half-life of the mean number of slots that light customers use
	priorTime    = 10 * time.Second // weight of the mean before it is measured
	// Slots kept for light customers beyond their mean use, in standard deviations
	// of a Poisson distribution: 99% of their requests find one free.
	staffing      = 2.33
	rateSmoothing = 0.1
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

type class struct {
	admission.Class
	virtual float64 // time, tokens by weight
	queues  map[string][]*admission.Request
	finish  map[string]float64 // of the customer's last request
	running int
	served  float64 // tokens, decayed

	customers map[string]*customer
	weights   float64 // of the customers
}

// customer is one customer within a class.
type customer struct {
	weight  float64
	running int
	waiting int
	seen    time.Time
}

// Policy implements admission.Policy.
type Policy struct {
	o         admission.Options
	classes   map[string]*class
	order     []string // classes by rank, highest first
	running   int
	waiting   int
	queued    int     // tokens
	rate      float64 // tokens per second of one slot
	decayed   time.Time
	lightSlot float64 // decayed slot-seconds that light customers used
	lightTime float64 // decayed seconds
}

// New returns a policy without slots.
func New() *Policy {
	return &Policy{classes: map[string]*class{}}
}

// Configure implements admission.Policy.
func (p *Policy) Configure(o admission.Options) {
	if p.rate == 0 {
		p.rate = o.TokensPerSecond
		// Until it is measured, light customers are taken to need half of the slots.
		p.lightTime = priorTime.Seconds()
		p.lightSlot = p.lightTime * float64(o.Slots) / 2
	}
	p.o = o
	for id, c := range o.Classes {
		p.class(id).Class = c
	}
	p.sort()
}

func (p *Policy) class(id string) *class {
	c := p.classes[id]
	if c == nil {
		c = &class{Class: p.o.Classes[id], queues: map[string][]*admission.Request{}, finish: map[string]float64{}, customers: map[string]*customer{}}
		p.classes[id] = c
		p.sort()
	}
	return c
}

// sort orders the classes by rank, highest first.
func (p *Policy) sort() {
	p.order = slices.SortedFunc(maps.Keys(p.classes), func(a, b string) int {
		if d := p.classes[b].Rank - p.classes[a].Rank; d != 0 {
			return d
		}
		if a < b {
			return -1
		}
		return 1
	})
}

func (p *Policy) customer(r *admission.Request, now time.Time) *customer {
	cl := p.class(r.Class)
	c := cl.customers[r.Customer]
	if c == nil {
		c = &customer{}
		cl.customers[r.Customer] = c
	}
	w := math.Max(r.Weight, math.SmallestNonzeroFloat32)
	cl.weights += w - c.weight
	c.weight, c.seen = w, now
	return c
}

// Offer implements admission.Policy.
func (p *Policy) Offer(r *admission.Request, now time.Time) admission.Offer {
	c := p.class(r.Class)
	// A customer may hold as many places as are still free, so that one customer
	// takes at most half of the queue and there is always room for the others.
	held := 0
	if cu := c.customers[r.Customer]; cu != nil {
		held = cu.waiting
	}
	if held >= p.o.MaxWaiting-p.waiting {
		return admission.Offer{Verdict: admission.Queued, RetryAfter: p.retry(p.drain(p.queued))}
	}
	tag := max(c.virtual, c.finish[r.Customer])
	o := admission.Offer{Start: p.estimate(c, r, tag)}
	if late := now.Add(o.Start).Sub(r.Deadline); !r.Deadline.IsZero() && late > 0 {
		o.Verdict, o.RetryAfter = admission.Late, p.retry(late)
		return o
	}
	cu := p.customer(r, now)
	r.SetTag(tag)
	r.SetQueued(now)
	c.finish[r.Customer] = tag + float64(r.Tokens)/cu.weight
	c.queues[r.Customer] = append(c.queues[r.Customer], r)
	cu.waiting++
	p.waiting++
	p.queued += r.Tokens
	return o
}

func (p *Policy) retry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// drain returns the time in which all slots serve the tokens.
func (p *Policy) drain(tokens int) time.Duration {
	if rate := p.rate * float64(p.o.Slots); rate > 0 {
		return time.Duration(float64(tokens) / rate * float64(time.Second))
	}
	return 0
}

// estimate returns the wait of a request: what goes before it, over the rate of
// all slots, plus the mean time until one of them is free.
func (p *Policy) estimate(c *class, r *admission.Request, tag float64) time.Duration {
	if p.waiting == 0 && p.mayStart(c, r.Customer, p.kept()) {
		return 0
	}
	ahead := 0
	for _, o := range p.classes {
		for _, q := range o.queues {
			for _, x := range q {
				if o.Rank > c.Rank || o == c && x.Tag() <= tag {
					ahead += x.Tokens
				}
			}
		}
	}
	return p.drain(ahead + r.Tokens)
}

// heavy reports whether the customer takes more than its share of the slots, by
// the weights of the customers active in the class: it runs many more than that,
// or has a backlog while it runs about that many. Tokens served in a window tell
// it too late, and count light customers as heavy by chance. A customer that runs
// nothing is never heavy: with more customers than slots all of them may wait, and
// the free slots would be kept for nobody.
func (p *Policy) heavy(c *class, id string) bool {
	cu := c.customers[id]
	if cu == nil || len(c.customers) < 2 {
		return false
	}
	slots := float64(p.o.Slots) * cu.weight / c.weights
	if float64(cu.running) > slots+staffing*math.Sqrt(slots) {
		return true // a burst shows here long before it shows in the tokens
	}
	if q := c.queues[id]; len(q) > 0 && float64(cu.running) >= max(1, slots-1) && p.decayed.Sub(q[0].Queued()) > p.service(q[0]) {
		return true // light customers don't wait that long
	}
	return false
}

// service returns how long a slot takes for the request.
func (p *Policy) service(r *admission.Request) time.Duration {
	return time.Duration(float64(r.Tokens) / max(p.rate, math.SmallestNonzeroFloat32) * float64(time.Second))
}

// mayStart reports whether a slot is free for the class and the customer. Slots
// reserved for other classes are not. A customer above its share leaves as many
// slots free as the light ones are likely to need: their requests can't wait for
// its running ones, which end much later than a first token is due.
func (p *Policy) mayStart(c *class, id string, kept int) bool {
	free := p.o.Slots - p.running
	for _, o := range p.classes {
		if o != c {
			free -= max(0, o.ReservedSlots-o.running)
		}
	}
	return free > 0 && (!p.heavy(c, id) || free > kept)
}

// kept returns the number of free slots that are kept for light customers.
func (p *Policy) kept() int {
	busy := p.lightSlot / max(p.lightTime, math.SmallestNonzeroFloat32)
	want := busy + staffing*math.Sqrt(busy)
	return max(0, int(math.Ceil(want))-p.lightRunning())
}

func (p *Policy) lightRunning() int {
	n := 0
	for _, c := range p.classes {
		for id, cu := range c.customers {
			if cu.running > 0 && !p.heavy(c, id) {
				n += cu.running
			}
		}
	}
	return n
}

// Next implements admission.Policy.
func (p *Policy) Next(now time.Time) *admission.Request {
	p.decay(now)
	if p.running >= p.o.Slots || p.waiting == 0 {
		return nil
	}
	var best *admission.Request
	kept := p.kept()
	for _, id := range p.classOrder() {
		if best = p.head(p.classes[id], kept); best != nil {
			break
		}
	}
	if best == nil {
		return nil
	}
	c := p.classes[best.Class]
	p.unqueue(best)
	c.virtual = max(c.virtual, best.Tag())
	p.Force(best, now)
	return best
}

// classOrder returns the classes that have less than their minimum share, the one
// farthest below it first, then the others by rank.
func (p *Policy) classOrder() []string {
	total := 0.0
	for _, id := range p.order { // a fixed order, since the sum depends on it
		total += p.classes[id].served
	}
	lack := func(id string) float64 {
		c := p.classes[id]
		if c.MinShare <= 0 || total <= 0 {
			return 0
		}
		return max(0, 1-c.served/(total*c.MinShare))
	}
	ids := slices.Clone(p.order)
	slices.SortStableFunc(ids, func(a, b string) int {
		switch x, y := lack(a), lack(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return ids
}

// head returns the request of the class with the lowest virtual start time among
// the customers that may start.
func (p *Policy) head(c *class, kept int) *admission.Request {
	var best *admission.Request
	for id, q := range c.queues {
		r := q[0]
		if best != nil && (r.Tag() > best.Tag() || r.Tag() == best.Tag() && id > best.Customer) {
			continue
		}
		if p.mayStart(c, id, kept) {
			best = r
		}
	}
	return best
}

func (p *Policy) unqueue(r *admission.Request) bool {
	c := p.class(r.Class)
	q := c.queues[r.Customer]
	i := slices.Index(q, r)
	if i < 0 {
		return false
	}
	if q = slices.Delete(q, i, i+1); len(q) == 0 {
		delete(c.queues, r.Customer)
	} else {
		c.queues[r.Customer] = q
	}
	c.customers[r.Customer].waiting--
	p.waiting--
	p.queued -= r.Tokens
	return true
}

// Force implements admission.Policy.
func (p *Policy) Force(r *admission.Request, now time.Time) {
	p.decay(now)
	c, cu := p.class(r.Class), p.customer(r, now)
	cu.running++
	c.running++
	c.served += float64(r.Tokens)
	p.running++
	r.SetStart(now)
}

// Done implements admission.Policy. Tokens that were charged but not used are
// given back to the customer's next requests.
func (p *Policy) Done(r *admission.Request, tokens int, now time.Time) {
	p.decay(now)
	c, cu := p.class(r.Class), p.customer(r, now)
	cu.running--
	c.running--
	p.running--
	unused := float64(r.Tokens - tokens)
	c.served = max(0, c.served-unused)
	if f, ok := c.finish[r.Customer]; ok {
		c.finish[r.Customer] = max(c.virtual, f-unused/cu.weight)
	}
	if took := now.Sub(r.Started()).Seconds(); took > 0 && tokens > 0 {
		p.rate += rateSmoothing * (float64(tokens)/took - p.rate)
	}
	p.forget(now)
}

// forget drops customers without requests whose state no longer matters.
func (p *Policy) forget(now time.Time) {
	for _, c := range p.classes {
		var idle []string
		for id, cu := range c.customers {
			if cu.running+cu.waiting == 0 && now.Sub(cu.seen) >= activeWindow {
				idle = append(idle, id)
			}
		}
		slices.Sort(idle) // the sum of the weights depends on the order
		for _, id := range idle {
			c.weights -= c.customers[id].weight
			delete(c.customers, id)
			if c.finish[id] <= c.virtual || len(c.queues) == 0 {
				delete(c.finish, id)
			}
		}
	}
}

// decay ages the tokens served and the mean use of slots by light customers.
func (p *Policy) decay(now time.Time) {
	d := now.Sub(p.decayed)
	if p.decayed.IsZero() || d <= 0 {
		p.decayed = now
		return
	}
	p.decayed = now
	w := math.Exp2(-d.Seconds() / busyWindow.Seconds())
	p.lightSlot = p.lightSlot*w + float64(p.lightRunning())*d.Seconds()
	p.lightTime = p.lightTime*w + d.Seconds()
	w = math.Exp2(-d.Seconds() / shareWindow.Seconds())
	for _, c := range p.classes {
		c.served *= w
	}
}

// Cancel implements admission.Policy.
func (p *Policy) Cancel(r *admission.Request) bool { return p.unqueue(r) }

// Load implements admission.Policy.
func (p *Policy) Load() admission.Load {
	return admission.Load{Running: p.running, Waiting: p.waiting, QueuedTokens: p.queued}
}
