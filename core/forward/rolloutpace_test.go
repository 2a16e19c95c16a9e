package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Timing of the simulated deployment, in the same proportions as in production.
const (
	simJoinInterval = 300 * time.Millisecond
	simOrderTimeout = 800 * time.Millisecond
	simLoadTime     = time.Second
	simStep         = 50 * time.Millisecond
	simVersionBound = 9 * time.Second
	simReportTTL    = 500 * time.Millisecond // a peer's report that it updates an endpoint holds for this long
)

// simOrder is an order that was sent to a simulated endpoint.
type simOrder struct {
	version, orderSeq int64
	arrivesAt         time.Duration
}

// simEndpoint is an endpoint that carries out orders, some of them late and without an answer.
type simEndpoint struct {
	version, seq int64
	loadedAt     time.Duration
	loading      int64
	orders       []simOrder
}

func (e *simEndpoint) advance(now time.Duration) {
	if e.loading > 0 && now >= e.loadedAt {
		e.version, e.loading = e.loading, 0
	}
	e.orders = slices.DeleteFunc(e.orders, func(o simOrder) bool {
		if now < o.arrivesAt {
			return false
		}
		e.carryOut(o, now)
		return true
	})
}

// carryOut starts an order if its condition holds.
func (e *simEndpoint) carryOut(o simOrder, now time.Duration) {
	if e.loading > 0 || o.orderSeq != e.seq || o.version <= e.version {
		return
	}
	e.seq++
	e.loading, e.loadedAt = o.version, now+simLoadTime
}

// simEntry is an entry of a simulatedRollout.
type simEntry struct {
	*simMember
	frozenUntil time.Duration
	nextJoin    time.Duration
	unanswered  map[string]time.Duration // when the answer to an order times out
	peerChange  map[string]time.Duration // when a peer last reported that it updates the endpoint
	peerLoading map[string]time.Duration
	orderCount  map[string]int64 // orders that an endpoint has accepted, as the entries know from each other
}

// simulatedRollout is a deployment whose entries roll out versions.
type simulatedRollout struct {
	rng       *rand.Rand
	group     *simGroup
	entries   []*simEntry
	ids       []string
	endpoints map[string]*simEndpoint
	named     map[int64]time.Duration
	lateShare float64
	sent      map[string]sentOrder // last order to each endpoint
	orders    int
	violation string // first pair of orders that two owners may not send
}

// sentOrder is the last order that was sent to an endpoint.
type sentOrder struct {
	by    string
	at    time.Duration
	token int64
}

func newSimulatedRollout(seed uint64, entries, endpoints int, lateShare float64) *simulatedRollout {
	s := &simulatedRollout{
		rng: rand.New(rand.NewPCG(seed, seed)), group: &simGroup{now: time.Minute, joined: map[string]time.Duration{}},
		endpoints: map[string]*simEndpoint{}, named: map[int64]time.Duration{}, sent: map[string]sentOrder{}, lateShare: lateShare,
	}
	for i := range entries {
		m := &simMember{name: fmt.Sprintf("entry%d", i)}
		m.restart()
		m.rollout.VersionBound = simVersionBound
		s.entries = append(s.entries, &simEntry{simMember: m, unanswered: map[string]time.Duration{}, peerChange: map[string]time.Duration{}, peerLoading: map[string]time.Duration{}, orderCount: map[string]int64{}})
	}
	for i := range endpoints {
		id := fmt.Sprintf("endpoint%02d", i)
		s.ids = append(s.ids, id)
		s.endpoints[id] = &simEndpoint{version: 1}
	}
	return s
}

// freeze suspends some entries, drawn at random.
func (s *simulatedRollout) freeze(count int, d time.Duration) {
	for _, i := range s.rng.Perm(len(s.entries))[:count] {
		s.entries[i].frozenUntil = s.group.now + d
	}
}

func (s *simulatedRollout) name(version int64) { s.named[version] = s.group.now }

// step advances the deployment by simStep.
func (s *simulatedRollout) step() {
	now := s.group.now
	for _, id := range s.ids {
		s.endpoints[id].advance(now)
	}
	for _, e := range s.entries {
		if now < e.frozenUntil {
			continue
		}
		for _, v := range []int64{2, 3, 4} {
			if at, ok := s.named[v]; ok {
				e.rollout.AddTarget(WeightVersion{"m", v}, at, now)
			}
		}
		s.join(e)
		s.report(e)
		s.rollOut(e)
	}
	s.group.tick(simStep)
}

func (s *simulatedRollout) join(e *simEntry) {
	if s.group.now < e.nextJoin {
		return
	}
	e.nextJoin = s.group.now + simJoinInterval
	for range 3 { // the second join confirms the list
		name, decided := e.ownership.JoinName(func() bool { return s.behind(e.rollout.NewestTargets()["m"]) > 0 }, s.group.now)
		if !decided {
			e.ownership.DecideRole(s.group.members(), s.group.now)
			continue
		}
		e.ownership.RecordJoin(s.group.join(name), s.group.now)
		if e.ownership.KnowsMembers(e.ownership.Generation()) {
			return
		}
		e.ownership.RecordMembers(e.ownership.Generation(), s.group.members())
	}
}

