package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/rpc"
)

// TestUnreadableAnswer guards against telling a request that it ran when only
// another request with its key did.
func TestUnreadableAnswer(t *testing.T) {
	cause := rpc.EncodeError(apierr.NewRetryable(apierr.LogUnavailable, apierr.DidRun, logRetryAfter, "m", "r"))
	p := &payment{body: claims.Hash{1}}
	own := &rpc.ClaimState{BodyHash: p.body[:], Outcome: &rpc.Outcome{}}
	other := &rpc.ClaimState{BodyHash: []byte{2}, Outcome: &rpc.Outcome{}}
	e := apierr.From(p.unreadable(own, cause))
	require.Equal(t, apierr.LogUnavailable, e.Kind)
	require.Equal(t, apierr.DidRun, e.Ran)
	require.True(t, e.Retryable)
	require.Equal(t, apierr.KeyReused, apierr.From(p.unreadable(other, cause)).Kind)
}
