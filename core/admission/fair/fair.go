// Package fair registers the policy admission.fair: weighted start-time fair
// queueing of customers, measured in tokens, within priority classes that have
// minimum shares and reserved slots. Requests that would start after their deadline
// are rejected immediately.
package fair

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/kernel"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "admission.fair"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return New() }}) }

const (
	servedHalfLife      = time.Minute      // half-life of the served tokens by class
	customerIdleTimeout = 30 * time.Second // time after which a customer without requests is inactive
	lightUseHalfLife    = 30 * time.Second // half-life of the mean slot use of light customers
	lightUsePriorTime   = 10 * time.Second // weight of the assumed mean slot use before measurements
	// reserveStdDevs is the number of slots reserved for light customers beyond
	// their mean use, in standard deviations of a Poisson distribution. With 2.33,
	// 99% of their requests find a free slot. isHeavy allows the same margin above
	// a customer's share.
	reserveStdDevs = 2.33
	rateSmoothing  = 0.1 // weight of a new measurement in the moving average of slotRate
	minRetryAfter  = 100 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
)

type class struct {
	admission.Class
	virtualTime  float64 // in tokens divided by weight
	queues       map[string][]*admission.Request
	finishTags   map[string]float64 // by customer, the virtual finish time of its last request
	running      int
	servedTokens float64 // decayed with servedHalfLife

	customers map[string]*customer
	weightSum float64 // sum over the customers
}

// customer is the state of one customer within a class.
type customer struct {
	weight   float64
	running  int
	waiting  int
	lastSeen time.Time
}

// Policy implements admission.Policy.
type Policy struct {
	opts             admission.Options
	classes          map[string]*class
	rankedClasses    []string // class names by rank, highest first
	running          int
	waiting          int
	queuedTokens     int
	slotRate         float64   // tokens per second of one slot
	decayedAt        time.Time // time of the last decay, which isHeavy takes as the current time
	lightSlotSeconds float64   // decayed slot-seconds used by light customers
	lightSeconds     float64   // decayed seconds over which lightSlotSeconds was measured
}

// New returns a policy without slots; Configure sets them.
func New() *Policy {
	return &Policy{classes: map[string]*class{}}
}

// Configure implements admission.Policy.
func (p *Policy) Configure(o admission.Options) {
	if p.slotRate == 0 {
		p.slotRate = o.TokensPerSecond
		// Until their use is measured, light customers are assumed to need half
		// of the slots.
		p.lightSeconds = lightUsePriorTime.Seconds()
		p.lightSlotSeconds = p.lightSeconds * float64(o.Slots) / 2
	}
	p.opts = o
	for id, c := range o.Classes {
		p.classFor(id).Class = c
	}
	p.sortClasses()
}

// classFor returns the state of the class and creates it on first use.
func (p *Policy) classFor(id string) *class {
	cls := p.classes[id]
	if cls == nil {
		cls = &class{Class: p.opts.Classes[id], queues: map[string][]*admission.Request{}, finishTags: map[string]float64{}, customers: map[string]*customer{}}
		p.classes[id] = cls
		p.sortClasses()
	}
	return cls
}

// sortClasses orders the classes by rank, highest first.
func (p *Policy) sortClasses() {
	p.rankedClasses = slices.SortedFunc(maps.Keys(p.classes), func(a, b string) int {
		if d := p.classes[b].Rank - p.classes[a].Rank; d != 0 {
			return d
		}
		if a < b {
			return -1
		}
		return 1
	})
}

// touchCustomer returns the state of the request's customer within its class, creates
// it on first use, and updates the customer's weight and last use.
func (p *Policy) touchCustomer(r *admission.Request, now time.Time) *customer {
	cls := p.classFor(r.Class)
	cust := cls.customers[r.Customer]
	if cust == nil {
		cust = &customer{}
		cls.customers[r.Customer] = cust
	}
	w := math.Max(r.Weight, math.SmallestNonzeroFloat32)
	cls.weightSum += w - cust.weight
	cust.weight, cust.lastSeen = w, now
	return cust
}

// Enqueue implements admission.Policy.
func (p *Policy) Enqueue(r *admission.Request, now time.Time) admission.Decision {
	cls := p.classFor(r.Class)
	// A customer may occupy at most as many queue places as are still free, so
	// that one customer takes at most half of the queue and the others find room.
	queuedByCustomer := 0
	if cust := cls.customers[r.Customer]; cust != nil {
		queuedByCustomer = cust.waiting
	}
	if queuedByCustomer >= p.opts.MaxWaiting-p.waiting {
		return admission.Decision{Outcome: admission.RejectedQueueFull, RetryAfter: p.clampRetryAfter(p.drainTime(p.queuedTokens))}
	}
	tag := max(cls.virtualTime, cls.finishTags[r.Customer])
	o := admission.Decision{EstimatedWait: p.estimateWait(cls, r, tag)}
	if late := now.Add(o.EstimatedWait).Sub(r.Deadline); !r.Deadline.IsZero() && late > 0 {
		o.Outcome, o.RetryAfter = admission.RejectedLate, p.clampRetryAfter(late)
		return o
	}
	cust := p.touchCustomer(r, now)
	r.SetStartTag(tag)
	r.SetQueued(now)
	cls.finishTags[r.Customer] = tag + float64(r.Tokens)/cust.weight
	cls.queues[r.Customer] = append(cls.queues[r.Customer], r)
	cust.waiting++
	p.waiting++
	p.queuedTokens += r.Tokens
	return o
}

