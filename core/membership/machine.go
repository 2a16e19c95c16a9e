package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is the state that this process keeps about a member.
type record struct {
	Member
	ringHash          uint64
	inHostList        bool // whether the last host list contains it
	sendsLeft         int  // remaining messages that include the update
	needsAnnouncement bool // the member has a newer incarnation than the record and must announce itself

	stateDeadline time.Duration // for suspect members, the time from which they may be declared gone
	reportedGone  bool          // another member reported it as gone
	dampedUntil   time.Duration // for live members that flapped, reported as suspect until then
	flapCount     int
	lastFlap      time.Duration
	goneAt        time.Duration
	pendingProbes int  // indirect probes without a result yet
	reached       bool // a probe or a message since the start of the probes has shown that it is reachable
	finalProbe    bool // the pending probes decide whether it is gone
}

// Machine is the membership state machine of one process. Times are durations since
// an arbitrary fixed instant of a monotonic clock. It isn't safe for concurrent use.
type Machine struct {
	opts Options
	rand *rand.Rand
	self *record

	members       map[string]*record
	ring          []*record // members that are not gone, including self, by hash
	ringUnsorted  bool      // the ring must be sorted before use
	goneMembers   []*record
	updateQueue   []*record // records with updates to send
	repairPos     int       // ring position of the last member resent for repair
	neighbourPos  int       // index of the last out-neighbour in the rotation
	nextGoneProbe time.Duration

	lastTick       time.Duration
	started        bool
	untrustedTicks int // punctual ticks still needed before failed exchanges count again

	joined          bool
	nextFetch       time.Duration
	seeds           []Member
	returnedMember  Member // gone member that sent a message, the next one to fetch from
	wasIsolated     bool   // isolated since the last merge
	lastReceived    time.Duration
	healingUntil    time.Duration // until then, a gone member is probed at every tick
	activeSnapshots int

	hostListAt time.Duration // time of the last host list

	configVersion int64
	configHash    []byte
	demands       []demandItem
	demandTicks   int // calls of nextDemandPeer so far
}

// New returns a machine whose only member is the process itself.
func New(o Options) *Machine {
	o.setDefaults()
	m := &Machine{opts: o, rand: o.Rand, members: map[string]*record{}}
	o.Self.State = Live
	m.self = m.addMember(o.Self)
	m.queueUpdate(m.self)
	return m
}

func (m *Machine) addMember(u Member) *record {
	r := &record{Member: u, ringHash: xxhash.Sum64String(u.ID)}
	m.members[u.ID] = r
	if u.State == Gone {
		m.goneMembers = append(m.goneMembers, r)
	} else {
		m.ring = append(m.ring, r)
		m.ringUnsorted = true
	}
	return r
}

