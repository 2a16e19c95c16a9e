package entry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/metrics"
	"github.com/galenaweir/galenaweir/rpc"
)

// Guards against hints that overstate the prefix an endpoint holds: those for another
// weight version, or for more tokens than the prompt has.
func TestApplyHints(t *testing.T) {
	cs := []routing.Candidate{{Endpoint: "e0"}, {Endpoint: "e1"}}
	applyHints(cs, []*rpc.ContextLocation{
		{Endpoint: "e0", EngineTokens: 512, WeightVersion: "v1"},
		{Endpoint: "e1", EngineTokens: 9999, WeightVersion: "v2"},
		{Store: "s", StoreTokens: 256, WeightVersion: "v2"},
		{Store: "s", StoreTokens: 512, WeightVersion: "v1"},
	}, "v2", 1000)
	require.Equal(t, []routing.Candidate{{Endpoint: "e0", StorePrefixTokens: 256}, {Endpoint: "e1", EnginePrefixTokens: 1000, StorePrefixTokens: 256}}, cs)
}

// Guards against a follow-up request that is routed away from its context because the
// directory doesn't list the context yet, and against hints for another customer's
// context.
func TestRecordedContextsAreHints(t *testing.T) {
	e := New(Options{ID: "a", Metrics: metrics.New()})
	p := func(customer string) *promptRequest {
		return &promptRequest{customer: customer, conversation: "c1", text: strings.Repeat("levy", 600)}
	}
	first := p("kutch")
	e.lookupHints(t.Context(), first)
	require.Empty(t, first.hints)
	e.recordContext(first, &rpc.Start{Endpoint: "e1", WeightVersion: "v1"})
	again, other := p("kutch"), p("rann")
	e.lookupHints(t.Context(), again)
	e.lookupHints(t.Context(), other)
	require.Empty(t, other.hints)
	cs := []routing.Candidate{{Endpoint: "e0"}, {Endpoint: "e1"}}
	applyHints(cs, again.hints, "v1", 700)
	require.Equal(t, []int{0, 600}, []int{cs[0].EnginePrefixTokens, cs[1].EnginePrefixTokens})
}
