package membership

import (
	"math/bits"
	"slices"
	"time"
)

// retransmitFactor, multiplied by the binary logarithm of the number of members, is
// how often a process sends each update. A low factor shrinks the messages sooner
// after many changes. The few members that miss an update get it from the periodic
// resending of all members.
const retransmitFactor = 2

// queueUpdate queues the update about a member. If it is queued already, the count of
// its remaining sends starts again.
func (m *Machine) queueUpdate(r *record) {
	if !slices.Contains(m.updateQueue, r) {
		m.updateQueue = append(m.updateQueue, r)
	}
	r.sendsLeft = retransmitFactor * bits.Len(uint(len(m.ring)))
}

// Upper bounds of encoded sizes in bytes, without the strings: tags, lengths and
// varints. A test of package peer compares them with the encoding.
const (
	headerBytes           = 48 // incarnation, configuration version and 8 bytes of the configuration hash
	memberBytes           = 34
	endpointBytes         = 10
	demandBytes           = 16
	maxMessageDemandBytes = 160 // limit for all demands in one message, which leaves room for updates
)

func (u *Member) encodedSizeBound() int {
	n := memberBytes + len(u.ID) + len(u.Address) + len(u.Role) + len(u.FailureDomain) + len(u.Region)
	for _, e := range u.Endpoints {
		n += endpointBytes + len(e.ID) + len(e.WeightVersion)
	}
	return n
}

// compose returns the next message to a process. It contains first an update about
// the receiver itself if the receiver must refute or repeat its state, then the
// updates that have been sent least often. With repair, one further member follows,
// taken in turn from all members, which repairs lost updates.
func (m *Machine) compose(now time.Duration, to string, repair bool) Message {
	msg := Message{From: m.self.ID, Incarnation: m.self.Incarnation, ConfigVersion: m.configVersion, ConfigHash: m.configHash}
	bytesLeft := m.opts.MaxMessageBytes - headerBytes - len(m.self.ID)
	if r := m.members[to]; m.self.Role == RoleEntry && r != nil && r.Role == RoleEntry {
		msg.Demands, bytesLeft = m.composeDemands(now, to, bytesLeft)
	}
	addUpdate := func(u Member) bool {
		if n := u.encodedSizeBound(); n <= bytesLeft {
			bytesLeft -= n
			msg.Updates = append(msg.Updates, u)
			return true
		}
		return false
	}
	switch r := m.members[to]; {
	case r == nil:
		addUpdate(Member{ID: to})
	case r.needsAnnouncement || r.Incarnation == 0:
		addUpdate(Member{ID: to, Incarnation: r.Incarnation})
	case r.State != Live:
		addUpdate(stateUpdate(r))
	}
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(r *record) bool { return r.sendsLeft == 0 })
	slices.SortStableFunc(m.updateQueue, func(a, b *record) int { return b.sendsLeft - a.sendsLeft })
	isolated := m.isolated(now)
	for _, r := range m.updateQueue {
		if isolated && (r.State == Suspect || r.State == Gone) {
			continue
		}
		if r.sendsLeft > 0 && r.ID != to && addUpdate(m.updateFor(r)) {
			r.sendsLeft--
		}
	}
	if repair {
		m.repairPos = (m.repairPos + 1) % len(m.ring)
		if r := m.ring[m.repairPos]; r.sendsLeft == 0 && r.ID != to && r.Incarnation > 0 {
			addUpdate(m.updateFor(r))
		}
	}
	return msg
}

// updateFor returns the update to send about a member.
func (m *Machine) updateFor(r *record) Member {
	if r.State == Suspect || r.State == Gone {
		return stateUpdate(r)
	}
	return r.Member
}

// stateUpdate returns a short update, which contains only the state.
func stateUpdate(r *record) Member {
	return Member{ID: r.ID, State: r.State, Incarnation: r.Incarnation}
}

// Snapshot returns the members that are not gone, for a process that joins.
func (m *Machine) Snapshot() []Member {
	out := make([]Member, 0, len(m.ring))
	for _, r := range m.ring {
		out = append(out, r.Member)
	}
	return out
}

