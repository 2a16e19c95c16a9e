package forward

import "time"

// Bounds of what is remembered of peers' updates.
const (
	maxPeerUpdates      = 8192        // endpoints to remember
	peerUpdatesInterval = time.Second // between two removals of old updates while as many are remembered
)

// PeerUpdates remembers when peers last reported that they update an endpoint, that is, load
// weights on it or empty it for that. An owner that takes an endpoint over within the handover
// pause depends on it, so it is kept apart from the endpoint list: an endpoint's record may be
// missing for some time, or arrive after the reports. Endpoints are identified by the hash of their
// IDs, and a restart changes nothing: an order to an earlier incarnation may still be on its way.
type PeerUpdates struct {
	reported map[uint32]time.Duration // by endpoint
	// overflowAt is when a report last found no room. It then counts for every endpoint.
	overflowAt time.Duration
	overflowed bool
	removedAt  time.Duration // when old updates were last removed
}

// NewPeerUpdates returns an empty memory.
func NewPeerUpdates() *PeerUpdates { return &PeerUpdates{reported: map[uint32]time.Duration{}} }

// Record records a report that arrives now. Updates older than retention may be forgotten.
func (p *PeerUpdates) Record(endpoint uint32, retention, now time.Duration) {
	if _, known := p.reported[endpoint]; !known && len(p.reported) >= maxPeerUpdates {
		if now >= p.removedAt+peerUpdatesInterval {
			p.removeOld(now - retention)
			p.removedAt = now
		}
		if len(p.reported) >= maxPeerUpdates {
			p.overflowAt, p.overflowed = now, true
			return
		}
	}
	p.reported[endpoint] = now
}

func (p *PeerUpdates) removeOld(before time.Duration) {
	for endpoint, at := range p.reported {
		if at < before {
			delete(p.reported, endpoint)
		}
	}
}

// Last returns when a peer last reported that it updates the endpoint, and false if none has.
func (p *PeerUpdates) Last(endpoint uint32) (time.Duration, bool) {
	at, known := p.reported[endpoint]
	if p.overflowed && (!known || at < p.overflowAt) {
		return p.overflowAt, true
	}
	return at, known
}
