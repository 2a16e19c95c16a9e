package forward

import (
	"math"
	"time"
)

// outageMemory is how long after the log's return an entry that lapsed is kept:
// endpoints that are alive write again within about two seconds.
const outageMemory = 2200 * time.Millisecond

// Endpoints is the list of endpoints as read from the log.
type Endpoints struct {
	current  map[string]Endpoint
	lapsed   map[string]lapse
	lostAt   time.Duration // first failed read of the current or last outage
	lost     bool
	returned time.Duration
	outage   bool // an outage has ended and its memory may still apply
}

type lapse struct {
	endpoint Endpoint
	until    time.Duration
}

// NewEndpoints returns an empty list.
func NewEndpoints() *Endpoints {
	return &Endpoints{current: map[string]Endpoint{}, lapsed: map[string]lapse{}}
}

// Lost records that the log can't be read.
func (e *Endpoints) Lost(now time.Duration) {
	if !e.lost {
		e.lost, e.lostAt = true, now
	}
}

// Regained records that the log can be read again. It returns false when it
// wasn't lost.
func (e *Endpoints) Regained(now time.Duration) bool {
	if !e.lost {
		return false
	}
	e.lost, e.outage, e.returned = false, true, now
	return true
}

// Apply takes changes in the order of the log.
func (e *Endpoints) Apply(changes []EndpointChange, now time.Duration) {
	for _, c := range changes {
		if c.Endpoint != nil {
			e.current[c.ID] = *c.Endpoint
			delete(e.lapsed, c.ID)
			continue
		}
		e.remove(c.ID, c.Err == nil, now)
	}
}

// Reset replaces the list by a snapshot.
func (e *Endpoints) Reset(changes []EndpointChange, now time.Duration) {
	seen := map[string]bool{}
	for _, c := range changes {
		seen[c.ID] = true
	}
	for id := range e.current {
		if !seen[id] {
			e.remove(id, true, now)
		}
	}
	e.Apply(changes, now)
}

// remove drops an entry. Entries of live endpoints lapse while the log is down,
// so that one which was ready is kept until the endpoint had time to write again.
func (e *Endpoints) remove(id string, lapsed bool, now time.Duration) {
	old, ok := e.current[id]
	delete(e.current, id)
	if ok && lapsed && !old.Draining && e.outage && now < e.returned+outageMemory {
		e.lapsed[id] = lapse{old, e.returned + outageMemory}
	}
}

// Each calls f for every endpoint that may take work.
func (e *Endpoints) Each(now time.Duration, f func(Endpoint)) {
	for _, p := range e.current {
		if !p.Draining {
			f(p)
		}
	}
	for id, l := range e.lapsed {
		if now >= l.until {
			delete(e.lapsed, id)
			continue
		}
		f(l.endpoint)
	}
}

// NextExpiry returns when the next entry that lapsed is dropped.
func (e *Endpoints) NextExpiry() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, l := range e.lapsed {
		next = min(next, l.until)
	}
	return next
}

// Len returns the number of entries that the list holds.
func (e *Endpoints) Len() int { return len(e.current) }

// Get returns the entry of an ID that may take work.
func (e *Endpoints) Get(id string, now time.Duration) (Endpoint, bool) {
	if p, ok := e.current[id]; ok {
		return p, !p.Draining
	}
	l, ok := e.lapsed[id]
	return l.endpoint, ok && now < l.until
}
