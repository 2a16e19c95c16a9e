package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is what this process holds of a member.
type record struct {
	Member
	hash   uint64
	listed bool // in the last host list
	sends  int  // messages that still carry the update
	asked  bool // an announcement is wanted, since the member's incarnation is newer than the record

	until    time.Duration // suspect or leaving: when the member is taken for gone
	told     bool          // others say that the member is gone
	held     time.Duration // live: shown as suspect until then
	flaps    int
	flapAt   time.Duration
	goneAt   time.Duration
	probes   int  // indirect probes under way
	reached  bool // one of them reached the member
	deciding bool // the probes decide between suspect and gone
}

// Machine is the state machine of one process. Times are durations since any
// fixed moment of a monotonic clock. It isn't safe for concurrent use.
type Machine struct {
	o    Options
	rand *rand.Rand
	self *record

	members map[string]*record
	ring    []*record // not gone, with self, by hash
	dirty   bool      // the ring must be sorted again
	gone    []*record
	queue   []*record // with updates to send
	sweep   int       // next member of the slow repetition of all members
	turn    int       // next out-neighbour
	reprobe time.Duration

	lastTick time.Duration
	started  bool
	distrust int // ticks on time that are needed before failures count again

	joined   bool
	joinAt   time.Duration
	contacts []Member
	rejoin   Member // a process from the other side of a healed cut
	cutOff   bool   // this process was isolated and hasn't merged since
	heardAt  time.Duration
	healing  time.Duration // a gone member was heard: until then one is probed at every tick
	grants   int

	listAt time.Duration // last host list

	configVersion int64
	configHash    []byte
	usage         []usageItem
	usageAt       int // intervals so far
}

// New returns a machine that knows only itself.
func New(o Options) *Machine {
	o.defaults()
	m := &Machine{o: o, rand: o.Rand, members: map[string]*record{}}
	o.Self.State = Live
	m.self = m.add(o.Self)
	m.announce(m.self)
	return m
}

func (m *Machine) add(u Member) *record {
	r := &record{Member: u, hash: xxhash.Sum64String(u.ID)}
	m.members[u.ID] = r
	if u.State == Gone {
		m.gone = append(m.gone, r)
	} else {
		m.ring = append(m.ring, r)
		m.dirty = true
	}
	return r
}

