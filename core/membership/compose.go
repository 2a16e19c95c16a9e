package membership

import (
	"math/bits"
	"slices"
	"time"
)

// sendFactor times log2 of the members is how often one process passes an update
// on. The rare member that misses it gets it by the slow repetition, so a low
// factor serves, which empties the messages sooner after many changes.
const sendFactor = 2

func (m *Machine) announce(r *record) {
	if !slices.Contains(m.queue, r) {
		m.queue = append(m.queue, r)
	}
	r.sends = sendFactor * bits.Len(uint(len(m.ring)))
}

// Upper bounds of encoded sizes, in bytes: tags, lengths and varints around the
// strings. A test of the peer package holds them against the encoding.
const (
	headerBytes   = 48 // incarnation, configuration version, 8 bytes of its hash
	memberBytes   = 34
	endpointBytes = 10
	usageBytes    = 16
	maxUsageBytes = 160 // of a message
)

func (u *Member) size() int {
	n := memberBytes + len(u.ID) + len(u.Address) + len(u.Role) + len(u.FailureDomain) + len(u.Region)
	for _, e := range u.Endpoints {
		n += endpointBytes + len(e.ID) + len(e.WeightVersion)
	}
	return n
}

// compose returns the next message to a process. It holds what the receiver must
// refute or repeat first, then the updates sent least often. With sweep, one
// member of a slow repetition of all follows, which repairs updates that were
// lost.
func (m *Machine) compose(now time.Duration, to string, sweep bool) Message {
	msg := Message{From: m.self.ID, Incarnation: m.self.Incarnation, ConfigVersion: m.configVersion, ConfigHash: m.configHash}
	room := m.o.MessageBytes - headerBytes - len(m.self.ID)
	if r := m.members[to]; m.self.Role == RoleEntry && r != nil && r.Role == RoleEntry {
		msg.Usage, room = m.composeUsage(now, to, room)
	}
	put := func(u Member) bool {
		if n := u.size(); n <= room {
			room -= n
			msg.Updates = append(msg.Updates, u)
			return true
		}
		return false
	}
	switch r := m.members[to]; {
	case r == nil:
		put(Member{ID: to})
	case r.asked || r.Incarnation == 0:
		put(Member{ID: to, Incarnation: r.Incarnation})
	case r.State != Live:
		put(short(r))
	}
	m.queue = slices.DeleteFunc(m.queue, func(r *record) bool { return r.sends == 0 })
	slices.SortStableFunc(m.queue, func(a, b *record) int { return b.sends - a.sends })
	isolated := m.isolated(now)
	for _, r := range m.queue {
		if isolated && (r.State == Suspect || r.State == Gone) {
			continue
		}
		if r.sends > 0 && r.ID != to && put(m.update(r)) {
			r.sends--
		}
	}
	if sweep {
		m.sweep = (m.sweep + 1) % len(m.ring)
		if r := m.ring[m.sweep]; r.sends == 0 && r.ID != to && r.Incarnation > 0 {
			put(m.update(r))
		}
	}
	return msg
}

// update returns what is passed on of a member.
func (m *Machine) update(r *record) Member {
	if r.State == Suspect || r.State == Gone {
		return short(r)
	}
	return r.Member
}

// short returns an update of the state alone.
func short(r *record) Member {
	return Member{ID: r.ID, State: r.State, Incarnation: r.Incarnation}
}

// Snapshot returns the members that are not gone, for a process that starts.
func (m *Machine) Snapshot() []Member {
	out := make([]Member, 0, len(m.ring))
	for _, r := range m.ring {
		out = append(out, r.Member)
	}
	return out
}

type usageItem struct {
	Usage
	at    time.Duration // when it was measured
	sends int
}

// SetUsage replaces this process's own usage figures.
func (m *Machine) SetUsage(now time.Duration, us []Usage) {
	for _, u := range us {
		u.Entry, u.Age = m.self.ID, 0
		m.putUsage(now, u)
	}
}

func (m *Machine) takeUsage(now time.Duration, us []Usage) {
	for _, u := range us {
		if u.Entry != m.self.ID && u.Age <= m.o.UsageMaxAge {
			m.putUsage(now, u)
		}
	}
}

// usageSlack is the change of age by rounding and delay under which two figures
// are taken for the same measurement, in intervals.
const usageSlack = 1

func (m *Machine) putUsage(now time.Duration, u Usage) {
	item := usageItem{u, now - u.Age, sendFactor * bits.Len(uint(len(m.entries())))}
	m.usage = slices.DeleteFunc(m.usage, func(x usageItem) bool { return now-x.at > m.o.UsageMaxAge })
	for i, x := range m.usage {
		if x.Customer == u.Customer && x.Entry == u.Entry {
			if item.at > x.at+usageSlack*m.o.Interval || u.Entry == m.self.ID {
				m.usage[i] = item
			}
			return
		}
	}
	m.usage = append(m.usage, item)
}

// Usage returns the figures of all entries that are not too old, with their age.
func (m *Machine) Usage(now time.Duration) []Usage {
	var out []Usage
	for _, x := range m.usage {
		if x.Age = now - x.at; x.Age <= m.o.UsageMaxAge {
			out = append(out, x.Usage)
		}
	}
	return out
}

// entries returns the entries on the ring, this process included.
func (m *Machine) entries() []*record {
	m.sort()
	var out []*record
	for _, r := range m.ring {
		if r.Role == RoleEntry {
			out = append(out, r)
		}
	}
	return out
}

// usageTurn returns the entry that this entry exchanges with in place of a ring
// neighbour, in every other interval while there is usage to pass on. Only
// entries need the usage figures, so they spread on a finger ring of their own.
func (m *Machine) usageTurn(now time.Duration) *record {
	m.usage = slices.DeleteFunc(m.usage, func(x usageItem) bool { return now-x.at > m.o.UsageMaxAge })
	m.usageAt++
	if m.self.Role != RoleEntry || len(m.usage) == 0 || m.usageAt%2 == 0 {
		return nil
	}
	es := m.entries()
	ns := fingers(es, slices.Index(es, m.self))
	if len(ns) == 0 {
		return nil
	}
	return ns[m.usageAt/2%len(ns)]
}

func (m *Machine) composeUsage(now time.Duration, to string, room int) ([]Usage, int) {
	var out []Usage
	left := min(room, maxUsageBytes)
	slices.SortStableFunc(m.usage, func(a, b usageItem) int { return b.sends - a.sends })
	for i := range m.usage {
		x := &m.usage[i]
		n := usageBytes + len(x.Customer) + len(x.Entry)
		if x.sends == 0 || x.Entry == to || n > left || now-x.at > m.o.UsageMaxAge {
			continue
		}
		x.sends--
		left, room = left-n, room-n
		u := x.Usage
		u.Age = now - x.at
		out = append(out, u)
	}
	return out, room
}

// Message returns a message to a process, for an indirect probe on behalf of
// another.
func (m *Machine) Message(now time.Duration, to string) Message {
	return m.compose(now, to, false)
}
