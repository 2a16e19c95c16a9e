package membership

import (
	"slices"
	"time"
)

// indirectProbers is the number of other members that are asked to probe one
// that failed to answer.
const indirectProbers = 2

// Receive takes a message from another process and returns the answer.
func (m *Machine) Receive(now time.Duration, msg Message) Message {
	m.take(now, msg)
	return m.compose(now, msg.From, false)
}

// Answered takes the answer to an exchange. It returns another exchange when the
// other side asked this process to announce itself.
func (m *Machine) Answered(now time.Duration, target string, msg Message) []Command {
	r := m.members[target]
	if m.take(now, msg) && r != nil && r.State != Gone {
		return []Command{m.exchange(now, r)}
	}
	return nil
}

// take applies a message. It returns true when this process must announce itself
// to the sender.
func (m *Machine) take(now time.Duration, msg Message) bool {
	m.contact(now, msg.From)
	m.heardAt = now
	again := false
	for _, u := range msg.Updates {
		again = m.apply(now, u, true) || again
	}
	m.takeUsage(now, msg.Usage)
	if r := m.members[msg.From]; r != nil && r != m.self {
		r.ConfigVersion = max(r.ConfigVersion, msg.ConfigVersion)
		r.asked = msg.Incarnation > r.Incarnation
		r.reached = true
	}
	return again
}

// isolatedIntervals without any message mean that this process is cut off: usually
// it hears from two others in each interval.
const isolatedIntervals = 4

// minJudges is the number of members from which silence of all means that this
// process is cut off, rather than that the others died.
const minJudges = 4

// isolated reports whether this process hears from nobody. It then judges nobody
// and spreads no verdict.
func (m *Machine) isolated(now time.Duration) bool {
	return len(m.ring) >= minJudges && now-m.heardAt > isolatedIntervals*m.o.Interval
}

// healingReprobes times the interval of probes is how long gone members are
// probed at every tick after one of them answered.
const healingReprobes = 3

// contact notices that this process or the sender was cut off: this one heard
// from nobody, or it took the sender for gone. The members are fetched again. While
// a fetch is due, the last sender that was taken for gone is asked, since an earlier
// one may have refused.
func (m *Machine) contact(now time.Duration, from string) {
	r := m.members[from]
	back := r != nil && r.State == Gone
	if back {
		m.rejoin = r.Member
	}
	if !m.joined || (!back && !m.isolated(now)) {
		return
	}
	if m.isolated(now) {
		m.cutOff = true
		for _, q := range m.queue {
			if q.State == Suspect || q.State == Gone {
				q.sends = 0
			}
		}
	}
	m.joined = false
	m.joinAt = now + m.jitter(m.o.JoinJitter)
	if back {
		m.healing = now + healingReprobes*m.o.Reprobe
	}
}

// Failed takes note of an exchange that failed and returns the indirect probes
// that tell a dead member from a cut between two processes.
func (m *Machine) Failed(now time.Duration, target string) []Command {
	r := m.members[target]
	if r == nil || (r.State != Live && r.State != Leaving) || r.probes > 0 || !m.trusted(now) {
		return nil
	}
	return m.probe(now, r, r.State == Leaving)
}

// probe asks two random members to probe another. deciding tells that the result
// decides whether a suspect is gone.
func (m *Machine) probe(now time.Duration, r *record, deciding bool) []Command {
	var via []*record
	for _, i := range m.rand.Perm(len(m.ring)) {
		if c := m.ring[i]; c != m.self && c != r && c.State == Live {
			via = append(via, c)
		}
		if len(via) == indirectProbers {
			break
		}
	}
	r.probes, r.reached, r.deciding = len(via), false, deciding
	if len(via) == 0 {
		m.unreachable(now, r)
		return nil
	}
	var cs []Command
	for _, v := range via {
		cs = append(cs, Command{Kind: IndirectProbe, Target: r.ID, Address: r.Address, Via: v.ID, ViaAddress: v.Address})
	}
	return cs
}

// Probed takes the result of an indirect probe. A prober that failed itself
// counts as one that didn't reach the target.
func (m *Machine) Probed(now time.Duration, target string, reached bool) {
	r := m.members[target]
	if r == nil || r.probes == 0 {
		return
	}
	r.probes--
	r.reached = r.reached || reached
	switch {
	case r.probes > 0:
	case !r.reached:
		m.unreachable(now, r)
	case r.deciding:
		// Others still hear from it: it stays suspect until it refutes.
		r.until = now + m.suspicion(r)
	}
}

func (m *Machine) unreachable(now time.Duration, r *record) {
	switch {
	case !m.trusted(now):
	case r.deciding:
		m.become(now, r, Gone)
	case r.State == Live:
		m.become(now, r, Suspect)
	}
}

// become changes a state that this process has decided on.
func (m *Machine) become(now time.Duration, r *record, s State) {
	u := r.Member
	u.State = s
	m.change(now, r, u)
	m.announce(r)
}

// undecidedFactor times the suspicion time is how long a suspect is kept that
// none of its ring neighbours has decided on.
const undecidedFactor = 4

// expire turns suspects into gone members at the end of their time. A member
// that the platform's list still holds is first probed once more, by the members
// that have it as out-neighbour, so that not everyone probes it at once; the
// others wait for their decision.
func (m *Machine) expire(now time.Duration) []Command {
	if !m.trusted(now) {
		return nil
	}
	var cs []Command
	ns := m.neighbours()
	for _, r := range slices.Clone(m.ring) {
		if r.State != Suspect || now < r.until || r.probes > 0 {
			continue
		}
		witness := r.listed && now-m.listAt <= m.o.ListMaxAge
		switch {
		case r.told:
			m.become(now, r, Gone)
		case witness && slices.Contains(ns, r):
			cs = append(cs, m.probe(now, r, true)...)
		case !witness || now >= r.until+undecidedFactor*m.o.Suspicion:
			m.become(now, r, Gone)
		}
	}
	return cs
}