// Members returns all members that are not gone, in the order of their IDs, this
// process included. A flapping member is shown as suspect for a while.
func (m *Machine) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(m.ring))
	for _, r := range m.ring {
		out = append(out, r.shown(now))
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Get returns one member, gone ones included.
func (m *Machine) Get(now time.Duration, id string) (Member, bool) {
	r, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return r.shown(now), true
}

func (r *record) shown(now time.Duration) Member {
	u := r.Member
	if u.State == Live && now < r.held {
		u.State = Suspect
	}
	return u
}

// SetConfig sets the version in force, which every exchange carries.
func (m *Machine) SetConfig(version int64, hash []byte) {
	m.configVersion, m.configHash = version, hash
	m.self.ConfigVersion = version
}

// MaxConfigVersion returns the highest version that a member was heard to have.
func (m *Machine) MaxConfigVersion() int64 {
	v := m.configVersion
	for _, r := range m.ring {
		v = max(v, r.ConfigVersion)
	}
	return v
}

// SetEndpoints announces the state of this process's endpoints when it changed,
// to all out-neighbours at once: a rollout counts on its announcements.
func (m *Machine) SetEndpoints(now time.Duration, es []Endpoint) []Command {
	if slices.Equal(m.self.Endpoints, es) {
		return nil
	}
	m.self.Endpoints = slices.Clone(es)
	m.self.Incarnation++
	m.announce(m.self)
	return m.NotifyAll(now)
}

// Leave announces that this process is leaving to all out-neighbours at once.
func (m *Machine) Leave(now time.Duration) []Command {
	if m.self.State != Leaving {
		m.self.State = Leaving
		m.self.Incarnation++
		m.announce(m.self)
	}
	return m.NotifyAll(now)
}

// NotifyAll returns one exchange with each out-neighbour, for news that must
// spread at once.
func (m *Machine) NotifyAll(now time.Duration) []Command {
	var cs []Command
	for _, r := range m.neighbours() {
		cs = append(cs, m.exchange(now, r))
	}
	return cs
}

func (m *Machine) exchange(now time.Duration, r *record) Command {
	return Command{Kind: Exchange, Target: r.ID, Address: r.Address, Message: m.compose(now, r.ID, true)}
}

// neighbours returns the members at distance 1, 2, 4, … on the ring.
func (m *Machine) neighbours() []*record {
	m.sort()
	return fingers(m.ring, m.position())
}

func fingers(ring []*record, at int) []*record {
	var out []*record
	for d := 1; d < len(ring); d *= 2 {
		out = append(out, ring[(at+d)%len(ring)])
	}
	return out
}

func (m *Machine) sort() {
	if m.dirty {
		slices.SortFunc(m.ring, byHash)
		m.dirty = false
	}
}

func byHash(a, b *record) int {
	if a.hash != b.hash {
		if a.hash < b.hash {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func (m *Machine) position() int {
	i, _ := slices.BinarySearchFunc(m.ring, m.self, byHash)
	return i
}

// Tick advances the machine; the driver calls it once per interval.
func (m *Machine) Tick(now time.Duration) []Command {
	m.checkLate(now)
	var cs []Command
	if !m.joined && now >= m.joinAt {
		cs = append(cs, m.join(now)...)
	}
	cs = append(cs, m.expire(now)...)
	if now >= m.reprobe {
		m.reprobe = now + m.o.Reprobe
		cs = append(cs, m.probeGone(now)...)
	}
	if r := m.usageTurn(now); r != nil {
		cs = append(cs, m.exchange(now, r))
	} else if ns := m.neighbours(); len(ns) > 0 {
		m.turn = (m.turn + 1) % len(ns)
		cs = append(cs, m.exchange(now, ns[m.turn]))
	}
	return cs
}

// checkLate notices that this process was paused or starved. It then trusts its
// own failed exchanges only after a whole rotation of ticks on time, and
// suspects get the lost time back.
func (m *Machine) checkLate(now time.Duration) {
	switch {
	case !m.started:
		m.started = true
		m.heardAt = now
		m.joinAt = now + m.jitter(m.o.JoinJitter)
		m.reprobe = now + m.jitter(m.o.Reprobe)
	case now-m.lastTick > m.o.Interval+m.o.Late:
		lost := now - m.lastTick - m.o.Interval
		m.distrust = max(1, len(m.neighbours()))
		for _, r := range m.ring {
			r.until += lost
		}
	case m.distrust > 0:
		m.distrust--
	}
	m.lastTick = now
}

// trusted reports whether this process's own observations can be trusted: it runs
// on time and isn't cut off. The last tick is looked at too, since after a pause a failed exchange may be
// reported before the tick that notices the pause.
func (m *Machine) trusted(now time.Duration) bool {
	return m.distrust == 0 && now-m.lastTick <= m.o.Interval+m.o.Late && !m.isolated(now)
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(limit) + 1))
}

// join fetches the members from a member that was taken for gone and answered, or
// from one random contact.
func (m *Machine) join(now time.Duration) []Command {
	if c := m.rejoin; c.ID != "" {
		m.rejoin = Member{}
		return m.fetch(now, c)
	}
	var known []Member
	for _, r := range m.ring {
		if r != m.self && r.State == Live {
			known = append(known, r.Member)
		}
	}
	for _, c := range m.contacts {
		if _, ok := m.members[c.ID]; !ok {
			known = append(known, c)
		}
	}
	if len(known) == 0 {
		return nil
	}
	return m.fetch(now, known[m.rand.IntN(len(known))])
}

func (m *Machine) fetch(now time.Duration, c Member) []Command {
	m.joinAt = now + m.o.JoinJitter + m.jitter(m.o.JoinJitter)
	return []Command{{Kind: FetchMembers, Target: c.ID, Address: c.Address}}
}

// SetContacts gives processes to fetch the members from, known by address only.
// Their ID in commands is the address.
func (m *Machine) SetContacts(addresses []string) {
	m.contacts = nil
	for _, a := range addresses {
		if a != m.self.Address {
			m.contacts = append(m.contacts, Member{ID: a, Address: a})
		}
	}
}

// Joined reports whether the members of another process have been merged.
func (m *Machine) Joined() bool { return m.joined }

// Merge takes the members of another process. They aren't passed on, since the
// others know them. This process's own verdicts on members that the other one sees
// give way when it was cut off, when the other one sees more members, and when the
// list lacks it: then the two were on different sides of a cut, and each side knows
// best which of its own members live.
func (m *Machine) Merge(now time.Duration, members []Member) {
	m.joined = true
	yield := m.cutOff || len(members) > len(m.ring) || !slices.ContainsFunc(members, m.isSelf)
	m.cutOff = false
	m.rejoin = Member{}
	for _, u := range members {
		r := m.members[u.ID]
		if yield && r != nil && r != m.self && u.State == Live && r.State > Live && u.Incarnation == r.Incarnation {
			r.sends = 0
			m.change(now, r, u)
		}
		m.apply(now, u, false)
	}
	m.announce(m.self)
}

func (m *Machine) isSelf(u Member) bool { return u.ID == m.self.ID }

// FetchFailed tries another contact soon.
func (m *Machine) FetchFailed(now time.Duration) {
	m.joinAt = min(m.joinAt, now+m.jitter(m.o.JoinJitter))
}

// Grant takes one of the places for handing out a snapshot of the members. It
// returns false when all are taken, so that many restarts at once can't load a
// process beyond its limits.
func (m *Machine) Grant() bool {
	if m.grants >= m.o.MaxGrants {
		return false
	}
	m.grants++
	return true
}

// Release gives the place back.
func (m *Machine) Release() { m.grants-- }
