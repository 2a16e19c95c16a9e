package forward

import (
	"math"
	"time"
)

// priorityLevels is the number of priorities that an engine distinguishes; 0 is the most
// urgent.
const priorityLevels = 10

// clampPriority returns the nearest priority that an engine distinguishes.
func clampPriority(p int) int { return min(max(p, 0), priorityLevels-1) }

// PriorityLoad is the load on one endpoint, in total and of the requests up to each
// priority. An engine admits more urgent requests first, so a request waits only for
// those that are at least as urgent.
type PriorityLoad struct {
	EndpointLoad
	upTo [priorityLevels]EndpointLoad
}

// each calls f with the total and with the loads that include requests of the priority.
func (l *PriorityLoad) each(priority int, f func(*EndpointLoad)) {
	f(&l.EndpointLoad)
	for i := clampPriority(priority); i < priorityLevels; i++ {
		f(&l.upTo[i])
	}
}

// Add adds a request that was sent to the endpoint.
func (l *PriorityLoad) Add(w RequestLoad) {
	l.each(w.Priority, func(e *EndpointLoad) { e.Add(w) })
}

// RecordFirstEvent records the first event of a request.
func (l *PriorityLoad) RecordFirstEvent(w *RequestLoad) {
	before := *w
	l.each(w.Priority, func(e *EndpointLoad) {
		*w = before
		e.RecordFirstEvent(w)
	})
}

// Remove removes a request that has ended.
func (l *PriorityLoad) Remove(w *RequestLoad) {
	before := *w
	l.each(w.Priority, func(e *EndpointLoad) {
		*w = before
		e.Remove(w)
	})
}

// UpTo returns the load of the requests that are at least as urgent as the priority.
func (l *PriorityLoad) UpTo(priority int) EndpointLoad { return l.upTo[clampPriority(priority)] }

// mixWindow is the time after which a request's weight in PriorityMix has fallen to 1/e.
const mixWindow = 10 * time.Second

// PriorityMix holds how the load of recent requests is distributed over the priorities. It
// stands for the distribution of the peers' loads, which they report only in total.
type PriorityMix struct {
	upTo   [priorityLevels]loadWeight
	total  loadWeight
	lastAt time.Duration
}

type loadWeight struct{ requests, prefill, memory float64 }

func (w *loadWeight) scale(f float64) {
	w.requests, w.prefill, w.memory = w.requests*f, w.prefill*f, w.memory*f
}

func (w *loadWeight) add(l RequestLoad) {
	w.requests++
	w.prefill += float64(l.PrefillTokens)
	w.memory += float64(l.MemoryTokens)
}

// Record records a placed request.
func (m *PriorityMix) Record(l RequestLoad, now time.Duration) {
	f := math.Exp(-float64(now-m.lastAt) / float64(mixWindow))
	m.lastAt = now
	m.total.scale(f)
	m.total.add(l)
	for i := range m.upTo {
		m.upTo[i].scale(f)
		if i >= clampPriority(l.Priority) {
			m.upTo[i].add(l)
		}
	}
}

// UpTo returns the expected part of a load that is at least as urgent as the priority. It
// is the whole load while nothing is known.
func (m *PriorityMix) UpTo(priority int, l EndpointLoad) EndpointLoad {
	w := m.upTo[clampPriority(priority)]
	share := func(n int, part, all float64) int {
		if all <= 0 {
			return n
		}
		return int(math.Ceil(float64(n) * part / all))
	}
	l.Active = share(l.Active, w.requests, m.total.requests)
	l.Waiting = share(l.Waiting, w.requests, m.total.requests)
	l.PrefillTokens = share(l.PrefillTokens, w.prefill, m.total.prefill)
	l.MemoryTokens = share(l.MemoryTokens, w.memory, m.total.memory)
	return l
}