// demandItem is a demand with the time of its measurement and its remaining sends.
type demandItem struct {
	Demand
	measuredAt time.Duration
	sendsLeft  int
}

// SetDemands updates the demands measured by this process. Customers that demands doesn't
// contain keep their last demand until it expires.
func (m *Machine) SetDemands(now time.Duration, demands []Demand) {
	for _, d := range demands {
		d.Entry, d.Age = m.self.ID, 0
		m.recordDemand(now, d)
	}
}

func (m *Machine) mergeDemands(now time.Duration, demands []Demand) {
	for _, d := range demands {
		if d.Entry != m.self.ID && d.Age <= m.opts.DemandMaxAge {
			m.recordDemand(now, d)
		}
	}
}

// sameMeasurementIntervals is the difference in measurement time, in intervals, up
// to which two demand items count as the same measurement. It covers rounding and
// network delay.
const sameMeasurementIntervals = 1

func (m *Machine) recordDemand(now time.Duration, d Demand) {
	item := demandItem{d, now - d.Age, retransmitFactor * bits.Len(uint(len(m.entryMembers())))}
	m.demands = slices.DeleteFunc(m.demands, func(x demandItem) bool { return now-x.measuredAt > m.opts.DemandMaxAge })
	for i, known := range m.demands {
		if known.Customer == d.Customer && known.Entry == d.Entry {
			if item.measuredAt > known.measuredAt+sameMeasurementIntervals*m.opts.ExchangeInterval || d.Entry == m.self.ID {
				m.demands[i] = item
			}
			return
		}
	}
	m.demands = append(m.demands, item)
}

// Demands returns the demands at all entries with their age, without those older than
// DemandMaxAge.
func (m *Machine) Demands(now time.Duration) []Demand {
	var out []Demand
	for _, item := range m.demands {
		if item.Age = now - item.measuredAt; item.Age <= m.opts.DemandMaxAge {
			out = append(out, item.Demand)
		}
	}
	return out
}

// entryMembers returns the members on the ring with the role entry, including this
// process.
func (m *Machine) entryMembers() []*record {
	m.sortRing()
	var out []*record
	for _, r := range m.ring {
		if r.Role == RoleEntry {
			out = append(out, r)
		}
	}
	return out
}

// nextDemandPeer returns the entry with which this entry exchanges a message instead
// of a ring neighbour, in every other interval while there are demands to send. Only
// entries need the demands, so they are spread on a separate finger ring of entries.
// Otherwise it returns nil.
func (m *Machine) nextDemandPeer(now time.Duration) *record {
	m.demands = slices.DeleteFunc(m.demands, func(x demandItem) bool { return now-x.measuredAt > m.opts.DemandMaxAge })
	m.demandTicks++
	if m.self.Role != RoleEntry || len(m.demands) == 0 || m.demandTicks%2 == 0 {
		return nil
	}
	entries := m.entryMembers()
	neighbours := fingerNeighbours(entries, slices.Index(entries, m.self))
	if len(neighbours) == 0 {
		return nil
	}
	return neighbours[m.demandTicks/2%len(neighbours)]
}

func (m *Machine) composeDemands(now time.Duration, to string, bytesLeft int) ([]Demand, int) {
	var out []Demand
	demandBytesLeft := min(bytesLeft, maxMessageDemandBytes)
	slices.SortStableFunc(m.demands, func(a, b demandItem) int { return b.sendsLeft - a.sendsLeft })
	for i := range m.demands {
		item := &m.demands[i]
		n := demandBytes + len(item.Customer) + len(item.Entry)
		if item.sendsLeft == 0 || item.Entry == to || n > demandBytesLeft || now-item.measuredAt > m.opts.DemandMaxAge {
			continue
		}
		item.sendsLeft--
		demandBytesLeft, bytesLeft = demandBytesLeft-n, bytesLeft-n
		d := item.Demand
		d.Age = now - item.measuredAt
		out = append(out, d)
	}
	return out, bytesLeft
}

// ComposeMessage returns a message to a process that this process probes on behalf of
// another one.
func (m *Machine) ComposeMessage(now time.Duration, to string) Message {
	return m.compose(now, to, false)
}
