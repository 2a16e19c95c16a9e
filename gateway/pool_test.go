package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Guards against a connection that is used again as its endpoint closes it.
func TestIdleTimeOfAConnectionIsTheEndpoints(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, timeout=15": 14 * time.Second, "": defaultEndpointIdleTimeout, "timeout=soon": defaultEndpointIdleTimeout,
		"timeout=0": -time.Second,
	} {
		require.Equal(t, want, keepAliveTimeout(value), value)
	}
}

// Guards against an entry of a large group that opens a connection to an endpoint which accepts
// fewer than there are entries.
func TestEntryWithoutAConnectionDoesNotUseTheEndpoint(t *testing.T) {
	const entries, endpoints, maxConns = 330, 20, 100
	var list []*testEndpoint
	for range endpoints {
		list = append(list, serveRaw(t, respondOK("ok")))
	}
	f := newFixture(t, list...)
	config := *f.state.table.Config
	config.Version++
	config.Services = []forward.Service{{Name: "s", MaxConns: maxConns}}
	f.applyOperators([]forward.OperatorChange{{Config: &config}}, f.clock.read(), false)
	members := []string{f.memberID}
	for i := range entries - 1 {
		members = append(members, fmt.Sprintf("entry-%03d", i))
	}
	f.state.limitGroup.RecordMembers(f.memberID, members, nil)
	for i := range 200 {
		f.state.endpointState(fmt.Sprint("e", i%endpoints)).load.Active = i % 7 // requests of other entries
		require.Equal(t, 200, f.status(t, "/unsafe/x", "key"))
	}
	used := 0
	for i, e := range list {
		share := forward.ConnShare(fmt.Sprint("e", i), maxConns, f.memberID, members)
		require.True(t, share > 0 || e.requests.Load() == 0, "endpoint %d has %d requests", i, e.requests.Load())
		used += boolInt(e.requests.Load() > 0)
	}
	require.Greater(t, used, 1)
}
