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

// testMachine is a machine with the members m0 to m7; its methods take times in
// seconds.
type testMachine struct{ *membership.Machine }

func newTestMachine() testMachine {
	u := testMachine{membership.New(membership.Options{Self: membership.Member{ID: "x", Incarnation: 1}, Rand: rand.New(rand.NewPCG(7, 7))})}
	for i := range 8 {
		u.deliver(0, membership.Member{ID: fmt.Sprint("m", i), Address: fmt.Sprint("a", i), State: membership.Live, Incarnation: 1})
	}
	return u
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (u testMachine) deliver(s float64, updates ...membership.Member) membership.Message {
	return u.HandleMessage(seconds(s), membership.Message{From: "m0", Incarnation: 1, Updates: updates})
}

func (u testMachine) state(s float64, id string) membership.State {
	m, _ := u.Get(seconds(s), id)
	return m.State
}

// Guards against a starved process, which receives messages but ticks late, that
// suspects others or shortens their time to refute a suspicion.
func TestLateTicksSuspendFailureDetection(t *testing.T) {
	u := newTestMachine()
	for s := range 20 {
		u.Tick(seconds(float64(s)))
	}
	u.deliver(19, membership.Member{ID: "m1", State: membership.Suspect, Incarnation: 1})
	u.deliver(60)
	assert.Empty(t, u.HandleFailure(seconds(60), "m2"), "a failure that is reported before the late tick must not count")
	const rotation = 4 // number of out-neighbours in a ring of 9
	for s := range rotation + 1 {
		u.Tick(seconds(float64(60 + s)))
		u.deliver(float64(60 + s))
		assert.Equal(t, s == rotation, len(u.HandleFailure(seconds(60.5+float64(s)), "m2")) > 0, "%d ticks after the late tick", s)
	}
	u.Tick(seconds(65))
	assert.Equal(t, membership.Suspect, u.state(65, "m1"), "the deadline of the suspect must be extended by the pause")
	for s := range 4 {
		u.deliver(float64(66 + s))
		u.Tick(seconds(float64(66 + s)))
	}
	assert.Equal(t, membership.Gone, u.state(70, "m1"))
}

// Guards against declaring a member gone although the host list contains it and
// others reach it, and against keeping a suspect that the list doesn't contain.
func TestListedSuspectIsProbedAgain(t *testing.T) {
	for _, listed := range []bool{true, false} {
		u := newTestMachine()
		var hosts []membership.Host
		for i := range 8 {
			if id := fmt.Sprint("m", i); i > 0 {
				u.deliver(0, membership.Member{ID: id, State: membership.Suspect, Incarnation: 1})
				hosts = append(hosts, membership.Host{ID: id})
			}
		}
		if listed {
			u.ApplyHostList(0, hosts)
		}
		probed := map[string]bool{}
		for s := range 12 {
			for _, c := range u.Tick(seconds(float64(s))) {
				if c.Kind == membership.IndirectProbe {
					probed[c.Target] = true
					u.HandleProbeResult(seconds(float64(s)), c.Target, true)
				}
			}
			u.deliver(float64(s))
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

// Guards against lost updates that are never sent again.
func TestAllMembersAreResent(t *testing.T) {
	u := newTestMachine()
	repeated := map[string]bool{}
	for s := range 200 {
		for _, c := range u.Tick(seconds(float64(s))) {
			for _, update := range c.Message.Updates {
				if s > 100 && update.Address != "" {
					repeated[update.ID] = true
				}
			}
		}
	}
	assert.Len(t, repeated, 8)
}

// Guards against a process that sends more concurrent snapshots than its limit.
func TestConcurrentSnapshotsAreLimited(t *testing.T) {
	u := newTestMachine()
	for range 4 {
		require.True(t, u.AcquireSnapshotPermit())
	}
	require.False(t, u.AcquireSnapshotPermit())
	u.ReleaseSnapshotPermit()
	assert.True(t, u.AcquireSnapshotPermit())
}

// Guards against an isolated process that suspects others or spreads such states.
func TestIsolatedProcessSuspectsNobody(t *testing.T) {
	u := newTestMachine()
	u.MergeMembers(0, nil)
	u.deliver(0, membership.Member{ID: "m1", State: membership.Suspect, Incarnation: 1})
	for s := range 30 {
		for _, c := range u.Tick(seconds(float64(s))) {
			assert.NotEqual(t, membership.FetchMembers, c.Kind)
			for _, update := range c.Message.Updates {
				assert.False(t, s > 4 && update.State == membership.Suspect && update.ID != c.Target, "a suspect state is sent after %d s", s)
			}
		}
		assert.Equal(t, s <= 4, len(u.HandleFailure(seconds(float64(s)), "m2")) > 0, "after %d s", s)
		u.HandleProbeResult(seconds(float64(s)), "m2", true)
		u.HandleProbeResult(seconds(float64(s)), "m2", true)
	}
	assert.Equal(t, membership.Suspect, u.state(30, "m1"))
	u.deliver(30)
	fetched := 0
	for s := 30.0; s < 34; s++ {
		for _, c := range u.Tick(seconds(s)) {
			if c.Kind == membership.FetchMembers {
				fetched++
			}
		}
		u.deliver(s)
	}
	assert.Positive(t, fetched, "the members must be fetched again")
	u.MergeMembers(seconds(34), []membership.Member{{ID: "m1", Address: "a1", State: membership.Live, Incarnation: 1}})
	assert.Equal(t, membership.Live, u.state(34, "m1"), "the state from the other process must replace that of this process")
}

// Guards against declaring a member gone immediately because another process reports
// it as gone.
func TestReportedGoneMemberIsFirstSuspect(t *testing.T) {
	u := newTestMachine()
	gone := membership.Member{ID: "m1", State: membership.Gone, Incarnation: 1}
	for s := range 8 {
		u.Tick(seconds(float64(s)))
		u.deliver(float64(s), gone)
		require.Equal(t, membership.Suspect, u.state(float64(s), "m1"), "after %d s", s)
	}
	u.deliver(8, gone)
	assert.Equal(t, membership.Gone, u.state(8, "m1"))
	u.deliver(9, membership.Member{ID: "m1", Address: "a1", State: membership.Live, Incarnation: 2})
	assert.Equal(t, membership.Live, u.state(9, "m1"))
}

// Guards against keeping outdated data about a member whose message shows a newer
// incarnation, and against a member that doesn't announce itself when asked.
func TestNewerIncarnationIsRequested(t *testing.T) {
	u := newTestMachine()
	answer := u.HandleMessage(seconds(1), membership.Message{From: "m0", Incarnation: 5})
	assert.Contains(t, answer.Updates, membership.Member{ID: "m0", Incarnation: 1})
	for s := range 100 { // until all sends of its first announcement are used up
		u.Tick(seconds(float64(s)))
	}
	answer = u.deliver(100, membership.Member{ID: "x", Incarnation: 0})
	assert.Equal(t, "x", answer.Updates[0].ID)
	assert.Equal(t, membership.Live, answer.Updates[0].State)
}

// newMachineWithGone returns a machine for which m4 to m7 are gone, and the time in
// seconds.
func newMachineWithGone() (testMachine, float64) {
	u := newTestMachine()
	u.MergeMembers(0, []membership.Member{{ID: "x", Address: "ax", State: membership.Live, Incarnation: 1}})
	for i := 4; i < 8; i++ {
		u.deliver(0, membership.Member{ID: fmt.Sprint("m", i), State: membership.Suspect, Incarnation: 1})
	}
	const end = 10
	for s := range end {
		u.Tick(seconds(float64(s)))
		u.deliver(float64(s))
	}
	return u, end
}

// Guards against the larger side of a healed partition keeping the members of the
// smaller side gone until each has announced itself, and against reviving members
// from the shorter list of a process on the same side.
func TestMergeRevivesMembersOfSmallerSide(t *testing.T) {
	list := []membership.Member{
		{ID: "m4", Address: "a4", State: membership.Live, Incarnation: 1},
		{ID: "m5", Address: "a5", State: membership.Live, Incarnation: 1},
	}
	for _, sameSide := range []bool{false, true} {
		u, s := newMachineWithGone()
		require.Equal(t, membership.Gone, u.state(s, "m4"))
		l, want := list, membership.Live
		if sameSide {
			l, want = append(l, membership.Member{ID: "x", Address: "ax", State: membership.Live, Incarnation: 1}), membership.Gone
		}
		u.MergeMembers(seconds(s), l)
		assert.Equal(t, want, u.state(s, "m4"), "same side: %t", sameSide)
		assert.Equal(t, membership.Gone, u.state(s, "m6"), "same side: %t", sameSide)
	}
}

// Guards against fetching the members only from this process's side of a healed
// partition after a process on the other side has refused a fetch.
func TestFetchAfterRefusalTargetsNextReturnedMember(t *testing.T) {
	u, s := newMachineWithGone()
	u.HandleMessage(seconds(s), membership.Message{From: "m4", Incarnation: 1})
	require.Equal(t, "m4", u.nextFetchTarget(s))
	u.HandleFetchFailure(seconds(s + 4))
	u.HandleMessage(seconds(s+4), membership.Message{From: "m5", Incarnation: 1})
	assert.Equal(t, "m5", u.nextFetchTarget(s+4))
}

// nextFetchTarget returns the member from which the machine fetches the members within
// 4 s, or "" if there is none.
func (u testMachine) nextFetchTarget(from float64) string {
	for i := range 4 {
		for _, c := range u.Tick(seconds(from + float64(i))) {
			if c.Kind == membership.FetchMembers {
				return c.Target
			}
		}
		u.deliver(from + float64(i))
	}
	return ""
}

// Guards against a later fetch from a member that returned before the last merge and
// may have died since.
func TestMergeClearsReturnedMember(t *testing.T) {
	u, s := newMachineWithGone()
	u.HandleMessage(seconds(s), membership.Message{From: "m4", Incarnation: 1})
	require.Equal(t, "m4", u.nextFetchTarget(s))
	u.HandleMessage(seconds(s+4), membership.Message{From: "m5", Incarnation: 1})
	u.MergeMembers(seconds(s+4), nil)
	const silence = 10
	u.deliver(s + 4 + silence)
	target := u.nextFetchTarget(s + 4 + silence)
	assert.NotEmpty(t, target)
	assert.NotEqual(t, "m5", target)
}

// Guards against always fetching from the same member while some members are gone.
func TestFetchTargetsVaryWhileMembersAreGone(t *testing.T) {
	u, s := newMachineWithGone()
	u.HandleMessage(seconds(s), membership.Message{From: "m4", Incarnation: 1})
	targets := map[string]bool{}
	for i := range 60 {
		now := s + float64(i)
		for _, c := range u.Tick(seconds(now)) {
			if c.Kind == membership.FetchMembers {
				targets[c.Target] = true
				u.HandleFetchFailure(seconds(now))
			}
		}
		u.deliver(now)
	}
	assert.Greater(t, len(targets), 2, "fetched from %v", targets)
}
