package agent

import (
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/rpc"
)

// backlog counts the prefill before each endpoint: of prompts that have arrived
// and whose first frame the engine has not sent. The zero value is empty.
type backlog struct {
	mu        sync.Mutex
	endpoints map[string]*endpointBacklog
}

type endpointBacklog struct {
	tokens   [routing.NumClasses]int // by the rank of the priority class
	slotTime time.Duration           // smoothed mean
}

// slotSmoothing is the weight of the latest answer in the mean time that a
// sequence holds a slot.
const slotSmoothing = 0.1

func (b *backlog) endpoint(id string) *endpointBacklog {
	if b.endpoints == nil {
		b.endpoints = map[string]*endpointBacklog{}
	}
	e := b.endpoints[id]
	if e == nil {
		e = &endpointBacklog{}
		b.endpoints[id] = e
	}
	return e
}

// add counts a prompt's prefill until the returned function is called.
func (b *backlog) add(endpoint string, rank, tokens int) (done func()) {
	class := min(max(rank, 0), routing.NumClasses-1)
	count := func(n int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.endpoint(endpoint).tokens[class] += n
	}
	count(tokens)
	return sync.OnceFunc(func() { count(-tokens) })
}

// held takes the time that a sequence held its slot.
func (b *backlog) held(endpoint string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(endpoint)
	if e.slotTime == 0 {
		e.slotTime = d
	}
	e.slotTime += time.Duration(slotSmoothing * float64(d-e.slotTime))
}

// fill sets the queued tokens, those that go before a request of each class, and
// the slot time.
func (b *backlog) fill(r *rpc.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(r.Endpoint)
	r.SlotTimeUs = uint64(e.slotTime.Microseconds())
	r.AheadTokens = make([]uint32, routing.NumClasses)
	ahead := 0
	for class := routing.NumClasses - 1; class >= 0; class-- {
		ahead += e.tokens[class]
		r.AheadTokens[class] = uint32(ahead)
	}
	r.QueuedTokens = uint32(ahead)
}

// load returns the report of an endpoint, with the links as this agent sees them.
func (a *Agent) load(endpoint, version string) *rpc.LoadReport {
	l, ok := a.o.Gate.Load(endpoint)
	if !ok {
		l.Running = int(a.active.Load())
	}
	r := &rpc.LoadReport{
		Endpoint: endpoint, Running: uint32(l.Running), Waiting: uint32(l.Waiting), WeightVersion: version,
		Leaving: a.Leaving(), Epoch: a.epoch.Add(1),
	}
	a.backlog.fill(r)
	if st := a.o.Config.Current(); st != nil {
		r.Links = a.o.Cache.linkReports(st.Doc)
	}
	return r
}

// linkReports returns the state of the links that this agent has used.
func (c *Cache) linkReports(doc *config.Document) []*rpc.LinkReport {
	if c == nil {
		return nil
	}
	var out []*rpc.LinkReport
	for id, s := range doc.Stores {
		c.mu.Lock()
		l := c.links[s.Address]
		c.mu.Unlock()
		if l == nil {
			continue
		}
		queued, rate := l.report()
		out = append(out, &rpc.LinkReport{Store: id, QueuedBytes: uint64(max(0, queued)), BytesPerSecond: uint64(rate)})
	}
	return out
}

// report returns the bytes of foreground transfers that are queued, and the rate
// in bytes per second.
func (l *link) report() (queued int64, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queued, l.current()
}
