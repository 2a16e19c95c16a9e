package claimsvc

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/claims"
	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/rendezvous"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// RankIDs returns the n highest-ranked IDs for the key by rendezvous hashing, best first.
func RankIDs(key string, ids []string, n int) []string {
	return rendezvous.Top(rendezvous.Key([]byte(key)), ids, n)
}

// Keepers returns the partition's keeper, followed by the standby. They are chosen among
// the live agents. Suspect agents are used only when too few agents are live.
func Keepers(ms node.Members, partition uint32) []node.Member {
	byID := map[string]node.Member{}
	var live, suspect []string
	for _, m := range ms.All() {
		if m.Role != node.RoleAgent {
			continue
		}
		byID[m.ID] = m
		switch m.State {
		case node.Live:
			live = append(live, m.ID)
		case node.Suspect:
			suspect = append(suspect, m.ID)
		}
	}
	ranked := append(RankIDs(LogStream(partition), live, keepersPerPartition), RankIDs(LogStream(partition), suspect, keepersPerPartition)...)
	var out []node.Member
	for _, id := range ranked[:min(len(ranked), keepersPerPartition)] {
		out = append(out, byID[id])
	}
	return out
}

// PartitionOf returns the partition of a customer's key or resource.
func PartitionOf(h claims.Hash, d *config.Document) uint32 {
	return uint32(xxhash.Sum64(h[:]) % uint64(PartitionCount(d)))
}

// Client calls the keepers of partitions.
type Client struct {
	members node.Members
	pool    *dial.Pool
}

// NewClient returns a client that finds the keepers among the members.
func NewClient(ms node.Members, pool *dial.Pool) *Client { return &Client{members: ms, pool: pool} }

// keeperTimeout bounds the call to one keeper before the next one is tried.
const keeperTimeout = 3 * time.Second

// callKeepers calls do with the keeper of the partition and, if that fails, with
// the standby. Every call to a keeper is safe to repeat.
func (c *Client) callKeepers(ctx context.Context, partition uint32, call string, do func(context.Context, rpc.AgentClient) error) error {
	lastErr := fmt.Errorf("no live agent to manage %s", LogStream(partition))
	for i, m := range Keepers(c.members, partition) {
		conn, err := c.pool.Get(m.Address)
		if err == nil {
			callCtx, cancel := context.WithTimeout(ctx, keeperTimeout)
			err = do(callCtx, rpc.NewAgentClient(conn))
			cancel()
		}
		if err == nil {
			log.Info().Str("decision", "keeper").Str("stream", LogStream(partition)).Str("call", call).Str("keeper", m.ID).Int("rank", i).Msg("keeper answered")
			return nil
		}
		log.Warn().Str("decision", "keeper").Str("stream", LogStream(partition)).Str("call", call).Str("keeper", m.ID).Int("rank", i).Err(err).Msg("keeper call failed")
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return lastErr
}

// Claim requests a claim. An error means that no keeper answered; a keeper reports its
// own failure in the reply.
func (c *Client) Claim(ctx context.Context, req *rpc.ClaimRequest) (reply *rpc.ClaimReply, err error) {
	err = c.callKeepers(ctx, req.Partition, "claim", func(ctx context.Context, a rpc.AgentClient) (err error) {
		reply, err = a.Claim(ctx, req)
		return err
	})
	return reply, err
}

// Release records that an attempt was closed without an outcome, which frees its key.
func (c *Client) Release(ctx context.Context, partition uint32, attempt string) error {
	return c.appendRecord(ctx, partition, claims.Record{Kind: claims.KindRelease, Attempt: attempt})
}

// Settle records the outcome of an attempt.
func (c *Client) Settle(ctx context.Context, partition uint32, attempt string, o claims.Outcome) error {
	return c.appendRecord(ctx, partition, claims.Record{Kind: claims.KindOutcome, Attempt: attempt, Outcome: o})
}

func (c *Client) appendRecord(ctx context.Context, partition uint32, r claims.Record) error {
	req := &rpc.RecordOutcomeRequest{Partition: partition, Record: encodeRecord(r)}
	return c.callKeepers(ctx, partition, "record", func(ctx context.Context, a rpc.AgentClient) error {
		reply, err := a.RecordOutcome(ctx, req)
		if err != nil {
			return err
		}
		return rpc.DecodeError(reply.Error)
	})
}

// LookupOutcome returns the state of a key's claim.
func (c *Client) LookupOutcome(ctx context.Context, partition uint32, key claims.Hash) (reply *rpc.LookupOutcomeReply, err error) {
	req := &rpc.LookupOutcomeRequest{Partition: partition, KeyHash: key[:]}
	err = c.callKeepers(ctx, partition, "lookup", func(ctx context.Context, a rpc.AgentClient) (err error) {
		reply, err = a.LookupOutcome(ctx, req)
		return err
	})
	return reply, err
}

// ObserveVersion checks a version against the resource's floor, the lowest version that
// may be returned to the customer.
func (c *Client) ObserveVersion(ctx context.Context, partition uint32, resource claims.Hash, version uint64) (reply *rpc.ObserveVersionReply, err error) {
	req := &rpc.ObserveVersionRequest{Partition: partition, ResourceHash: resource[:], Version: version}
	err = c.callKeepers(ctx, partition, "observe", func(ctx context.Context, a rpc.AgentClient) (err error) {
		if reply, err = a.ObserveVersion(ctx, req); err != nil {
			return err
		}
		return rpc.DecodeError(reply.Error)
	})
	return reply, err
}
