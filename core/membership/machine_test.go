package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/membership"
)

// unit is one machine that knows m0 to m7, with a clock in seconds.
type unit struct{ *membership.Machine }

func newUnit() unit {
	u := unit{membership.New(membership.Options{Self: membership.Member{ID: "x", Incarnation: 1}, Rand: rand.New(rand.NewPCG(7, 7))})}
	for i := range 8 {
		u.hear(0, membership.Member{ID: fmt.Sprint("m", i), Address: fmt.Sprint("a", i), State: membership.Live, Incarnation: 1})
	}
	return u
}

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (u unit) hear(s float64, updates ...membership.Member) membership.Message {
	return u.Receive(at(s), membership.Message{From: "m0", Incarnation: 1, Updates: updates})
}

func (u unit) state(s float64, id string) membership.State {
	m, _ := u.Get(at(s), id)
	return m.State
}

// Guards against a starved process, which hears others but runs late, that
// suspects them or cuts their time to refute short.
func TestLateTicksSuspendJudgement(t *testing.T) {
	u := newUnit()
	for s := range 20 {
		u.Tick(at(float64(s)))
	}
	u.hear(19, membership.Member{ID: "m1", State: membership.Suspect, Incarnation: 1})
	u.hear(60)
	assert.Empty(t, u.Failed(at(60), "m2"), "a failure that was noticed before the late tick")
	const rotation = 4 // out-neighbours among 9
	for s := range rotation + 1 {
		u.Tick(at(float64(60 + s)))
		u.hear(float64(60 + s))
		assert.Equal(t, s == rotation, len(u.Failed(at(60.5+float64(s)), "m2")) > 0, "%d ticks after the late one", s)
	}
	u.Tick(at(65))
	assert.Equal(t, membership.Suspect, u.state(65, "m1"), "the time of the suspect went on during the pause")
	for s := range 4 {
		u.hear(float64(66 + s))
		u.Tick(at(float64(66 + s)))
	}
	assert.Equal(t, membership.Gone, u.state(70, "m1"))
}

// Guards against a member that is gone while the platform's list has it and others
// reach it, and against one that the list lacks and that is kept.
func TestListedSuspectIsProbedAgain(t *testing.T) {
	for _, listed := range []bool{true, false} {
		u := newUnit()
		var hosts []membership.Host
		for i := range 8 {
			if id := fmt.Sprint("m", i); i > 0 {
				u.hear(0, membership.Member{ID: id, State: membership.Suspect, Incarnation: 1})
				hosts = append(hosts, membership.Host{ID: id})
			}
		}
		if listed {
			u.HostList(0, hosts)
		}
		probed := map[string]bool{}
		for s := range 12 {
			for _, c := range u.Tick(at(float64(s))) {
				if c.Kind == membership.IndirectProbe {
					probed[c.Target] = true
					u.Probed(at(float64(s)), c.Target, true)
				}
			}
			u.hear(float64(s))
		}
		assert.Equal(t, listed, len(probed) > 0, "listed: %t", listed)
		want := membership.Gone
		if listed {
			want = membership.Suspect
		}
		for i := 1; i < 8; i++ {
			assert.Equal(t, want, u.state(12, fmt.Sprint("m", i)), "listed: %t", listed)
		}
	}
}

// Guards against members that missed an update and never get it.
func TestAllMembersAreRepeated(t *testing.T) {
	u := newUnit()
	repeated := map[string]bool{}
	for s := range 200 {
		for _, c := range u.Tick(at(float64(s))) {
			for _, x := range c.Message.Updates {
				if s > 100 && x.Address != "" {
					repeated[x.ID] = true
				}
			}
		}
	}
	assert.Len(t, repeated, 8)
}

// Guards against a process that hands out more snapshots at a time than its limit.
func TestGrantsAreLimited(t *testing.T) {
	u := newUnit()
	for range 4 {
		require.True(t, u.Grant())
	}
	require.False(t, u.Grant())
	u.Release()
	assert.True(t, u.Grant())
}

// Guards against a process that hears from nobody and judges or spreads verdicts.
func TestIsolatedProcessJudgesNobody(t *testing.T) {
	u := newUnit()
	u.Merge(0, nil)
	u.hear(0, membership.Member{ID: "m1", State: membership.Suspect, Incarnation: 1})
	for s := range 30 {
		for _, c := range u.Tick(at(float64(s))) {
			assert.NotEqual(t, membership.FetchMembers, c.Kind)
			for _, x := range c.Message.Updates {
				assert.False(t, s > 4 && x.State == membership.Suspect && x.ID != c.Target, "a verdict spreads after %d s", s)
			}
		}
		assert.Equal(t, s <= 4, len(u.Failed(at(float64(s)), "m2")) > 0, "after %d s", s)
		u.Probed(at(float64(s)), "m2", true)
		u.Probed(at(float64(s)), "m2", true)
	}
	assert.Equal(t, membership.Suspect, u.state(30, "m1"))
	u.hear(30)
	fetched := 0
	for s := 30.0; s < 34; s++ {
		for _, c := range u.Tick(at(s)) {
			if c.Kind == membership.FetchMembers {
				fetched++
			}
		}
		u.hear(s)
	}
	assert.Positive(t, fetched, "the members aren't fetched again")
	u.Merge(at(34), []membership.Member{{ID: "m1", Address: "a1", State: membership.Live, Incarnation: 1}})
	assert.Equal(t, membership.Live, u.state(34, "m1"), "its own verdict stands against the others'")
}

