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

// Guards against a prompt beyond the customer's limit that is not refused as not_run
// with a retry delay (P5), a charge for a prompt that did not run, and demand
// reports that don't reach the other entries.
func TestChargeAndRefund(t *testing.T) {
	e, other := New(Options{ID: "a"}), New(Options{ID: "b"})
	doc := &config.Document{Customers: map[string]config.Customer{"c": {TokensPerSecond: 1, BurstTokens: 100}}}
	p := &promptRequest{customer: "c", text: "levy", maxTokens: 98, config: &node.ConfigState{Doc: doc}}
	require.NoError(t, e.charge(p))
	err := apierr.From(e.charge(p))
	require.Equal(t, []any{apierr.RateLimited, apierr.NotRun, true}, []any{err.Kind, err.Ran, err.Retryable})
	require.Positive(t, err.RetryAfter)
	e.refundUnused(p, nil, apierr.New(apierr.EndpointFailed, apierr.RanUnknown, "", ""))
	require.Error(t, e.charge(p), "a prompt that may have run is charged")
	e.refundUnused(p, nil, apierr.New(apierr.NoEndpoint, apierr.NotRun, "", ""))
	require.NoError(t, e.charge(p))
	e.refundUnused(p, &rpc.End{PromptTokens: 1, CompletionTokens: 1}, nil)
	p.maxTokens = 90
	require.NoError(t, e.charge(p), "a short answer is charged by its length")
	us := e.DemandReport()
	require.Len(t, us, 2)
	other.ApplyDemandReport(us, time.Now())
	require.Len(t, other.DemandReport(), 1, "the demand of other entries is not reported again")
}
