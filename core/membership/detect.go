package membership

import (
	"slices"
	"time"
)

// indirectProbers is the number of other members that are asked to probe a member
// that failed to answer.
const indirectProbers = 2

// HandleMessage applies a message from another process and returns the answer.
func (m *Machine) HandleMessage(now time.Duration, msg Message) Message {
	m.applyMessage(now, msg)
	return m.compose(now, msg.From, false)
}

// HandleAnswer applies the answer to an exchange. It returns another exchange when the
// other process asked this one to announce itself.
func (m *Machine) HandleAnswer(now time.Duration, target string, msg Message) []Command {
	r := m.members[target]
	if m.applyMessage(now, msg) && r != nil && r.State != Gone {
		return []Command{m.newExchange(now, r)}
	}
	return nil
}

// applyMessage applies a message. It reports whether this process must announce
// itself to the sender.
func (m *Machine) applyMessage(now time.Duration, msg Message) bool {
	m.detectHealing(now, msg.From)
	m.lastReceived = now
	reannounce := false
	for _, u := range msg.Updates {
		reannounce = m.applyUpdate(now, u, true) || reannounce
	}
	m.mergeDemands(now, msg.Demands)
	if r := m.members[msg.From]; r != nil && r != m.self {
		r.ConfigVersion = max(r.ConfigVersion, msg.ConfigVersion)
		r.needsAnnouncement = msg.Incarnation > r.Incarnation
		r.reached = true
	}
	return reannounce
}

// isolatedIntervals is the number of intervals without any message after which this
// process considers itself isolated. Normally it receives messages from two others
// in each interval.
const isolatedIntervals = 4

// minIsolationRing is the ring size from which the silence of all others is taken as
// the isolation of this process rather than as the failure of the others.
const minIsolationRing = 4

// isolated reports whether this process has lost contact with all others. It then
// doesn't change the state of members by its own observations and doesn't spread
// suspect or gone states.
func (m *Machine) isolated(now time.Duration) bool {
	return len(m.ring) >= minIsolationRing && now-m.lastReceived > isolatedIntervals*m.opts.ExchangeInterval
}

// healingProbeIntervals, multiplied by the probe interval of gone members, is how long
// they are probed at every tick after a message from one of them.
const healingProbeIntervals = 3

// detectHealing detects the end of a partition: this process was isolated, or it
// considers the sender gone. It then schedules another fetch of the members. Until
// that fetch is sent, its target is the last sender that was considered gone, since
// an earlier one may have refused.
func (m *Machine) detectHealing(now time.Duration, from string) {
	r := m.members[from]
	returned := r != nil && r.State == Gone
	if returned {
		m.returnedMember = r.Member
	}
	if !m.joined || (!returned && !m.isolated(now)) {
		return
	}
	if m.isolated(now) {
		m.wasIsolated = true
		for _, q := range m.updateQueue {
			if q.State == Suspect || q.State == Gone {
				q.sendsLeft = 0
			}
		}
	}
	m.joined = false
	m.nextFetch = now + m.jitter(m.opts.JoinJitter)
	if returned {
		m.healingUntil = now + healingProbeIntervals*m.opts.GoneProbeInterval
	}
}

// HandleFailure handles an exchange that failed. It returns the indirect probes that
// distinguish a dead member from a broken connection between two processes.
func (m *Machine) HandleFailure(now time.Duration, target string) []Command {
	r := m.members[target]
	if r == nil || (r.State != Live && r.State != Leaving) || r.pendingProbes > 0 || !m.trustsObservations(now) {
		return nil
	}
	return m.probeIndirectly(now, r, r.State == Leaving)
}

// probeIndirectly asks random live members, up to indirectProbers, to probe a
// member. If final is set, the result decides whether a suspect or leaving member is
// gone.
func (m *Machine) probeIndirectly(now time.Duration, r *record, final bool) []Command {
	var probers []*record
	for _, i := range m.rand.Perm(len(m.ring)) {
		if c := m.ring[i]; c != m.self && c != r && c.State == Live {
			probers = append(probers, c)
		}
		if len(probers) == indirectProbers {
			break
		}
	}
	r.pendingProbes, r.reached, r.finalProbe = len(probers), false, final
	if len(probers) == 0 {
		m.handleUnreachable(now, r)
		return nil
	}
	var cs []Command
	for _, v := range probers {
		cs = append(cs, Command{Kind: IndirectProbe, Target: r.ID, Address: r.Address, Prober: v.ID, ProberAddress: v.Address})
	}
	return cs
}