// Guards against a member that is gone at once because another process says so.
func TestGoneOfOthersIsDoubted(t *testing.T) {
	u := newUnit()
	gone := membership.Member{ID: "m1", State: membership.Gone, Incarnation: 1}
	for s := range 8 {
		u.Tick(at(float64(s)))
		u.hear(float64(s), gone)
		require.Equal(t, membership.Suspect, u.state(float64(s), "m1"), "after %d s", s)
	}
	u.hear(8, gone)
	assert.Equal(t, membership.Gone, u.state(8, "m1"))
	u.hear(9, membership.Member{ID: "m1", Address: "a1", State: membership.Live, Incarnation: 2})
	assert.Equal(t, membership.Live, u.state(9, "m1"))
}

// Guards against a process that goes on with old news of a member whose message
// shows a newer incarnation, and a member that doesn't announce itself when asked.
func TestNewerIncarnationIsAskedFor(t *testing.T) {
	u := newUnit()
	answer := u.Receive(at(1), membership.Message{From: "m0", Incarnation: 5})
	assert.Contains(t, answer.Updates, membership.Member{ID: "m0", Incarnation: 1})
	for s := range 100 { // until its first announcement has been passed on
		u.Tick(at(float64(s)))
	}
	answer = u.hear(100, membership.Member{ID: "x", Incarnation: 0})
	assert.Equal(t, "x", answer.Updates[0].ID)
	assert.Equal(t, membership.Live, answer.Updates[0].State)
}

// withGone returns a unit that holds m4 to m7 gone at the returned second.
func withGone() (unit, float64) {
	u := newUnit()
	u.Merge(0, []membership.Member{{ID: "x", Address: "ax", State: membership.Live, Incarnation: 1}})
	for i := 4; i < 8; i++ {
		u.hear(0, membership.Member{ID: fmt.Sprint("m", i), State: membership.Suspect, Incarnation: 1})
	}
	const end = 10
	for s := range end {
		u.Tick(at(float64(s)))
		u.hear(float64(s))
	}
	return u, end
}

// Guards against the larger side of a healed cut that keeps the members of the
// smaller side gone until each has announced itself, and against a short list of
// a process on the same side that revives members.
func TestLargerSideTakesTheListOfTheSmallerOne(t *testing.T) {
	list := []membership.Member{
		{ID: "m4", Address: "a4", State: membership.Live, Incarnation: 1},
		{ID: "m5", Address: "a5", State: membership.Live, Incarnation: 1},
	}
	for _, sameSide := range []bool{false, true} {
		u, s := withGone()
		require.Equal(t, membership.Gone, u.state(s, "m4"))
		l, want := list, membership.Live
		if sameSide {
			l, want = append(l, membership.Member{ID: "x", Address: "ax", State: membership.Live, Incarnation: 1}), membership.Gone
		}
		u.Merge(at(s), l)
		assert.Equal(t, want, u.state(s, "m4"), "same side: %t", sameSide)
		assert.Equal(t, membership.Gone, u.state(s, "m6"), "same side: %t", sameSide)
	}
}

// Guards against a fetch from the other side that was refused, after which the
// members are fetched from this side only.
func TestRefusedFetchGoesToTheNextReturnedMember(t *testing.T) {
	u, s := withGone()
	u.Receive(at(s), membership.Message{From: "m4", Incarnation: 1})
	require.Equal(t, "m4", u.fetched(s))
	u.FetchFailed(at(s + 4))
	u.Receive(at(s+4), membership.Message{From: "m5", Incarnation: 1})
	assert.Equal(t, "m5", u.fetched(s+4))
}

// fetched returns the member from which the unit fetches within 4 s.
func (u unit) fetched(from float64) string {
	for i := range 4 {
		for _, c := range u.Tick(at(from + float64(i))) {
			if c.Kind == membership.FetchMembers {
				return c.Target
			}
		}
		u.hear(from + float64(i))
	}
	return ""
}

// Guards against a later fetch from a member that answered in an earlier merge and
// may be dead since.
func TestMergeEndsTheSearchForReturnedMembers(t *testing.T) {
	u, s := withGone()
	u.Receive(at(s), membership.Message{From: "m4", Incarnation: 1})
	require.Equal(t, "m4", u.fetched(s))
	u.Receive(at(s+4), membership.Message{From: "m5", Incarnation: 1})
	u.Merge(at(s+4), nil)
	const silence = 10
	u.hear(s + 4 + silence)
	target := u.fetched(s + 4 + silence)
	assert.NotEmpty(t, target)
	assert.NotEqual(t, "m5", target)
}

// Guards against processes that hold gone members and all fetch from the same one.
func TestFetchesWithGoneMembersAreSpread(t *testing.T) {
	u, s := withGone()
	u.Receive(at(s), membership.Message{From: "m4", Incarnation: 1})
	targets := map[string]bool{}
	for i := range 60 {
		now := s + float64(i)
		for _, c := range u.Tick(at(now)) {
			if c.Kind == membership.FetchMembers {
				targets[c.Target] = true
				u.FetchFailed(at(now))
			}
		}
		u.hear(now)
	}
	assert.Greater(t, len(targets), 2, "fetched from %v", targets)
}
