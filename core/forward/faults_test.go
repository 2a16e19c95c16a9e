package forward

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stepsPerRun is the number of actions in one rapid run. The default of 30 is too
// short to reach orders or accepted keys in most runs.
const stepsPerRun = "400"

// TestMain sets fixed values for the rapid flags that are not given, so that runs are
// reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": stepsPerRun, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value) // the flag is defined by rapid
		}
	}
	os.Exit(m.Run())
}

// Durations in the simulated group, in the same proportions as in production.
const (
	testLease     = 700 * time.Millisecond
	testMemberTTL = time.Second
	testHandover  = 3 * time.Second
	testTick      = 100 * time.Millisecond
)

// simMember simulates a process and its pending calls. A member for which no action
// is drawn is suspended while its clock advances.
type simMember struct {
	name             string
	ownership        *Ownership
	joinSent         time.Duration
	joinPending      bool
	joinedName       string
	joinApplied      bool // the log has applied the join, but the answer has not arrived
	joinedGeneration Generation
	listPending      bool
	listRead         bool
	listEra          Era
	list             []string
	rollout          *Rollout
	rolePending      bool // the list is read to decide the role
	updating         bool
	heard            map[string]time.Duration // when a report of an order of another member arrived, by endpoint
}

func (m *simMember) restart() {
	*m = simMember{name: m.name, ownership: &Ownership{Self: m.name, Lease: testLease, Handover: testHandover, MemberTTL: testMemberTTL}, rollout: NewRollout(), heard: map[string]time.Duration{}}
}

// joinName returns the name under which to join, and false if the role has to be decided first.
func (m *simMember) joinName(now time.Duration) (string, bool) {
	return m.ownership.JoinName(func() bool { return m.updating }, now)
}

// mayOrder reports whether the member may send an order as the gateway decides it.
func (m *simMember) mayOrder(id string, now time.Duration) bool {
	heard, ok := m.heard[id]
	return m.ownership.IsSoleOwner(id, now) && (m.ownership.Owns(id, now) || !ok || now >= heard+testHandover)
}

// oneInTen returns true for one draw in ten.
func oneInTen(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "seldom") == 7 }

// simGroup simulates the group of processes in the log.
type simGroup struct {
	now        time.Duration
	generation Generation
	joined     map[string]time.Duration
	copied     groupCopy
	delayed    []string // names of joins that got no answer and may still be carried out
}

// groupCopy is the state of the group in an older copy of the log.
type groupCopy struct {
	number int64
	joined map[string]time.Duration
}

func (g *simGroup) copyState() { g.copied = groupCopy{g.generation.Number, maps.Clone(g.joined)} }

// returnFromCopy replaces the group by its state in the copy, whose leases have not run out.
func (g *simGroup) returnFromCopy() {
	g.generation = Generation{Era: g.generation.Era + 1, Number: g.copied.number}
	g.joined = map[string]time.Duration{}
	for name := range g.copied.joined {
		g.joined[name] = g.now
	}
}

func (g *simGroup) tick(d time.Duration) {
	g.now += d
	for name, at := range g.joined {
		if g.now >= at+testMemberTTL {
			delete(g.joined, name)
			g.generation.Number++
		}
	}
}

func (g *simGroup) join(name string) Generation {
	if _, ok := g.joined[name]; !ok {
		g.generation.Number++
	}
	g.joined[name] = g.now
	return g.generation
}

func (g *simGroup) members() []string {
	var out []string
	for name := range g.joined {
		out = append(out, name)
	}
	return out
}

