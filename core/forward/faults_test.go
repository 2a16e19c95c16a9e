package forward

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// searchSteps is the length of one run: a search of 30 steps, the default, reaches
// hardly any order or accepted key.
const searchSteps = "400"

// TestMain fixes what rapid would draw from the clock.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": searchSteps, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value) // the flag is rapid's
		}
	}
	os.Exit(m.Run())
}

// Times of the searches, in the proportions of the platform.
const (
	searchLease    = 700 * time.Millisecond
	searchTTL      = time.Second
	searchHandover = 3 * time.Second
	searchTick     = 100 * time.Millisecond
)

// searchMember is a process with the calls that it has on their way. A member
// that takes no steps is suspended; its clock goes on.
type searchMember struct {
	name       string
	o          *Ownership
	joinSent   time.Duration
	joinCalled bool
	joinDone   bool // the log has taken it; the answer is on its way
	answer     int64
	listCalled bool
	listDone   bool
	list       []string
	rollout    *Rollout
}

func (m *searchMember) restart() {
	*m = searchMember{name: m.name, o: &Ownership{Self: m.name, Lease: searchLease, Handover: searchHandover}, rollout: NewRollout()}
}

// seldom is true for one draw in ten.
func seldom(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "seldom") == 7 }

// searchGroup is the group of the log.
type searchGroup struct {
	now        time.Duration
	generation int64
	joined     map[string]time.Duration
}

func (g *searchGroup) tick(d time.Duration) {
	g.now += d
	for name, at := range g.joined {
		if g.now >= at+searchTTL {
			delete(g.joined, name)
			g.generation++
		}
	}
}

func (g *searchGroup) join(name string) int64 {
	if _, ok := g.joined[name]; !ok {
		g.generation++
	}
	g.joined[name] = g.now
	return g.generation
}

func (g *searchGroup) members() []string {
	var out []string
	for name := range g.joined {
		out = append(out, name)
	}
	return out
}

// Guards against two holders of an endpoint's orders within the pause: the real
// state machine under freezes, cuts, restarts, calls that arrive late or never, and
// several changes of the group in a row. spec/holders.pml searches the same.
func TestHoldersUnderFaults(t *testing.T) {
	orders := 0
	rapid.Check(t, func(rt *rapid.T) {
		g := &searchGroup{joined: map[string]time.Duration{}}
		var ms []*searchMember
		for _, name := range []string{"a", "b", "c"} {
			m := &searchMember{name: name}
			m.restart()
			ms = append(ms, m)
		}
		type held struct {
			by    string
			at    time.Duration
			fence int64
		}
		last := map[string]held{}
		order := func(m *searchMember) {
			for e := range 4 {
				id := fmt.Sprint("endpoint", e)
				if !m.o.Owns(id, g.now) {
					continue
				}
				orders++
				if l, ok := last[id]; ok && l.by != m.name {
					require.GreaterOrEqual(rt, g.now-l.at, searchHandover, "%s after %s for %s", m.name, l.by, id)
					require.Greater(rt, m.o.Fence(), l.fence)
				}
				last[id] = held{m.name, g.now, m.o.Fence()}
			}
		}
		// calm lets all members take their steps in order, so that drawn faults meet
		// settled holders.
		calm := func(members []*searchMember, d time.Duration) {
			for until := g.now + d; g.now < until; g.tick(searchTick) {
				for _, m := range members {
					m.joinCalled, m.listCalled = false, false
					sent := g.now
					m.o.Joined(g.join(m.name), sent)
					if !m.o.Current(m.o.Generation()) {
						m.o.Listed(m.o.Generation(), g.members())
					}
					order(m)
				}
			}
		}
		calm(ms[:rapid.IntRange(1, 3).Draw(rt, "members at first")], 5*time.Second)
		member := rapid.IntRange(0, len(ms)-1)
		pick := func(t *rapid.T) *searchMember { return ms[member.Draw(t, "member")] }
		rt.Repeat(map[string]func(*rapid.T){
			"tick":   func(t *rapid.T) { g.tick(searchTick) },
			"freeze": func(t *rapid.T) { g.tick(time.Duration(rapid.IntRange(1, 50).Draw(t, "ticks")) * searchTick) },
			"calm of some": func(t *rapid.T) {
				a := member.Draw(t, "first")
				calm(ms[a:], time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks"))*searchTick)
			},
			"join": func(t *rapid.T) {
				if m := pick(t); !m.joinCalled && !m.listCalled {
					m.joinCalled, m.joinDone, m.joinSent = true, false, g.now
				}
			},
			"log takes a join": func(t *rapid.T) {
				if m := pick(t); m.joinCalled && !m.joinDone {
					m.joinDone, m.answer = true, g.join(m.name)
				}
			},
			"answer of a join": func(t *rapid.T) {
				m := pick(t)
				if !m.joinCalled || !m.joinDone {
					return
				}
				m.joinCalled = false
				m.o.Joined(m.answer, m.joinSent)
				m.listCalled, m.listDone = !m.o.Current(m.answer), false
			},
			"log reads the list": func(t *rapid.T) {
				if m := pick(t); m.listCalled && !m.listDone {
					m.listDone, m.list = true, g.members()
				}
			},
			"answer of the list": func(t *rapid.T) {
				if m := pick(t); m.listCalled && m.listDone {
					m.listCalled = false
					m.o.Listed(m.answer, m.list)
				}
			},
			"call lost": func(t *rapid.T) {
				m := pick(t)
				m.joinCalled, m.listCalled = false, false
			},
			"restart": func(t *rapid.T) { pick(t).restart() },
			"order":   func(t *rapid.T) { order(pick(t)) },
		})
	})
	require.Greater(t, orders, 1000, "the search has hardly any orders")
}

// Guards against a late order that undoes a newer one, and against one that is
// carried out twice: the real rollouts of two holders with drawn delays, losses and
// restarts. spec/orders.pml searches the same.
func TestLateOrdersUnderFaults(t *testing.T) {
	carriedOut := 0
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Hour
		version, named, seq := int64(1), int64(1), int64(0)
		busyUntil := time.Duration(0)
		rollouts := []*Rollout{NewRollout(), NewRollout()}
		type flight struct {
			step   Step
			holder int
		}
		var flights []flight
		pick := func(t *rapid.T) (int, bool) {
			if len(flights) == 0 {
				return 0, false
			}
			return rapid.IntRange(0, len(flights)-1).Draw(t, "message"), true
		}
		step := func(t *rapid.T) {
			h := rapid.IntRange(0, 1).Draw(t, "holder")
			es := []Endpoint{{ID: "e", Service: "s", Models: []ModelState{{"m", version}}}}
			for _, s := range rollouts[h].Next([]Managed{{Endpoint: es[0], Certain: true}}, map[string]Fleet{"s": {Total: 1}}, now) {
				if s.Order {
					rollouts[h].Sent("e", now)
				}
				flights = append(flights, flight{s, h})
			}
		}
		arrive := func(t *rapid.T) {
			i, ok := pick(t)
			if !ok {
				return
			}
			f := flights[i]
			flights = append(flights[:i:i], flights[i+1:]...)
			busy := now < busyUntil
			if !f.step.Order {
				rollouts[f.holder].Reported("e", Report{Models: []ModelState{{"m", version}}, Busy: busy, Seq: seq}, now)
				return
			}
			if busy || f.step.Seq != seq {
				return // refused by the condition
			}
			require.Greater(rt, f.step.Version, version)
			version, busyUntil = f.step.Version, now+2*time.Second
			seq++
			carriedOut++
		}
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * searchTick },
			"name": func(t *rapid.T) {
				if seldom(t) {
					named++
				}
			},
			"learn": func(t *rapid.T) {
				rollouts[rapid.IntRange(0, 1).Draw(t, "holder")].Name(WeightVersion{"m", named}, now, now)
			},
			"step": func(t *rapid.T) { step(t) }, "step2": func(t *rapid.T) { step(t) }, "step3": func(t *rapid.T) { step(t) },
			"arrive": func(t *rapid.T) { arrive(t) }, "arrive2": func(t *rapid.T) { arrive(t) }, "arrive3": func(t *rapid.T) { arrive(t) },
			"lose": func(t *rapid.T) {
				if i, ok := pick(t); ok && seldom(t) {
					flights = append(flights[:i:i], flights[i+1:]...)
				}
			},
			"restart": func(t *rapid.T) {
				if seldom(t) {
					rollouts[rapid.IntRange(0, 1).Draw(t, "holder")] = NewRollout()
				}
			},
		})
	})
	require.Greater(t, carriedOut, 200, "the search has hardly any orders")
}