// HandleProbeResult handles the result of an indirect probe. A prober that doesn't
// answer counts as one that couldn't reach the target.
func (m *Machine) HandleProbeResult(now time.Duration, target string, reached bool) {
	r := m.members[target]
	if r == nil || r.pendingProbes == 0 {
		return
	}
	r.pendingProbes--
	r.reached = r.reached || reached
	switch {
	case r.pendingProbes > 0:
	case !r.reached:
		m.handleUnreachable(now, r)
	case r.finalProbe:
		// Other members reach it: it keeps its state and gets another suspicion
		// timeout, in which it can refute a suspicion.
		r.stateDeadline = now + m.suspicionTimeout(r)
	}
}

// handleUnreachable changes the state of a member that no indirect prober has reached,
// unless this process can't trust its own observations.
func (m *Machine) handleUnreachable(now time.Duration, r *record) {
	switch {
	case !m.trustsObservations(now):
	case r.finalProbe:
		m.setState(now, r, Gone)
	case r.State == Live:
		m.setState(now, r, Suspect)
	}
}

// setState applies a state change that this process has decided on and queues an
// update about it.
func (m *Machine) setState(now time.Duration, r *record, s State) {
	u := r.Member
	u.State = s
	m.updateRecord(now, r, u)
	m.queueUpdate(r)
}

// undecidedTimeoutFactor, multiplied by the suspicion timeout, is how long a listed
// suspect is kept after its deadline when none of its ring neighbours has decided on
// its state.
const undecidedTimeoutFactor = 4

// expireSuspects declares suspects gone after their deadline. A suspect that is still
// in the host list and that no other member has reported as gone is first probed
// again, only by the members that have it as an out-neighbour, so that not all members
// probe it at once; the others wait for their decision.
func (m *Machine) expireSuspects(now time.Duration) []Command {
	if !m.trustsObservations(now) {
		return nil
	}
	var cs []Command
	neighbours := m.outNeighbours()
	for _, r := range slices.Clone(m.ring) {
		if r.State != Suspect || now < r.stateDeadline || r.pendingProbes > 0 {
			continue
		}
		listConfirms := r.inHostList && now-m.hostListAt <= m.opts.HostListMaxAge
		switch {
		case r.reportedGone:
			m.setState(now, r, Gone)
		case listConfirms && slices.Contains(neighbours, r):
			cs = append(cs, m.probeIndirectly(now, r, true)...)
		case !listConfirms || now >= r.stateDeadline+undecidedTimeoutFactor*m.opts.SuspicionTimeout:
			m.setState(now, r, Gone)
		}
	}
	return cs
}

// probeGone returns an exchange with one random gone member, so that the two sides of
// a healed partition find each other. It also removes members that have been gone for
// longer than their retention time and are not in the host list.
func (m *Machine) probeGone(now time.Duration) []Command {
	m.goneMembers = slices.DeleteFunc(m.goneMembers, func(r *record) bool {
		expired := !r.inHostList && now-r.goneAt > m.opts.GoneRetention
		if expired {
			delete(m.members, r.ID)
		}
		return expired
	})
	if len(m.goneMembers) == 0 {
		return nil
	}
	if now < m.healingUntil {
		m.nextGoneProbe = now // a partition is healing: probe at every tick
	}
	return []Command{m.newExchange(now, m.goneMembers[m.rand.IntN(len(m.goneMembers))])}
}

// listedSendDivisor divides the number of sends of the first announcement of a member
// that is known from the host list, since the other members know it from there too.
// It shortens the period of full messages after all processes have started at once.
const listedSendDivisor = 2

// applyUpdate applies an update about a member and, if relay is set, queues it for
// sending. It reports whether this process must announce itself again because the
// sender has other data about it.
func (m *Machine) applyUpdate(now time.Duration, u Member, relay bool) bool {
	r := m.members[u.ID]
	firstAnnouncement := r != nil && r.Incarnation == 0
	switch {
	case r == m.self:
		return m.refute(u)
	case u.State < Live || u.State > Gone:
		return false
	case r == nil:
		if u.State == Gone || u.Address == "" {
			return false
		}
		r = m.addMember(u)
		m.startStateTimer(now, r)
	case u.Incarnation > r.Incarnation && (u.Address != "" || u.State == Gone), u.Incarnation == r.Incarnation && u.State > r.State:
		m.updateRecord(now, r, r.suspectBeforeGone(now, u))
	default:
		if u.Incarnation == r.Incarnation {
			r.ConfigVersion = max(r.ConfigVersion, u.ConfigVersion)
		}
		return false
	}
	if relay {
		m.queueUpdate(r)
		if firstAnnouncement {
			r.sendsLeft /= listedSendDivisor
		}
	}
	return false
}