func (p *Policy) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// drainTime returns the time that all slots together need for the tokens.
func (p *Policy) drainTime(tokens int) time.Duration {
	if rate := p.slotRate * float64(p.opts.Slots); rate > 0 {
		return time.Duration(float64(tokens) / rate * float64(time.Second))
	}
	return 0
}

// estimateWait returns the expected wait of a request: its own tokens and those
// queued before it, divided by the rate of all slots. Its own tokens account for the
// mean time until a slot becomes free.
func (p *Policy) estimateWait(cls *class, r *admission.Request, tag float64) time.Duration {
	if p.waiting == 0 && p.canStart(cls, r.Customer, p.lightReserve()) {
		return 0
	}
	ahead := 0
	for _, other := range p.classes {
		for _, q := range other.queues {
			for _, queued := range q {
				if other.Rank > cls.Rank || other == cls && queued.StartTag() <= tag {
					ahead += queued.Tokens
				}
			}
		}
	}
	return p.drainTime(ahead + r.Tokens)
}

// isHeavy reports whether the customer exceeds its weighted share of the slots among
// the customers active in the class: it runs far more requests than its share, or
// it has a backlog while it runs about its share. The tokens served in a time window
// are no substitute: they react too late and classify light customers as heavy by
// chance. The only customer of a class is never heavy, nor is a customer without
// running requests. Otherwise, with more customers than slots, all of them could be
// heavy and slots would be reserved although no light customer exists.
func (p *Policy) isHeavy(cls *class, id string) bool {
	cust := cls.customers[id]
	if cust == nil || len(cls.customers) < 2 {
		return false
	}
	fairSlots := float64(p.opts.Slots) * cust.weight / cls.weightSum
	if float64(cust.running) > fairSlots+reserveStdDevs*math.Sqrt(fairSlots) {
		return true // detects a burst long before the served tokens do
	}
	if q := cls.queues[id]; len(q) > 0 && float64(cust.running) >= max(1, fairSlots-1) && p.decayedAt.Sub(q[0].Queued()) > p.serviceTime(q[0]) {
		return true // light customers don't wait for a whole service time
	}
	return false
}

// serviceTime returns the expected time that the request occupies a slot.
func (p *Policy) serviceTime(r *admission.Request) time.Duration {
	return time.Duration(float64(r.Tokens) / max(p.slotRate, math.SmallestNonzeroFloat32) * float64(time.Second))
}

// canStart reports whether a slot is free for the class and the customer. Slots
// reserved for other classes don't count. A heavy customer must leave as many slots
// free as are reserved for light customers: their requests can't wait until its
// running requests finish, which takes much longer than the acceptable time to first
// token.
func (p *Policy) canStart(cls *class, id string, reserve int) bool {
	free := p.opts.Slots - p.running
	for _, o := range p.classes {
		if o != cls {
			free -= max(0, o.ReservedSlots-o.running)
		}
	}
	return free > 0 && (!p.isHeavy(cls, id) || free > reserve)
}

// lightReserve returns the number of free slots to reserve for light customers.
func (p *Policy) lightReserve() int {
	meanUse := p.lightSlotSeconds / max(p.lightSeconds, math.SmallestNonzeroFloat32)
	target := meanUse + reserveStdDevs*math.Sqrt(meanUse)
	return max(0, int(math.Ceil(target))-p.lightRunningSlots())
}

func (p *Policy) lightRunningSlots() int {
	n := 0
	for _, cls := range p.classes {
		for id, cust := range cls.customers {
			if cust.running > 0 && !p.isHeavy(cls, id) {
				n += cust.running
			}
		}
	}
	return n
}

// Next implements admission.Policy.
func (p *Policy) Next(now time.Time) *admission.Request {
	p.decay(now)
	if p.running >= p.opts.Slots || p.waiting == 0 {
		return nil
	}
	var best *admission.Request
	reserve := p.lightReserve()
	for _, id := range p.classOrder() {
		if best = p.nextInClass(p.classes[id], reserve); best != nil {
			break
		}
	}
	if best == nil {
		return nil
	}
	cls := p.classes[best.Class]
	p.removeQueued(best)
	cls.virtualTime = max(cls.virtualTime, best.StartTag())
	p.ForceStart(best, now)
	return best
}