// Members returns all members that are not gone, including this process, sorted by
// ID. A flapping member is reported as suspect for some time after its return.
func (m *Machine) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(m.ring))
	for _, r := range m.ring {
		out = append(out, r.effective(now))
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Get returns the member with the ID, even when it is gone.
func (m *Machine) Get(now time.Duration, id string) (Member, bool) {
	r, ok := m.members[id]
	if !ok {
		return Member{}, false
	}
	return r.effective(now), true
}

// effective returns the member as Members and Get report it: a live member that
// flapped is suspect until dampedUntil.
func (r *record) effective(now time.Duration) Member {
	u := r.Member
	if u.State == Live && now < r.dampedUntil {
		u.State = Suspect
	}
	return u
}

// SetConfig sets the configuration version in use, which every message includes.
func (m *Machine) SetConfig(version int64, hash []byte) {
	m.configVersion, m.configHash = version, hash
	m.self.ConfigVersion = version
}

// MaxConfigVersion returns the highest configuration version known of any member.
func (m *Machine) MaxConfigVersion() int64 {
	v := m.configVersion
	for _, r := range m.ring {
		v = max(v, r.ConfigVersion)
	}
	return v
}

// SetEndpoints sets the state of this process's endpoints. If it has changed, it
// returns exchanges that announce it to all out-neighbours immediately, since weight
// rollouts depend on these announcements.
func (m *Machine) SetEndpoints(now time.Duration, es []Endpoint) []Command {
	if slices.Equal(m.self.Endpoints, es) {
		return nil
	}
	m.self.Endpoints = slices.Clone(es)
	m.self.Incarnation++
	m.queueUpdate(m.self)
	return m.NotifyNeighbours(now)
}

// Leave returns exchanges that immediately announce to all out-neighbours that this
// process is leaving.
func (m *Machine) Leave(now time.Duration) []Command {
	if m.self.State != Leaving {
		m.self.State = Leaving
		m.self.Incarnation++
		m.queueUpdate(m.self)
	}
	return m.NotifyNeighbours(now)
}

// NotifyNeighbours returns one exchange with each out-neighbour, for updates that must
// spread immediately.
func (m *Machine) NotifyNeighbours(now time.Duration) []Command {
	var cs []Command
	for _, r := range m.outNeighbours() {
		cs = append(cs, m.newExchange(now, r))
	}
	return cs
}

// newExchange returns the command for an exchange with the member. Its message
// includes one member for repair; see compose.
func (m *Machine) newExchange(now time.Duration, r *record) Command {
	return Command{Kind: Exchange, Target: r.ID, Address: r.Address, Message: m.compose(now, r.ID, true)}
}

// outNeighbours returns the members with which this process exchanges messages in
// turn.
func (m *Machine) outNeighbours() []*record {
	m.sortRing()
	return fingerNeighbours(m.ring, m.selfIndex())
}

// fingerNeighbours returns the records at the distances 1, 2, 4, … after the given
// position on the ring.
func fingerNeighbours(ring []*record, at int) []*record {
	var out []*record
	for d := 1; d < len(ring); d *= 2 {
		out = append(out, ring[(at+d)%len(ring)])
	}
	return out
}

func (m *Machine) sortRing() {
	if m.ringUnsorted {
		slices.SortFunc(m.ring, byHash)
		m.ringUnsorted = false
	}
}

func byHash(a, b *record) int {
	if a.ringHash != b.ringHash {
		if a.ringHash < b.ringHash {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func (m *Machine) selfIndex() int {
	i, _ := slices.BinarySearchFunc(m.ring, m.self, byHash)
	return i
}

// Tick advances the machine and returns the commands to run. The driver calls it once
// per interval.
func (m *Machine) Tick(now time.Duration) []Command {
	m.detectLateTick(now)
	var cs []Command
	if !m.joined && now >= m.nextFetch {
		cs = append(cs, m.join(now)...)
	}
	cs = append(cs, m.expireSuspects(now)...)
	if now >= m.nextGoneProbe {
		m.nextGoneProbe = now + m.opts.GoneProbeInterval
		cs = append(cs, m.probeGone(now)...)
	}
	if r := m.nextDemandPeer(now); r != nil {
		cs = append(cs, m.newExchange(now, r))
	} else if neighbours := m.outNeighbours(); len(neighbours) > 0 {
		m.neighbourPos = (m.neighbourPos + 1) % len(neighbours)
		cs = append(cs, m.newExchange(now, neighbours[m.neighbourPos]))
	}
	return cs
}

// detectLateTick detects that this process was paused or starved. Failed exchanges
// then count again only after one punctual tick per out-neighbour, and the deadlines
// of members are extended by the lost time.
func (m *Machine) detectLateTick(now time.Duration) {
	switch {
	case !m.started:
		m.started = true
		m.lastReceived = now
		m.nextFetch = now + m.jitter(m.opts.JoinJitter)
		m.nextGoneProbe = now + m.jitter(m.opts.GoneProbeInterval)
	case now-m.lastTick > m.opts.ExchangeInterval+m.opts.MaxTickDelay:
		delay := now - m.lastTick - m.opts.ExchangeInterval
		m.untrustedTicks = max(1, len(m.outNeighbours()))
		for _, r := range m.ring {
			r.stateDeadline += delay
		}
	case m.untrustedTicks > 0:
		m.untrustedTicks--
	}
	m.lastTick = now
}

// trustsObservations reports whether this process can trust its own observations: its
// ticks are punctual and it isn't isolated. The time since the last tick is checked
// too, since after a pause a failed exchange may be reported before the tick that
// detects the pause.
func (m *Machine) trustsObservations(now time.Duration) bool {
	return m.untrustedTicks == 0 && now-m.lastTick <= m.opts.ExchangeInterval+m.opts.MaxTickDelay && !m.isolated(now)
}

func (m *Machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(limit) + 1))
}

// join fetches the members from a gone member that has sent a message or, if there is
// none, from a random live member or seed.
func (m *Machine) join(now time.Duration) []Command {
	if c := m.returnedMember; c.ID != "" {
		m.returnedMember = Member{}
		return m.fetchMembers(now, c)
	}
	var candidates []Member
	for _, r := range m.ring {
		if r != m.self && r.State == Live {
			candidates = append(candidates, r.Member)
		}
	}
	for _, c := range m.seeds {
		if _, ok := m.members[c.ID]; !ok {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return m.fetchMembers(now, candidates[m.rand.IntN(len(candidates))])
}

func (m *Machine) fetchMembers(now time.Duration, c Member) []Command {
	m.nextFetch = now + m.opts.JoinJitter + m.jitter(m.opts.JoinJitter)
	return []Command{{Kind: FetchMembers, Target: c.ID, Address: c.Address}}
}

// SetSeeds sets the addresses of processes from which the members can be fetched.
// Commands use the address as the ID of the process.
func (m *Machine) SetSeeds(addresses []string) {
	m.seeds = nil
	for _, a := range addresses {
		if a != m.self.Address {
			m.seeds = append(m.seeds, Member{ID: a, Address: a})
		}
	}
}

// Joined reports whether the members have been fetched and merged since the start or
// the last partition.
func (m *Machine) Joined() bool { return m.joined }

// MergeMembers merges the members fetched from another process. They aren't sent on,
// since the other members know them. Members that the other process reports as live
// replace this process's own suspect or gone states in three cases: this process was
// isolated, the other process has more members, or the list lacks this process. In
// the last case the two were on different sides of a partition, and the state of a
// member is reliable only on the member's own side.
func (m *Machine) MergeMembers(now time.Duration, members []Member) {
	m.joined = true
	acceptLive := m.wasIsolated || len(members) > len(m.ring) || !slices.ContainsFunc(members, m.isSelf)
	m.wasIsolated = false
	m.returnedMember = Member{}
	for _, u := range members {
		r := m.members[u.ID]
		if acceptLive && r != nil && r != m.self && u.State == Live && r.State > Live && u.Incarnation == r.Incarnation {
			r.sendsLeft = 0
			m.updateRecord(now, r, u)
		}
		m.applyUpdate(now, u, false)
	}
	m.queueUpdate(m.self)
}

func (m *Machine) isSelf(u Member) bool { return u.ID == m.self.ID }

// HandleFetchFailure handles a failed fetch of the members by scheduling another one
// soon.
func (m *Machine) HandleFetchFailure(now time.Duration) {
	m.nextFetch = min(m.nextFetch, now+m.jitter(m.opts.JoinJitter))
}

// AcquireSnapshotPermit acquires a permit to send a snapshot of the members. It
// returns false when MaxSnapshots permits are in use, which bounds the load on this
// process when many processes restart at once.
func (m *Machine) AcquireSnapshotPermit() bool {
	if m.activeSnapshots >= m.opts.MaxSnapshots {
		return false
	}
	m.activeSnapshots++
	return true
}

// ReleaseSnapshotPermit releases a permit acquired with AcquireSnapshotPermit.
func (m *Machine) ReleaseSnapshotPermit() { m.activeSnapshots-- }