// suspectBeforeGone returns the update to apply. A member that others report as gone
// is first suspect for the suspicion timeout, so that it can refute a report of a
// process that was itself isolated. Leaving members and suspects past their deadline
// are gone immediately.
func (r *record) suspectBeforeGone(now time.Duration, u Member) Member {
	if u.State != Gone || r.State == Leaving || (r.State == Suspect && now >= r.stateDeadline) {
		return u
	}
	r.reportedGone = true
	u.State = Suspect
	return u
}

// refute handles an update about this process. It reports whether the update differs
// from this process's own state. If it states that this process isn't live, this
// process's incarnation is raised above that of the update, so that its own state takes
// precedence at all members.
func (m *Machine) refute(u Member) bool {
	s := m.self
	if u.State == s.State && u.Incarnation == s.Incarnation {
		return false
	}
	if u.State > Live && u.Incarnation >= s.Incarnation {
		s.Incarnation = u.Incarnation + 1
	}
	m.queueUpdate(s)
	return true
}

// updateRecord replaces the state and content of a record by those of the update.
func (m *Machine) updateRecord(now time.Duration, r *record, u Member) {
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
		m.goneMembers = append(m.goneMembers, r)
		r.goneAt = now
	case old == Gone && r.State != Gone:
		m.goneMembers = slices.DeleteFunc(m.goneMembers, func(x *record) bool { return x == r })
		m.ring = append(m.ring, r)
		m.ringUnsorted = true
	}
	if r.State == Live && (old == Suspect || old == Gone) {
		m.recordFlap(now, r)
	}
	if r.State != old {
		m.startStateTimer(now, r)
	}
	if r.State == Live {
		r.reportedGone = false
	}
}

// startStateTimer sets the deadline of a state that the member has just entered.
func (m *Machine) startStateTimer(now time.Duration, r *record) {
	r.needsAnnouncement = false
	if r.State == Suspect || r.State == Leaving {
		r.stateDeadline = now + m.suspicionTimeout(r)
	}
}

// recordFlap counts a return from suspect or gone to live. From the second flap
// within the decay time on, the member is still reported as suspect for a time that
// doubles with each flap.
func (m *Machine) recordFlap(now time.Duration, r *record) {
	r.flapCount -= min(r.flapCount, int((now-r.lastFlap)/m.opts.FlapDecay))
	r.flapCount++
	r.lastFlap = now
	if r.flapCount > 1 {
		r.dampedUntil = now + m.dampedTimeout(r.flapCount-1)
	}
}

func (m *Machine) suspicionTimeout(r *record) time.Duration {
	return m.dampedTimeout(r.flapCount)
}

// dampedTimeout returns the suspicion timeout, doubled for each flap up to the limit.
func (m *Machine) dampedTimeout(flaps int) time.Duration {
	d := m.opts.SuspicionTimeout
	for range flaps {
		if d >= m.opts.MaxSuspicionTimeout {
			break
		}
		d *= 2
	}
	return min(d, m.opts.MaxSuspicionTimeout)
}

// Host is one entry of the platform's host list.
type Host struct {
	ID, Role, Address, FailureDomain, Region string
	Leaving                                  bool
}

// ApplyHostList applies the platform's host list, which may be out of date. It adds new
// members, and suspects in the list are probed again before they are declared gone.
// It never removes a member or changes the state of a known one.
func (m *Machine) ApplyHostList(now time.Duration, hosts []Host) {
	for _, r := range m.members {
		r.inHostList = false
	}
	for _, h := range hosts {
		r := m.members[h.ID]
		if r == nil {
			s := Live
			if h.Leaving {
				s = Leaving
			}
			r = m.addMember(Member{ID: h.ID, Role: h.Role, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region, State: s})
			m.startStateTimer(now, r)
		}
		r.inHostList = !h.Leaving
	}
	m.hostListAt = now
}
