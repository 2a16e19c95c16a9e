package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/rpc"
)

// Hints of another weight version, or for more tokens than the prompt has, must
// not make an endpoint look better than it is.
func TestApplyHints(t *testing.T) {
	cs := []routing.Candidate{{Endpoint: "e0"}, {Endpoint: "e1"}}
	applyHints(cs, []*rpc.ContextLocation{
		{Endpoint: "e0", EngineTokens: 512, WeightVersion: "v1"},
		{Endpoint: "e1", EngineTokens: 9999, WeightVersion: "v2"},
		{Store: "s", StoreTokens: 256, WeightVersion: "v2"},
		{Store: "s", StoreTokens: 512, WeightVersion: "v1"},
	}, "v2", 1000)
	require.Equal(t, []routing.Candidate{{Endpoint: "e0", StoreTokens: 256}, {Endpoint: "e1", EngineTokens: 1000, StoreTokens: 256}}, cs)
}