// report tells the other entries which endpoints an entry updates.
func (s *simulatedRollout) report(e *simEntry) {
	now := s.group.now
	for _, id := range s.ids {
		all, long := e.rollout.Blocked(id, now)
		if !long {
			continue
		}
		for _, p := range s.entries {
			if p == e || now < p.frozenUntil {
				continue
			}
			p.peerChange[id] = now
			if all {
				p.peerLoading[id] = now
			}
		}
	}
}

func (s *simulatedRollout) rollOut(e *simEntry) {
	now := s.group.now
	for id, at := range e.unanswered {
		if now >= at {
			delete(e.unanswered, id)
			e.rollout.RecordOrderUnanswered(id, now)
		}
	}
	fleet := FleetCounts{Total: len(s.ids)}
	var managed []ManagedEndpoint
	for _, id := range s.ids {
		endpoint := s.endpoints[id]
		loading := e.peerLoading[id] > 0 && now < e.peerLoading[id]+simReportTTL
		fleet.PeerLoading += boolInt(loading)
		changed := e.peerChange[id]
		fleet.PeerUpdating += boolInt(loading || changed > 0 && now < changed+simReportTTL)
		m := ManagedEndpoint{Endpoint: Endpoint{ID: id, Service: "s", Models: []ModelState{{"m", endpoint.version}}}, HandoverDone: e.ownership.Owns(id, now), OrderSeq: e.orderCount[id]}
		since, outdated := e.rollout.RetiredSince("m", endpoint.version)
		m.Expired = outdated && now >= since+simVersionBound
		fleet.Behind += boolInt(outdated && !m.Expired)
		if !e.ownership.IsSoleOwner(id, now) || !m.HandoverDone && changed > 0 && now < changed+testHandover {
			continue
		}
		managed = append(managed, m)
	}
	for _, st := range e.rollout.NextSteps(managed, map[string]FleetCounts{"s": fleet}, now) {
		s.runStep(e, st)
	}
}

func (s *simulatedRollout) runStep(e *simEntry, st RolloutStep) {
	id, now := st.Endpoint.ID, s.group.now
	endpoint := s.endpoints[id]
	if !st.IsOrder {
		if e.rollout.RecordReport(id, EndpointReport{Models: []ModelState{{"m", endpoint.version}}, Busy: endpoint.loading > 0, OrderSeq: endpoint.seq}, now) {
			s.announceLoaded(id)
		}
		return
	}
	e.rollout.RecordOrderSent(id, now)
	s.orders++
	s.recordSent(e, id)
	o := simOrder{version: st.Version, orderSeq: st.OrderSeq, arrivesAt: now}
	if s.rng.Float64() >= s.lateShare {
		endpoint.carryOut(o, now)
		return
	}
	o.arrivesAt += 2*time.Second + time.Duration(s.rng.Int64N(int64(10*time.Second)))
	endpoint.orders = append(endpoint.orders, o)
	e.unanswered[id] = now + simOrderTimeout
}

// recordSent checks an order against the last one to the endpoint: two owners must be a handover
// pause apart, and tokens must increase from owner to owner.
func (s *simulatedRollout) recordSent(e *simEntry, id string) {
	o := sentOrder{e.name, s.group.now, e.ownership.FencingToken()}
	if l, ok := s.sent[id]; ok && (l.token > o.token || l.by != o.by && (l.token == o.token || o.at < l.at+testHandover)) && s.violation == "" {
		s.violation = fmt.Sprintf("%s: %+v after %+v", id, o, l)
	}
	s.sent[id] = o
}

// announceLoaded tells the entries how many orders an endpoint has accepted.
func (s *simulatedRollout) announceLoaded(id string) {
	for _, p := range s.entries {
		if s.group.now >= p.frozenUntil {
			p.orderCount[id] = s.endpoints[id].seq
			p.peerLoading[id] = 0
		}
	}
}

// behind returns the number of endpoints with an older version than the given one.
func (s *simulatedRollout) behind(version int64) int {
	n := 0
	for _, e := range s.endpoints {
		n += boolInt(e.version < version)
	}
	return n
}

// Guards against endpoints that are left on old weights for longer than 1.5 times the bound, as
// nine in ten orders are carried out late and without an answer, two of four entries stand still
// over each naming, and the next version is named before the rollout has ended.
func TestRolloutEndsWithLateOrdersAndFrozenOwners(t *testing.T) {
	const endpoints, spacing, freezeTime, limit = 18, 9 * time.Second, 5 * time.Second, 15 * time.Second
	for seed := range uint64(20) {
		s := newSimulatedRollout(seed, 4, endpoints, 0.9)
		start := s.group.now + 8*time.Second
		for s.group.now < start+2*spacing+limit+simStep {
			since := s.group.now - start
			for i := range 3 {
				switch since {
				case time.Duration(i)*spacing - 300*time.Millisecond:
					s.freeze(2, freezeTime)
				case time.Duration(i) * spacing:
					s.name(int64(i + 2))
				case time.Duration(i)*spacing + limit:
					assert.LessOrEqual(t, s.behind(int64(i+2)), endpoints/10, "seed %d: endpoints without version %d after %v", seed, i+2, limit)
				}
			}
			s.step()
		}
		require.Empty(t, s.violation, "seed %d", seed)
	}
}
