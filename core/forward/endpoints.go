package forward

import (
	"math"
	"time"
)

// lapseGracePeriod is how long a lapsed entry is kept after the log is readable
// again. Live endpoints renew their entries within about two seconds.
const lapseGracePeriod = 2200 * time.Millisecond

// Records that are older than what is known.
const (
	// reorderWindow is how long after a record older ones may still be written: by calls to the log
	// that got no answer, or after the log has returned from an older copy. It is bounded because a
	// record of another writer may name any heartbeat or start, and because an endpoint may start
	// again with its clock set back.
	reorderWindow = 15 * time.Second
	maxDeparted   = 4096 // departed endpoints to remember, the oldest are forgotten first
)

// EndpointList is the list of endpoints as read from the log.
type EndpointList struct {
	current     map[string]listedEntry
	lapsed      map[string]lapsedEntry
	lostAt      time.Duration // time of the first failed read in the current or last outage
	lost        bool
	regainedAt  time.Duration
	outageEnded bool // an outage has ended, so lapseGracePeriod may still apply
	returned    bool // the log has returned from an older copy
	returnedAt  time.Duration
	departed    map[string]departedEntry // the last known entries of endpoints that were removed
}

// listedEntry is an entry of the list.
type listedEntry struct {
	Endpoint
	readAt time.Duration
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
	return &EndpointList{current: map[string]listedEntry{}, lapsed: map[string]lapsedEntry{}, departed: map[string]departedEntry{}}
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
	entry, listed := e.current[p.ID]
	known := entry.Endpoint
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

// writtenLate reports whether an entry that would bring back an endpoint which drains or has left is
// from before that: the log may carry out a call that got no answer after newer ones.
func (e *EndpointList) writtenLate(p *Endpoint, now time.Duration) bool {
	entry, listed := e.current[p.ID]
	known, at := entry.Endpoint, entry.readAt
	if !listed {
		d, ok := e.departed[p.ID]
		if !ok {
			return false
		}
		known, at = d.endpoint, d.at
	}
	if e.outageEnded {
		at = max(at, e.regainedAt)
	}
	switch {
	case p.Draining || listed && !known.Draining || now >= at+reorderWindow:
		return false
	case p.StartedUnixMs != known.StartedUnixMs:
		return p.StartedUnixMs < known.StartedUnixMs
	}
	return p.Heartbeat < known.Heartbeat || known.Draining && p.Heartbeat == known.Heartbeat
}

// Outdated reports whether an entry has no effect because it is older than what is known of the
// endpoint.
func (e *EndpointList) Outdated(p *Endpoint, now time.Duration) bool {
	return e.superseded(p, now) || e.writtenLate(p, now)
}

// Apply applies changes in log order.
func (e *EndpointList) Apply(changes []EndpointChange, now time.Duration) {
	for _, c := range changes {
		if c.Endpoint != nil && e.Outdated(c.Endpoint, now) {
			continue
		}
		if c.Endpoint != nil {
			e.current[c.ID] = listedEntry{*c.Endpoint, now}
			delete(e.lapsed, c.ID)
			continue
		}
		e.remove(c.ID, c.Err == nil, now)
	}
}

// RemoveMissing removes the entries that a snapshot lacks.
func (e *EndpointList) RemoveMissing(changes []EndpointChange, now time.Duration) {
	seen := map[string]bool{}
	for _, c := range changes {
		seen[c.ID] = true
	}
	for id := range e.current {
		if !seen[id] {
			e.remove(id, true, now)
		}
	}
}

// remove deletes an entry. Entries of live endpoints lapse while the log is
// unavailable, so an entry that lapsed and was not draining is kept until its
// endpoint has had time to renew it. The argument lapsed is false for an invalid entry.
func (e *EndpointList) remove(id string, lapsed bool, now time.Duration) {
	entry, ok := e.current[id]
	old := entry.Endpoint
	delete(e.current, id)
	if ok {
		e.recordDeparture(old, now)
	}
	if ok && lapsed && !old.Draining && e.outageEnded && now < e.regainedAt+lapseGracePeriod {
		e.lapsed[id] = lapsedEntry{old, e.regainedAt + lapseGracePeriod}
	}
}

// recordDeparture remembers a removed entry, so that an older one can't bring it back.
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
			f(p.Endpoint)
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
		return p.Endpoint, !p.Draining
	}
	l, ok := e.lapsed[id]
	return l.endpoint, ok && now < l.expires
}
