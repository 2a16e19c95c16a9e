package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
)

// P5: a prompt beyond the customer's limit is refused not_run with a time to
// retry; a prompt that did not run costs nothing, and reports reach other entries.
func TestCharge(t *testing.T) {
	e, other := New(Options{ID: "a"}), New(Options{ID: "b"})
	doc := &config.Document{Customers: map[string]config.Customer{"c": {TokensPerSecond: 1, BurstTokens: 100}}}
	p := &prompt{customer: "c", text: "levy", maxTokens: 98, state: &node.ConfigState{Doc: doc}}
	require.NoError(t, e.charge(p))
	err := apierr.From(e.charge(p))
	require.Equal(t, []any{apierr.RateLimited, apierr.NotRun, true}, []any{err.Kind, err.Ran, err.Retryable})
	require.Positive(t, err.RetryAfter)
	e.settle(p, nil, apierr.New(apierr.EndpointFailed, apierr.RanUnknown, "", ""))
	require.Error(t, e.charge(p), "what may have run is paid")
	e.settle(p, nil, apierr.New(apierr.NoEndpoint, apierr.NotRun, "", ""))
	require.NoError(t, e.charge(p))
	e.settle(p, &rpc.End{PromptTokens: 1, CompletionTokens: 1}, nil)
	p.maxTokens = 90
	require.NoError(t, e.charge(p), "a short answer is paid by its length")
	us := e.Usage()
	require.Len(t, us, 2)
	other.ObserveUsage(us, time.Now())
	require.Len(t, other.Usage(), 1, "the demand of others is not reported again")
}