// probeGone exchanges a message with one gone member, so that two sides of a
// healed partition find each other, and forgets members that are gone for good.
func (m *Machine) probeGone(now time.Duration) []Command {
	m.gone = slices.DeleteFunc(m.gone, func(r *record) bool {
		forget := !r.listed && now-r.goneAt > m.o.Forget
		if forget {
			delete(m.members, r.ID)
		}
		return forget
	})
	if len(m.gone) == 0 {
		return nil
	}
	if now < m.healing {
		m.reprobe = now // the partition has healed: probe at every tick
	}
	return []Command{m.exchange(now, m.gone[m.rand.IntN(len(m.gone))])}
}

// firstSendPart divides the sends of the first announcement of a member from the
// host list, which the others know from there. It shortens the time of full
// messages after a start of all processes.
const firstSendPart = 2

// apply takes an update. It returns true when this process must announce itself
// again because the sender holds something else of it.
func (m *Machine) apply(now time.Duration, u Member, spread bool) bool {
	r := m.members[u.ID]
	first := r != nil && r.Incarnation == 0
	switch {
	case r == m.self:
		return m.applySelf(u)
	case u.State < Live || u.State > Gone:
		return false
	case r == nil:
		if u.State == Gone || u.Address == "" {
			return false
		}
		r = m.add(u)
		m.enter(now, r)
	case u.Incarnation > r.Incarnation && (u.Address != "" || u.State == Gone), u.Incarnation == r.Incarnation && u.State > r.State:
		m.change(now, r, r.doubted(now, u))
	default:
		if u.Incarnation == r.Incarnation {
			r.ConfigVersion = max(r.ConfigVersion, u.ConfigVersion)
		}
		return false
	}
	if spread {
		m.announce(r)
		if first {
			r.sends /= firstSendPart
		}
	}
	return false
}

// doubted returns the update as it counts here. When others say that a member is
// gone, it is suspect for the suspicion time at first, so that it can refute what
// a process says that was itself cut off.
func (r *record) doubted(now time.Duration, u Member) Member {
	if u.State != Gone || r.State == Leaving || (r.State == Suspect && now >= r.until) {
		return u
	}
	r.told = true
	u.State = Suspect
	return u
}

// applySelf refutes a wrong belief about this process by a higher incarnation.
func (m *Machine) applySelf(u Member) bool {
	s := m.self
	if u.State == s.State && u.Incarnation == s.Incarnation {
		return false
	}
	if u.State > Live && u.Incarnation >= s.Incarnation {
		s.Incarnation = u.Incarnation + 1
	}
	m.announce(s)
	return true
}

// change moves a record to the update's state and content.
func (m *Machine) change(now time.Duration, r *record, u Member) {
	old := r.State
	if u.State == old && u.Incarnation == r.Incarnation {
		return
	}
	if u.Address == "" {
		r.State, r.Incarnation = u.State, u.Incarnation
	} else {
		u.ConfigVersion = max(u.ConfigVersion, r.ConfigVersion)
		r.Member = u
	}
	switch {
	case old != Gone && r.State == Gone:
		m.ring = slices.DeleteFunc(m.ring, func(x *record) bool { return x == r })
		m.gone = append(m.gone, r)
		r.goneAt = now
	case old == Gone && r.State != Gone:
		m.gone = slices.DeleteFunc(m.gone, func(x *record) bool { return x == r })
		m.ring = append(m.ring, r)
		m.dirty = true
	}
	if r.State == Live && (old == Suspect || old == Gone) {
		m.flap(now, r)
	}
	if r.State != old {
		m.enter(now, r)
	}
	if r.State == Live {
		r.told = false
	}
}

// enter sets the time limit of a state that was just entered.
func (m *Machine) enter(now time.Duration, r *record) {
	r.asked = false
	if r.State == Suspect || r.State == Leaving {
		r.until = now + m.suspicion(r)
	}
}

// flap counts a return from suspect or gone. From the second within the decay
// time on, the member is shown as suspect for a time that doubles.
func (m *Machine) flap(now time.Duration, r *record) {
	r.flaps -= min(r.flaps, int((now-r.flapAt)/m.o.FlapDecay))
	r.flaps++
	r.flapAt = now
	if r.flaps > 1 {
		r.held = now + m.damped(r.flaps-1)
	}
}

func (m *Machine) suspicion(r *record) time.Duration {
	return m.damped(r.flaps)
}

// damped is the suspicion time, doubled for each flap up to the limit.
func (m *Machine) damped(flaps int) time.Duration {
	d := m.o.Suspicion
	for range flaps {
		if d >= m.o.MaxSuspicion {
			break
		}
		d *= 2
	}
	return min(d, m.o.MaxSuspicion)
}

// Host is one entry of the platform's list.
type Host struct {
	ID, Role, Address, FailureDomain, Region string
	Leaving                                  bool
}

// HostList takes the platform's lagging list. It adds members and is a witness
// for suspects; it never removes a member or changes the state of a known one.
func (m *Machine) HostList(now time.Duration, hosts []Host) {
	for _, r := range m.members {
		r.listed = false
	}
	for _, h := range hosts {
		r := m.members[h.ID]
		if r == nil {
			s := Live
			if h.Leaving {
				s = Leaving
			}
			r = m.add(Member{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region, State: s})
			m.enter(now, r)
		}
		r.listed = !h.Leaving
	}
	m.listAt = now
}