// Guards against a key that is accepted after its removal became binding: the real
// state machine under freezes, cuts, late and lost reads. spec/freshness.pml
// searches the same.
func TestFreshnessUnderFaults(t *testing.T) {
	const bound = 5 * time.Second
	accepted, late := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		now, removed := time.Hour, time.Duration(0)
		type process struct {
			f       Freshness
			hasKey  bool
			started time.Duration
			call    int // 0 none, 1 sent, 2 answered
			answer  bool
		}
		ps := []*process{{}, {}}
		for _, p := range ps {
			p.f.KeyLimit = bound
		}
		pick := func(t *rapid.T) *process { return ps[rapid.IntRange(0, 1).Draw(t, "process")] }
		rt.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 10).Draw(t, "ticks")) * searchTick },
			"freeze": func(t *rapid.T) {
				if seldom(t) {
					now += time.Duration(rapid.IntRange(10, 100).Draw(t, "ticks")) * searchTick
				}
			},
			"remove": func(t *rapid.T) {
				if removed == 0 && seldom(t) {
					removed = now
				}
			},
			"whole read": func(t *rapid.T) {
				p := pick(t)
				p.call, p.hasKey = 0, removed == 0
				p.f.Confirm(now)
			},
			"read": func(t *rapid.T) {
				if p := pick(t); p.call == 0 {
					p.call, p.started = 1, now
				}
			},
			"log answers": func(t *rapid.T) {
				if p := pick(t); p.call == 1 {
					p.call, p.answer = 2, removed == 0
				}
			},
			"answer": func(t *rapid.T) {
				if p := pick(t); p.call == 2 {
					p.call, p.hasKey = 0, p.answer
					p.f.Confirm(p.started)
				}
			},
			"lost": func(t *rapid.T) { pick(t).call = 0 },
			"restart": func(t *rapid.T) {
				if seldom(t) {
					*pick(t) = process{f: Freshness{KeyLimit: bound}}
				}
			},
			"request": func(t *rapid.T) {
				p := pick(t)
				if !p.hasKey || !p.f.KeysValid(now) {
					return
				}
				accepted++
				late += min(int(removed), 1)
				require.True(rt, removed == 0 || now < removed+bound, "accepted %v after the removal", now-removed)
			},
		})
	})
	require.Greater(t, accepted, 500, "the search has hardly any accepted keys")
	require.Greater(t, late, 20, "the search has hardly any requests between a removal and its bound")
}
