package agent

import (
	"context"

	"github.com/galenaweir/galenaweir/claimsvc"
	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/rpc"
)

func claimsvcPartition(h claims.Hash, d *config.Document) uint32 { return claimsvc.PartitionOf(h, d) }

// Claim implements rpc.AgentServer.
func (a *Agent) Claim(ctx context.Context, req *rpc.ClaimRequest) (*rpc.ClaimReply, error) {
	return a.o.Claims.Claim(ctx, req)
}

// RecordOutcome implements rpc.AgentServer.
func (a *Agent) RecordOutcome(ctx context.Context, req *rpc.RecordOutcomeRequest) (*rpc.RecordOutcomeReply, error) {
	return a.o.Claims.RecordOutcome(ctx, req)
}

// LookupOutcome implements rpc.AgentServer.
func (a *Agent) LookupOutcome(ctx context.Context, req *rpc.LookupOutcomeRequest) (*rpc.LookupOutcomeReply, error) {
	return a.o.Claims.LookupOutcome(ctx, req)
}

// ObserveVersion implements rpc.AgentServer.
func (a *Agent) ObserveVersion(ctx context.Context, req *rpc.ObserveVersionRequest) (*rpc.ObserveVersionReply, error) {
	return a.o.Claims.ObserveVersion(ctx, req)
}

// AttemptState implements rpc.AgentServer.
func (a *Agent) AttemptState(_ context.Context, req *rpc.AttemptStateRequest) (*rpc.AttemptStateReply, error) {
	return a.calls.state(req.AttemptId), nil
}

func (c *calls) state(attempt string) *rpc.AttemptStateReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &rpc.AttemptStateReply{Held: c.held[attempt], Incarnation: c.incarnation}
}

func (c *calls) hold(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[attempt] = true
}

func (c *calls) drop(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, attempt)
}
