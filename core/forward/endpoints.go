package forward

import (
	"math"
	"time"
)

// lapseGracePeriod is how long a lapsed entry is kept after the log is readable
// again. Live endpoints renew their entries within about two seconds.
const lapseGracePeriod = 2200 * time.Millisecond

// Records from before a return of the log from an older copy.
const (
	reorderWindow = 15 * time.Second // after the return: older records may still be written again
	maxDeparted   = 4096             // departed endpoints to remember, the oldest are forgotten first
)

// EndpointList is the list of endpoints as read from the log.
type EndpointList struct {
	current     map[string]Endpoint
	lapsed      map[string]lapsedEntry
	lostAt      time.Duration // time of the first failed read in the current or last outage
	lost        bool
	regainedAt  time.Duration
	outageEnded bool // an outage has ended, so lapseGracePeriod may still apply
	returned    bool // the log has returned from an older copy
	returnedAt  time.Duration
	departed    map[string]departedEntry
}

// departedEntry is the last known entry of an endpoint that was removed from the list.
type departedEntry struct {
	endpoint Endpoint
	at       time.Duration
}

// lapsedEntry is an entry that lapsed during an outage of the log.
type lapsedEntry struct {
	endpoint Endpoint
	expires  time.Duration
}

// NewEndpointList returns an empty list.
func NewEndpointList() *EndpointList {
	return &EndpointList{current: map[string]Endpoint{}, lapsed: map[string]lapsedEntry{}, departed: map[string]departedEntry{}}
}

// LogLost records that the log can't be read.
func (e *EndpointList) LogLost(now time.Duration) {
	if !e.lost {
		e.lost, e.lostAt = true, now
	}
}

// LogRegained records that the log can be read again. It reports whether the log was
// lost before.
func (e *EndpointList) LogRegained(now time.Duration) bool {
	if !e.lost {
		return false
	}
	e.lost, e.outageEnded, e.regainedAt = false, true, now
	return true
}

// LogReturned records that the log has returned from an older copy. Entries that it lacks
// now may be written again, and entries that are older than the known ones have no effect.
func (e *EndpointList) LogReturned(now time.Duration) {
	e.returned, e.returnedAt = true, now
	e.lost, e.outageEnded, e.regainedAt = false, true, now
}

// superseded reports whether an entry is older than what is known of the endpoint. Within
// one incarnation, an endpoint that drains never becomes ready again.
func (e *EndpointList) superseded(p *Endpoint, now time.Duration) bool {
	if !e.returned || now >= e.returnedAt+reorderWindow {
		return false
	}
	known, listed := e.current[p.ID]
	if !listed {
		d, ok := e.departed[p.ID]
		if !ok {
			return false
		}
		known = d.endpoint
	}
	switch {
	case p.StartedUnixMs != known.StartedUnixMs:
		return p.StartedUnixMs < known.StartedUnixMs
	case known.Draining && !p.Draining:
		return true
	case p.Heartbeat != known.Heartbeat:
		return p.Heartbeat < known.Heartbeat
	}
	return !listed
}

// Apply applies changes in log order.
func (e *EndpointList) Apply(changes []EndpointChange, now time.Duration) {
	for _, c := range changes {
		if c.Endpoint != nil && e.superseded(c.Endpoint, now) {
			continue
		}
		if c.Endpoint != nil {
			e.current[c.ID] = *c.Endpoint
			delete(e.lapsed, c.ID)
			continue
		}
		e.remove(c.ID, c.Err == nil, now)
	}
}

// ApplySnapshot replaces the list with a snapshot.
func (e *EndpointList) ApplySnapshot(changes []EndpointChange, now time.Duration) {
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

// remove deletes an entry. Entries of live endpoints lapse while the log is
// unavailable, so an entry that lapsed and was not draining is kept until its
// endpoint has had time to renew it. The argument lapsed is false for an invalid entry.
func (e *EndpointList) remove(id string, lapsed bool, now time.Duration) {
	old, ok := e.current[id]
	delete(e.current, id)
	if ok {
		e.recordDeparture(old, now)
	}
	if ok && lapsed && !old.Draining && e.outageEnded && now < e.regainedAt+lapseGracePeriod {
		e.lapsed[id] = lapsedEntry{old, e.regainedAt + lapseGracePeriod}
	}
}

// recordDeparture remembers a removed entry, so that an older copy of the log can't bring it
// back.
func (e *EndpointList) recordDeparture(p Endpoint, now time.Duration) {
	if len(e.departed) >= maxDeparted {
		oldest, at := "", time.Duration(math.MaxInt64)
		for id, d := range e.departed {
			if d.at < at || d.at == at && id < oldest {
				oldest, at = id, d.at
			}
		}
		delete(e.departed, oldest)
	}
	e.departed[p.ID] = departedEntry{p, now}
}

// Each calls f for every endpoint that accepts new requests.
func (e *EndpointList) Each(now time.Duration, f func(Endpoint)) {
	for _, p := range e.current {
		if !p.Draining {
			f(p)
		}
	}
	for id, l := range e.lapsed {
		if now >= l.expires {
			delete(e.lapsed, id)
			continue
		}
		f(l.endpoint)
	}
}

// NextExpiry returns when the next lapsed entry is dropped, or the maximum duration if
// there is none.
func (e *EndpointList) NextExpiry() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, l := range e.lapsed {
		next = min(next, l.expires)
	}
	return next
}

// Len returns the number of entries, without the lapsed ones.
func (e *EndpointList) Len() int { return len(e.current) }

// Get returns the entry of an endpoint and reports whether the endpoint accepts new
// requests.
func (e *EndpointList) Get(id string, now time.Duration) (Endpoint, bool) {
	if p, ok := e.current[id]; ok {
		return p, !p.Draining
	}
	l, ok := e.lapsed[id]
	return l.endpoint, ok && now < l.expires
}
