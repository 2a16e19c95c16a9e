package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// ownerGroup runs members without faults; those that are not given stand still.
type ownerGroup struct {
	simGroup
	t        *testing.T
	updating bool
}

func newOwnerGroup(t *testing.T) *ownerGroup {
	return &ownerGroup{simGroup: simGroup{now: time.Minute, joined: map[string]time.Duration{}}, t: t}
}

func (g *ownerGroup) member(name string) *Ownership {
	return &Ownership{Self: name, Lease: testLease, Handover: testHandover, MemberTTL: testMemberTTL}
}

// run has the members join for a time, and calls check at each tick.
func (g *ownerGroup) run(d time.Duration, check func(), members ...*Ownership) {
	for until := g.now + d; g.now < until; g.tick(testTick) {
		for _, o := range members {
			for range 3 {
				name, decided := o.JoinName(func() bool { return g.updating }, g.now)
				if !decided {
					o.DecideRole(g.members(), g.now)
					continue
				}
				o.RecordJoin(g.join(name), g.now)
				if o.KnowsMembers(o.Generation()) {
					break
				}
				o.RecordMembers(o.Generation(), g.members())
			}
		}
		if check != nil {
			check()
		}
	}
}

// endpointOf returns an endpoint that the member owns among all given ones.
func endpointOf(owner string, members ...string) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("endpoint", i); rendezvous.Owner(rendezvous.Key([]byte(id)), members) == owner {
			return id
		}
	}
}

// Guards against endpoints without an owner as an entry returns that stood still: for its own
// handover pause nobody could order them.
func TestReturnedEntryLeavesEndpointsWithTheirOwner(t *testing.T) {
	g := newOwnerGroup(t)
	a, b := g.member("a"), g.member("b")
	g.run(time.Second, nil, a, b)
	g.run(9*time.Second, nil, a, b)
	e := endpointOf("b", "a", "b")
	require.True(t, b.Owns(e, g.now))
	g.run(5*time.Second, nil, a)
	require.True(t, a.Owns(e, g.now))
	g.updating = true
	g.run(6*time.Second, func() {
		require.True(t, a.Owns(e, g.now), "during the rollout after the return")
		require.False(t, b.IsSoleOwner(e, g.now))
	}, a, b)
	require.Equal(t, []string{"a", "b"}, a.Members(), "the standby is a member")
	g.updating = false
	unowned := time.Duration(0)
	g.run(5*time.Second, func() {
		require.False(t, a.IsSoleOwner(e, g.now) && b.IsSoleOwner(e, g.now))
		if !a.IsSoleOwner(e, g.now) && !b.IsSoleOwner(e, g.now) {
			unowned += testTick
		}
	}, a, b)
	require.True(t, b.IsSoleOwner(e, g.now), "the endpoint returns to its owner after the rollout")
	require.LessOrEqual(t, unowned, testLease+inFlightMargin+testTick)
}

// Guards against a group in which all members are standbys and nobody orders.
func TestStandbyBecomesOwnerWithoutOthers(t *testing.T) {
	g := newOwnerGroup(t)
	a, b := g.member("a"), g.member("b")
	g.run(6*time.Second, nil, a)
	g.updating = true
	g.run(2*time.Second, nil, a, b)
	e := endpointOf("b", "a", "b")
	require.False(t, b.IsSoleOwner(e, g.now))
	g.run(6*time.Second, nil, b)
	require.True(t, b.Owns(e, g.now))
	g.run(maxStandbyTime+time.Second, nil, a, b)
	require.Equal(t, "a", a.ListedName(), "updates that never end keep nobody from becoming an owner")
}

// Guards against two owners if the log carries out a join late, after its sender has returned as a
// standby: the list then holds the sender as an owner.
func TestStandbyOwnsNothingByADelayedJoin(t *testing.T) {
	g := newOwnerGroup(t)
	a, b := g.member("a"), g.member("b")
	g.updating = true
	g.run(6*time.Second, nil, a, b)
	g.run(3*time.Second, nil, a)
	g.run(5*time.Second, nil, a, b)
	require.NotEqual(t, "b", b.ListedName())
	e := endpointOf("b", "a", "b")
	g.join("b")
	check := func() { require.False(t, b.IsSoleOwner(e, g.now), "%v", g.now) }
	g.run(testMemberTTL-testTick, check, a, b)
	g.run(testLease, check, a) // the list that b holds is no longer the newest
	require.True(t, a.IsSoleOwner(e, g.now))
}

// Guards against two owners if a standby becomes one while the list holds it as an owner already,
// by a join that was carried out late: the owner of before may still use the list before.
func TestStandbyBecomesOwnerByAListOfItsOwn(t *testing.T) {
	g := newOwnerGroup(t)
	a, b := g.member("a"), g.member("b")
	g.updating = true
	g.run(6*time.Second, nil, a, b)
	g.run(3*time.Second, nil, a)
	g.run(5*time.Second, nil, a, b)
	e := endpointOf("b", "a", "b")
	g.join("b")
	g.run(2*testTick, nil, b)
	g.updating = false
	g.run(3*testTick, func() { require.False(t, b.IsSoleOwner(e, g.now)) }, b)
	require.Equal(t, "b", b.ListedName())
	require.True(t, a.IsSoleOwner(e, g.now), "a's lease on the list before has not expired")
}

// Guards against an order within the handover pause by a member whose lease had expired, so that
// it may have missed what the others report of their orders, though the list is still the same.
func TestExpiredLeaseEndsTheKnowledgeOfOrders(t *testing.T) {
	g := newOwnerGroup(t)
	a, b := g.member("a"), g.member("b")
	g.run(8*time.Second, nil, a, b)
	g.run(testMemberTTL-2*testTick, nil, b) // a's lease expires, its membership doesn't
	returned := g.now
	g.run(testTick, nil, a, b)
	e := endpointOf("b", "a", "b")
	g.run(testMemberTTL+testLease+testTick, nil, a)
	require.NotContains(t, a.Members(), "b")
	for !a.IsSoleOwner(e, g.now) {
		g.run(testTick, nil, a)
	}
	require.GreaterOrEqual(t, g.now, returned+testLease+testHandover)
	require.Less(t, g.now, returned+10*time.Second)
}
