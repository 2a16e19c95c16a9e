package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/rpc"
)

// Guards against reporting that a request ran if only a different request with the same
// key did.
func TestUnreadableOutcomeError(t *testing.T) {
	cause := rpc.EncodeError(apierr.NewRetryable(apierr.LogUnavailable, apierr.DidRun, logRetryAfter, "m", "r"))
	c := &claimedCall{bodyHash: claims.Hash{1}}
	own := &rpc.ClaimState{BodyHash: c.bodyHash[:], Outcome: &rpc.Outcome{}}
	other := &rpc.ClaimState{BodyHash: []byte{2}, Outcome: &rpc.Outcome{}}
	e := apierr.From(c.unreadableOutcomeError(own, cause))
	require.Equal(t, apierr.LogUnavailable, e.Kind)
	require.Equal(t, apierr.DidRun, e.Ran)
	require.True(t, e.Retryable)
	require.Equal(t, apierr.KeyReused, apierr.From(c.unreadableOutcomeError(other, cause)).Kind)
}
