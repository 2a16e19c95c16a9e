package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Guards against reports that are applied to no endpoint, or to one that is gone, because the
// index by hash misses a way in which an endpoint's state begins or ends.
func TestEndpointIndexFollowsTheStates(t *testing.T) {
	g, clock := benchGateway()
	s := g.state
	check := func(when string) {
		t.Helper()
		want := map[uint32]string{}
		for id := range s.endpoints {
			want[endpointHash(id)] = id
		}
		require.Equal(t, want, s.endpointsByHash, when)
	}
	s.listedEndpoints(clock.read())
	require.Len(t, s.endpoints, benchEndpoints)
	check("after the first snapshot")

	s.endpointState("unlisted")
	check("after a state that began without an entry")

	gone, busy := benchEndpointID(0), benchEndpointID(1)
	s.endpointState(busy).load.Add(forward.RequestLoad{})
	g.applyEndpoints([]forward.EndpointChange{{ID: gone}, {ID: busy}}, clock.read(), false)
	require.NotContains(t, s.endpoints, gone)
	require.NotContains(t, s.endpoints, "unlisted")
	require.Contains(t, s.endpoints, busy, "it has a request")
	check("after entries were removed")

	s.endpointState(busy).load.Remove(&forward.RequestLoad{})
	g.applyEndpoints(benchEndpointChanges(2)[2:10], clock.read(), true)
	require.Len(t, s.endpoints, 8)
	check("after a snapshot without most endpoints")

	g.observeEra("endpoints", forward.Era(1))
	clock.advance(time.Second)
	g.applyEndpoints(benchEndpointChanges(3), clock.read(), true)
	s.listedEndpoints(clock.read())
	require.Len(t, s.endpoints, benchEndpoints)
	check("after the log returned")
}
