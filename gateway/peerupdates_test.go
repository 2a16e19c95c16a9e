package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

const endedPeer = "127.0.0.9:1"

// takeover is an entry whose only peer ends after it has reported that it loads weights on an
// endpoint that it owns.
type takeover struct {
	*testGroup
	entry      *fixture
	endpoint   forward.Endpoint
	generation int64
}

func newTakeover(t *testing.T) *takeover {
	o := &takeover{testGroup: newTestGroup(t, 1), generation: 1}
	o.entry = o.entries[0]
	o.renew([]string{o.entry.memberID, endedPeer}, 5*time.Second)
	for i := 0; o.endpoint.ID == ""; i++ {
		if id := fmt.Sprintf("e%d", i); !o.entry.ownership.Owns(id, o.clock.read()) {
			o.endpoint = forward.Endpoint{ID: id, Service: "s", FailureDomain: "a", Models: []forward.ModelState{{Name: "m", Version: 1}}, StartedUnixMs: 5}
		}
	}
	return o
}

// renew makes the members those of a new generation, for at least d.
func (o *takeover) renew(members []string, d time.Duration) {
	o.generation++
	for end := o.clock.read() + d; o.clock.read() < end; o.advance(300 * time.Millisecond) {
		o.join(members, forward.Generation{Number: o.generation})
	}
}

func (o *takeover) list(e *forward.Endpoint) {
	o.entry.applyEndpoints([]forward.EndpointChange{{ID: o.endpoint.ID, Endpoint: e}}, o.clock.read(), false)
}

// report applies the peer's report that it loads weights on the endpoint, and returns the time.
func (o *takeover) report() time.Duration {
	o.seq++
	o.entry.applyReport(&loadReport{Protocol: reportProtocol, Member: endedPeer, Seq: o.seq, Loading: []uint32{endpointHash(o.endpoint.ID)}})
	return o.clock.read()
}

// managedFrom lets the peer end and returns the first time at which the entry may order the endpoint.
func (o *takeover) managedFrom(t *testing.T) time.Duration {
	for end := o.clock.read() + 10*time.Second; o.clock.read() < end; {
		o.renew([]string{o.entry.memberID}, 300*time.Millisecond)
		o.generation-- // the list stays the same
		managed, _ := o.entry.managedEndpoints(o.clock.read())
		if slices.ContainsFunc(managed, func(m forward.ManagedEndpoint) bool { return m.Endpoint.ID == o.endpoint.ID }) {
			return o.clock.read()
		}
	}
	require.Fail(t, "the endpoint is never managed")
	return 0
}

// Guards against a second owner's order within the handover pause, because the reports of the peer
// that ordered the endpoint were forgotten, or not recorded, while the list lacked the endpoint.
func TestPeerUpdateIsRememberedWhileTheEndpointIsNotListed(t *testing.T) {
	for name, steps := range map[string]func(o *takeover) time.Duration{
		"removed after the report": func(o *takeover) time.Duration {
			o.list(&o.endpoint)
			at := o.report()
			o.list(nil)
			return at
		},
		"reported while it was not listed": func(o *takeover) time.Duration {
			o.list(&o.endpoint)
			o.list(nil)
			return o.report()
		},
		"reported before it was first listed": (*takeover).report,
	} {
		t.Run(name, func(t *testing.T) {
			o := newTakeover(t)
			at := steps(o)
			o.list(&o.endpoint)
			require.GreaterOrEqual(t, o.managedFrom(t)-at, o.entry.ownership.Handover)
		})
	}
}

// Guards against what is remembered of an endpoint that left the list passing for knowledge of the one
// that gets its ID next: only the pause between orders holds for both.
func TestOnlyTheOrderPauseOutlivesAnEndpoint(t *testing.T) {
	o := newTakeover(t)
	o.list(&o.endpoint)
	o.entry.applyReport(&loadReport{Protocol: reportProtocol, Member: endedPeer, Seq: 1, Loaded: []reportVersion{{Endpoint: endpointHash(o.endpoint.ID), Model: "m", Version: 2, Seq: 1}}})
	o.seq = 1
	at := o.report()
	o.list(nil)
	successor := o.endpoint
	successor.StartedUnixMs = 9
	o.list(&successor)
	st := o.entry.state.endpointState(successor.ID)
	require.Zero(t, st.orderCount)
	require.Empty(t, st.observedVersions)
	require.GreaterOrEqual(t, o.managedFrom(t)-at, o.entry.ownership.Handover)
}

// Guards against an endpoint that is left out for good, or an owner that waits though no peer has
// reported an update.
func TestPeerUpdateDelaysOnlyTheHandover(t *testing.T) {
	o := newTakeover(t)
	o.list(&o.endpoint)
	at := o.report()
	from := o.managedFrom(t)
	require.Less(t, from-at, o.entry.peerUpdatePause()+time.Second)

	o = newTakeover(t)
	o.list(&o.endpoint)
	began := o.clock.read()
	require.Less(t, o.managedFrom(t)-began, time.Second)
}
