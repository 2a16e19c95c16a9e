package agent

import (
	"context"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/rpc"
)

// claimPartition returns the claim partition of a key or resource hash.
func claimPartition(h claims.Hash, d *config.Document) uint32 { return claimsvc.PartitionOf(h, d) }

// Claim implements rpc.AgentServer.
func (a *Agent) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	return a.opts.ClaimService.Claim(ctx, req)
}

// RecordOutcome implements rpc.AgentServer.
func (a *Agent) RecordOutcome(ctx context.Context, req *rpc.RecordOutcomeRequest) (*rpc.RecordOutcomeReply, error) {
	return a.opts.ClaimService.RecordOutcome(ctx, req)
}

// LookupOutcome implements rpc.AgentServer.
func (a *Agent) LookupOutcome(ctx context.Context, req *rpc.LookupOutcomeRequest) (*rpc.LookupOutcomeReply, error) {
	return a.opts.ClaimService.LookupOutcome(ctx, req)
}

// ObserveVersion implements rpc.AgentServer.
func (a *Agent) ObserveVersion(ctx context.Context, req *rpc.ObserveVersionRequest) (*rpc.ObserveVersionReply, error) {
	return a.opts.ClaimService.ObserveVersion(ctx, req)
}

// AttemptState implements rpc.AgentServer.
func (a *Agent) AttemptState(_ context.Context, req *rpc.AttemptStateRequest) (*rpc.AttemptStateReply, error) {
	return a.calls.attemptState(req.AttemptId), nil
}

// attemptState reports whether the attempt is still held by this incarnation.
func (c *serviceCalls) attemptState(attempt string) *rpc.AttemptStateReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &rpc.AttemptStateReply{Held: c.held[attempt], Incarnation: c.incarnation}
}

// markHeld marks the attempt as held until its outcome or release is recorded.
func (c *serviceCalls) markHeld(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[attempt] = true
}

// clearHeld marks the attempt as no longer held.
func (c *serviceCalls) clearHeld(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, attempt)
}
