package entry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/routing"
	"github.com/galenaweir/galenaweir/metrics"
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
	require.Equal(t, []routing.Candidate{{Endpoint: "e0", StorePrefixTokens: 256}, {Endpoint: "e1", EnginePrefixTokens: 1000, StorePrefixTokens: 256}}, cs)
}

// Guards against a conversation that returns at once and is sent elsewhere,
// because the directory has not heard of its context yet, and against another
// customer's context in the hints.
func TestOwnAnswersAreHints(t *testing.T) {
	e := New(Options{ID: "a", Metrics: metrics.New()})
	p := func(customer string) *prompt {
		return &prompt{customer: customer, conversation: "c1", text: strings.Repeat("levy", 600)}
	}
	first := p("kutch")
	e.lookup(t.Context(), first)
	require.Empty(t, first.hints)
	e.remember(first, &rpc.Start{Endpoint: "e1", WeightVersion: "v1"})
	again, other := p("kutch"), p("rann")
	e.lookup(t.Context(), again)
	e.lookup(t.Context(), other)
	require.Empty(t, other.hints)
	cs := []routing.Candidate{{Endpoint: "e0"}, {Endpoint: "e1"}}
	applyHints(cs, again.hints, "v1", 700)
	require.Equal(t, []int{0, 600}, []int{cs[0].EnginePrefixTokens, cs[1].EnginePrefixTokens})
}