// Guards against two owners that send orders to an endpoint within the handover
// pause or with the same token. Runs Ownership under suspends, lost connections, restarts,
// late or lost calls, several membership changes in a row, and returns of the log from an
// older copy in which it gives out its generations again. Members join as standbys, and order
// within the handover pause if they have heard of no order; a report reaches the members with
// a valid lease alone. spec/holders.pml models the same protocol without these two.
func TestOwnersUnderFaults(t *testing.T) {
	orders, early, afterStandby := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		g := &simGroup{joined: map[string]time.Duration{}, copied: groupCopy{joined: map[string]time.Duration{}}}
		var ms []*simMember
		for _, name := range []string{"a", "b", "c"} {
			m := &simMember{name: name}
			m.restart()
			ms = append(ms, m)
		}
		type lastOrder struct {
			by    string
			at    time.Duration
			token int64
		}
		last := map[string]lastOrder{}
		order := func(m *simMember) {
			for e := range 4 {
				id := fmt.Sprint("endpoint", e)
				if !m.mayOrder(id, g.now) {
					continue
				}
				orders++
				early += boolInt(!m.ownership.Owns(id, g.now))
				afterStandby += boolInt(len(m.ownership.confirmed) > 1 && m.ownership.confirmed[0].asStandby)
				if l, ok := last[id]; ok && l.by != m.name {
					require.GreaterOrEqual(rt, g.now-l.at, testHandover, "%s sent an order after %s to %s", m.name, l.by, id)
					require.Greater(rt, m.ownership.FencingToken(), l.token)
				}
				last[id] = lastOrder{m.name, g.now, m.ownership.FencingToken()}
				for _, p := range ms {
					if p != m && g.now < p.ownership.renewedAt+testLease {
						p.heard[id] = g.now
					}
				}
			}
		}
		// runFaultFree runs all given members without faults, so that later faults
		// meet a group with established owners.
		runFaultFree := func(members []*simMember, d time.Duration) {
			for until := g.now + d; g.now < until; g.tick(testTick) {
				for _, m := range members {
					m.joinPending, m.listPending = false, false
					sent := g.now
					name, decided := m.joinName(sent)
					if !decided {
						m.ownership.DecideRole(g.members(), sent)
						name, _ = m.joinName(sent)
					}
					m.ownership.RecordJoin(g.join(name), sent)
					if !m.ownership.KnowsMembers(m.ownership.Generation()) {
						m.ownership.RecordMembers(m.ownership.Generation(), g.members())
					}
					order(m)
				}
			}
		}
		runFaultFree(ms[:rapid.IntRange(1, 3).Draw(rt, "members at first")], 5*time.Second)
		member := rapid.IntRange(0, len(ms)-1)
		pick := func(t *rapid.T) *simMember { return ms[member.Draw(t, "member")] }
		rt.Repeat(map[string]func(*rapid.T){
			"tick":   func(t *rapid.T) { g.tick(testTick) },
			"freeze": func(t *rapid.T) { g.tick(time.Duration(rapid.IntRange(1, 50).Draw(t, "ticks")) * testTick) },
			"calm of some": func(t *rapid.T) {
				a := member.Draw(t, "first")
				runFaultFree(ms[a:], time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))*testTick)
			},
			"join": func(t *rapid.T) {
				if m := pick(t); !m.joinPending && !m.listPending {
					name, decided := m.joinName(g.now)
					m.joinPending, m.joinApplied, m.joinSent, m.joinedName = decided, false, g.now, name
					m.listPending, m.listRead, m.rolePending = !decided, false, !decided
				}
			},
			"log takes a join": func(t *rapid.T) {
				if m := pick(t); m.joinPending && !m.joinApplied {
					m.joinApplied, m.joinedGeneration = true, g.join(m.joinedName)
				}
			},
			"answer of a join": func(t *rapid.T) {
				m := pick(t)
				if !m.joinPending || !m.joinApplied {
					return
				}
				m.joinPending = false
				m.ownership.RecordJoin(m.joinedGeneration, m.joinSent)
				m.listPending, m.listRead, m.rolePending = !m.ownership.KnowsMembers(m.joinedGeneration), false, false
			},
			"log reads the list": func(t *rapid.T) {
				if m := pick(t); m.listPending && !m.listRead {
					m.listRead, m.list, m.listEra = true, g.members(), g.generation.Era
				}
			},
			"answer of the list": func(t *rapid.T) {
				if m := pick(t); m.listPending && m.listRead {
					m.listPending = false
					if m.rolePending {
						m.ownership.DecideRole(m.list, g.now)
					} else if m.listEra == m.joinedGeneration.Era {
						m.ownership.RecordMembers(m.joinedGeneration, m.list)
					}
				}
			},
			"call lost": func(t *rapid.T) {
				m := pick(t)
				if m.joinPending && !m.joinApplied {
					g.delayed = append(g.delayed, m.joinedName)
				}
				m.joinPending, m.listPending = false, false
			},
			"log takes a delayed join": func(t *rapid.T) {
				if len(g.delayed) > 0 && oneInTen(t) {
					g.join(g.delayed[0])
					g.delayed = g.delayed[1:]
				}
			},
			"updates":       func(t *rapid.T) { m := pick(t); m.updating = !m.updating },
			"restart":       func(t *rapid.T) { pick(t).restart() },
			"log is copied": func(*rapid.T) { g.copyState() },
			"log returns": func(t *rapid.T) {
				if oneInTen(t) {
					g.returnFromCopy()
				}
			},
			"order": func(t *rapid.T) { order(pick(t)) },
		})
	})
	require.Greater(t, orders, 1000, "the runs sent too few orders")
	require.Greater(t, early, 100, "the runs sent too few orders within the handover pause")
	require.Greater(t, afterStandby, 100, "too few standbys became owners")
}