// classOrder returns the names of the classes in the order of service: first those
// below their minimum share, by decreasing deficit, then the others by rank.
func (p *Policy) classOrder() []string {
	total := 0.0
	for _, id := range p.rankedClasses { // fixed order, since floating-point sums depend on it
		total += p.classes[id].servedTokens
	}
	deficit := func(id string) float64 {
		cls := p.classes[id]
		if cls.MinShare <= 0 || total <= 0 {
			return 0
		}
		return max(0, 1-cls.servedTokens/(total*cls.MinShare))
	}
	ids := slices.Clone(p.rankedClasses)
	slices.SortStableFunc(ids, func(a, b string) int {
		switch deficitA, deficitB := deficit(a), deficit(b); {
		case deficitA > deficitB:
			return -1
		case deficitA < deficitB:
			return 1
		}
		return 0
	})
	return ids
}

// nextInClass returns the queued request with the lowest virtual start time among
// the customers of the class that may start one, or nil.
func (p *Policy) nextInClass(cls *class, reserve int) *admission.Request {
	var best *admission.Request
	for id, q := range cls.queues {
		r := q[0]
		if best != nil && (r.StartTag() > best.StartTag() || r.StartTag() == best.StartTag() && id > best.Customer) {
			continue
		}
		if p.canStart(cls, id, reserve) {
			best = r
		}
	}
	return best
}

func (p *Policy) removeQueued(r *admission.Request) bool {
	cls := p.classFor(r.Class)
	q := cls.queues[r.Customer]
	i := slices.Index(q, r)
	if i < 0 {
		return false
	}
	if q = slices.Delete(q, i, i+1); len(q) == 0 {
		delete(cls.queues, r.Customer)
	} else {
		cls.queues[r.Customer] = q
	}
	cls.customers[r.Customer].waiting--
	p.waiting--
	p.queuedTokens -= r.Tokens
	return true
}

// ForceStart implements admission.Policy.
func (p *Policy) ForceStart(r *admission.Request, now time.Time) {
	p.decay(now)
	cls, cust := p.classFor(r.Class), p.touchCustomer(r, now)
	cust.running++
	cls.running++
	cls.servedTokens += float64(r.Tokens)
	p.running++
	r.SetStarted(now)
}

// Done implements admission.Policy. Tokens that were charged but not used are
// credited to the customer's next requests.
func (p *Policy) Done(r *admission.Request, tokens int, now time.Time) {
	p.decay(now)
	cls, cust := p.classFor(r.Class), p.touchCustomer(r, now)
	cust.running--
	cls.running--
	p.running--
	unused := float64(r.Tokens - tokens)
	cls.servedTokens = max(0, cls.servedTokens-unused)
	if tag, ok := cls.finishTags[r.Customer]; ok {
		cls.finishTags[r.Customer] = max(cls.virtualTime, tag-unused/cust.weight)
	}
	if elapsed := now.Sub(r.Started()).Seconds(); elapsed > 0 && tokens > 0 {
		p.slotRate += rateSmoothing * (float64(tokens)/elapsed - p.slotRate)
	}
	p.evictIdleCustomers(now)
}

// evictIdleCustomers removes customers that have had no requests for
// customerIdleTimeout. Their finish tags are kept if they still affect the order
// of queued requests.
func (p *Policy) evictIdleCustomers(now time.Time) {
	for _, cls := range p.classes {
		var idle []string
		for id, cust := range cls.customers {
			if cust.running+cust.waiting == 0 && now.Sub(cust.lastSeen) >= customerIdleTimeout {
				idle = append(idle, id)
			}
		}
		slices.Sort(idle) // fixed order, since floating-point sums depend on it
		for _, id := range idle {
			cls.weightSum -= cls.customers[id].weight
			delete(cls.customers, id)
			if cls.finishTags[id] <= cls.virtualTime || len(cls.queues) == 0 {
				delete(cls.finishTags, id)
			}
		}
	}
}

// decay applies the exponential decay to the served tokens and to the slot use of
// light customers.
func (p *Policy) decay(now time.Time) {
	d := now.Sub(p.decayedAt)
	if p.decayedAt.IsZero() || d <= 0 {
		p.decayedAt = now
		return
	}
	p.decayedAt = now
	w := math.Exp2(-d.Seconds() / lightUseHalfLife.Seconds())
	p.lightSlotSeconds = p.lightSlotSeconds*w + float64(p.lightRunningSlots())*d.Seconds()
	p.lightSeconds = p.lightSeconds*w + d.Seconds()
	w = math.Exp2(-d.Seconds() / servedHalfLife.Seconds())
	for _, cls := range p.classes {
		cls.servedTokens *= w
	}
}

// Cancel implements admission.Policy.
func (p *Policy) Cancel(r *admission.Request) bool { return p.removeQueued(r) }

// Load implements admission.Policy.
func (p *Policy) Load() admission.Load {
	return admission.Load{Running: p.running, Waiting: p.waiting, QueuedTokens: p.queuedTokens}
}
