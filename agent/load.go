package agent

import (
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/rpc"
)

// prefillBacklog counts, for each endpoint, the prefill tokens of prompts that have
// arrived and whose first frame the engine has not sent yet. The zero value is empty.
type prefillBacklog struct {
	mu        sync.Mutex
	endpoints map[string]*endpointBacklog
}

// endpointBacklog is the backlog of one endpoint.
type endpointBacklog struct {
	tokens       [routing.NumClasses]int // by rank of the priority class
	meanSlotTime time.Duration           // zero before the first measurement
}

// slotTimeSmoothing is the weight of the latest sequence in the moving average of the
// time that a sequence holds a slot.
const slotTimeSmoothing = 0.1

// endpoint returns the backlog of an endpoint. The caller holds the lock.
func (b *prefillBacklog) endpoint(id string) *endpointBacklog {
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

// add counts a prompt's prefill tokens until done is called.
func (b *prefillBacklog) add(endpoint string, rank, tokens int) (done func()) {
	class := min(max(rank, 0), routing.NumClasses-1)
	count := func(n int) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.endpoint(endpoint).tokens[class] += n
	}
	count(tokens)
	return sync.OnceFunc(func() { count(-tokens) })
}

// recordSlotTime records the time that a sequence held its slot.
func (b *prefillBacklog) recordSlotTime(endpoint string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(endpoint)
	if e.meanSlotTime == 0 {
		e.meanSlotTime = d
	}
	e.meanSlotTime += time.Duration(slotTimeSmoothing * float64(d-e.meanSlotTime))
}

// fillReport sets the report's queued tokens, the tokens ahead of a new request of each
// class, and the slot time.
func (b *prefillBacklog) fillReport(r *rpc.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoint(r.Endpoint)
	r.SlotTimeUs = uint64(e.meanSlotTime.Microseconds())
	r.AheadTokens = make([]uint32, routing.NumClasses)
	aheadTokens := 0
	for class := routing.NumClasses - 1; class >= 0; class-- {
		aheadTokens += e.tokens[class]
		r.AheadTokens[class] = uint32(aheadTokens)
	}
	r.QueuedTokens = uint32(aheadTokens)
}

// loadReport returns the load report of an endpoint, with the state of this agent's
// links. For an endpoint without an admission queue, such as a plain service, it
// reports the number of all attempts and calls that are running on the agent.
func (a *Agent) loadReport(endpoint, version string) *rpc.LoadReport {
	l, ok := a.opts.Gate.Load(endpoint)
	if !ok {
		l.Running = int(a.running.Load())
	}
	r := &rpc.LoadReport{
		Endpoint: endpoint, Running: uint32(l.Running), Waiting: uint32(l.Waiting), WeightVersion: version,
		Leaving: a.Leaving(), Epoch: a.loadReportEpoch.Add(1),
	}
	a.backlog.fillReport(r)
	if st := a.opts.Config.Current(); st != nil {
		r.Links = a.opts.Cache.linkReports(st.Doc)
	}
	return r
}

// linkReports returns the state of the links that this agent has used.
func (c *CacheManager) linkReports(doc *config.Document) []*rpc.LinkReport {
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

// report returns the queued bytes of foreground transfers and the rate in bytes per
// second.
func (l *storeLink) report() (queued int64, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedBytes, l.currentRate()
}