// Guards against a late order that undoes a newer one, and against an order that is
// carried out twice. Runs the Rollouts of two owners with delayed and lost messages
// and restarts. spec/orders.pml models the same protocol.
func TestLateOrdersUnderFaults(t *testing.T) {
	carriedOut := 0
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Hour
		version, named, seq := int64(1), int64(1), int64(0)
		busyUntil := time.Duration(0)
		rollouts := []*Rollout{NewRollout(), NewRollout()}
		type inFlight struct {
			step  RolloutStep
			owner int
		}
		var messages []inFlight
		pick := func(t *rapid.T) (int, bool) {
			if len(messages) == 0 {
				return 0, false
			}
			return rapid.IntRange(0, len(messages)-1).Draw(t, "message"), true
		}
		step := func(t *rapid.T) {
			h := rapid.IntRange(0, 1).Draw(t, "holder")
			es := []Endpoint{{ID: "e", Service: "s", Models: []ModelState{{"m", version}}}}
			for _, s := range rollouts[h].NextSteps([]ManagedEndpoint{{Endpoint: es[0], HandoverDone: true}}, map[string]FleetCounts{"s": {Total: 1}}, now) {
				if s.IsOrder {
					rollouts[h].RecordOrderSent("e", now)
				}
				messages = append(messages, inFlight{s, h})
			}
		}
		arrive := func(t *rapid.T) {
			i, ok := pick(t)
			if !ok {
				return
			}
			f := messages[i]
			messages = append(messages[:i:i], messages[i+1:]...)
			busy := now < busyUntil
			if !f.step.IsOrder {
				rollouts[f.owner].RecordReport("e", EndpointReport{Models: []ModelState{{"m", version}}, Busy: busy, OrderSeq: seq}, now)
				return
			}
			if busy || f.step.OrderSeq != seq {
				return // refused because the order's condition does not hold
			}
			require.Greater(rt, f.step.Version, version)
			version, busyUntil = f.step.Version, now+2*time.Second
			seq++
			carriedOut++
		}
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * testTick },
			"name": func(t *rapid.T) {
				if oneInTen(t) {
					named++
				}
			},
			"learn": func(t *rapid.T) {
				rollouts[rapid.IntRange(0, 1).Draw(t, "holder")].AddTarget(WeightVersion{"m", named}, now, now)
			},
			"step": func(t *rapid.T) { step(t) }, "step2": func(t *rapid.T) { step(t) }, "step3": func(t *rapid.T) { step(t) },
			"arrive": func(t *rapid.T) { arrive(t) }, "arrive2": func(t *rapid.T) { arrive(t) }, "arrive3": func(t *rapid.T) { arrive(t) },
			"lose": func(t *rapid.T) {
				if i, ok := pick(t); ok && oneInTen(t) {
					messages = append(messages[:i:i], messages[i+1:]...)
				}
			},
			"restart": func(t *rapid.T) {
				if oneInTen(t) {
					rollouts[rapid.IntRange(0, 1).Draw(t, "holder")] = NewRollout()
				}
			},
		})
	})
	require.Greater(t, carriedOut, 200, "the runs sent too few orders")
}

// Guards against accepting a key after the bound that follows its removal. Runs
// Freshness under suspends and late or lost reads. spec/freshness.pml models the same
// protocol.
func TestFreshnessUnderFaults(t *testing.T) {
	const bound, wait = 5 * time.Second, 20 * testTick
	accepted, late, waited := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		now, removed := time.Hour, time.Duration(0)
		type process struct {
			f       Freshness
			hasKey  bool
			started time.Duration
			call    int // 0: none, 1: sent, 2: answered, 3: the log waits
			answer  bool
			waits   time.Duration // since when the log waits
			empty   bool          // the answer has no record
		}
		ps := []*process{{}, {}}
		for _, p := range ps {
			p.f.MaxKeyAge = bound
		}
		pick := func(t *rapid.T) *process { return ps[rapid.IntRange(0, 1).Draw(t, "process")] }
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 10).Draw(t, "ticks")) * testTick },
			"freeze": func(t *rapid.T) {
				if oneInTen(t) {
					now += time.Duration(rapid.IntRange(10, 100).Draw(t, "ticks")) * testTick
				}
			},
			"remove": func(t *rapid.T) {
				if removed == 0 && oneInTen(t) {
					removed = now
				}
			},
			"whole read": func(t *rapid.T) {
				p := pick(t)
				p.call, p.hasKey = 0, removed == 0
				p.f.RecordRead(now)
			},
			"read": func(t *rapid.T) {
				if p := pick(t); p.call == 0 {
					p.call, p.started = 1, now
				}
			},
			"log answers": func(t *rapid.T) {
				if p := pick(t); p.call == 1 {
					p.call, p.answer, p.empty = 2, removed == 0, false
				}
			},
			"log waits": func(t *rapid.T) {
				if p := pick(t); p.call == 1 && p.hasKey == (removed == 0) {
					p.call, p.waits = 3, now
				}
			},
			"wait ends": func(t *rapid.T) {
				p := pick(t)
				if p.call != 3 {
					return
				}
				if p.hasKey == (removed == 0) { // no record has ended the wait
					now = max(now, p.waits+wait)
				}
				p.call, p.answer, p.empty = 2, removed == 0, p.hasKey == (removed == 0)
			},
			"answer": func(t *rapid.T) {
				if p := pick(t); p.call == 2 {
					p.call, p.hasKey = 0, p.answer
					read := LongPoll{Started: p.started, Ended: now, Wait: wait, Empty: p.empty}
					waited += min(int(read.Proof()-p.started), 1)
					p.f.RecordRead(read.Proof())
				}
			},
			"lost": func(t *rapid.T) { pick(t).call = 0 },
			"restart": func(t *rapid.T) {
				if oneInTen(t) {
					*pick(t) = process{f: Freshness{MaxKeyAge: bound}}
				}
			},
			"request": func(t *rapid.T) {
				p := pick(t)
				if !p.hasKey || !p.f.KeysValid(now) {
					return
				}
				accepted++
				late += min(int(removed), 1)
				require.True(rt, removed == 0 || now < removed+bound, "key accepted %v after its removal", now-removed)
			},
		})
	})
	require.Greater(t, accepted, 500, "the runs accepted too few keys")
	require.Greater(t, late, 20, "the runs sent too few requests between the removal of a key and its bound")
	require.Greater(t, waited, 20, "too few long polls proved their wait")
}
