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

// Rank returns the n best IDs by rendezvous hashing for the key, best first.
func Rank(key string, ids []string, n int) []string {
	return rendezvous.Top(rendezvous.Key([]byte(key)), ids, n)
}

// Keepers returns the keeper of the partition and its standby, among the agents
// that are live. Suspect ones are taken when no live one is left.
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
	order := append(Rank(Stream(partition), live, keepersPerPartition), Rank(Stream(partition), suspect, keepersPerPartition)...)
	var out []node.Member
	for _, id := range order[:min(len(order), keepersPerPartition)] {
		out = append(out, byID[id])
	}
	return out
}

// PartitionOf returns the partition of a key or resource of one customer.
func PartitionOf(h claims.Hash, d *config.Document) uint32 {
	return uint32(xxhash.Sum64(h[:]) % uint64(Partitions(d)))
}

// Client asks the keepers of partitions.
type Client struct {
	members node.Members
	pool    *dial.Pool
}

// NewClient returns a client.
func NewClient(ms node.Members, pool *dial.Pool) *Client { return &Client{members: ms, pool: pool} }

// keeperTimeout bounds the wait for one keeper before the next is asked.
const keeperTimeout = 3 * time.Second

// each calls f with the keeper of the partition and, when that fails, with the
// standby. All calls to a keeper may be repeated.
func (c *Client) each(ctx context.Context, partition uint32, call string, f func(context.Context, rpc.AgentClient) error) error {
	last := fmt.Errorf("no agent is live to keep %s", Stream(partition))
	for i, m := range Keepers(c.members, partition) {
		conn, err := c.pool.Get(m.Address)
		if err == nil {
			one, cancel := context.WithTimeout(ctx, keeperTimeout)
			err = f(one, rpc.NewAgentClient(conn))
			cancel()
		}
		if err == nil {
			log.Info().Str("decision", "keeper").Str("stream", Stream(partition)).Str("call", call).Str("keeper", m.ID).Int("rank", i).Msg("keeper chosen")
			return nil
		}
		log.Warn().Str("decision", "keeper").Str("stream", Stream(partition)).Str("call", call).Str("keeper", m.ID).Int("rank", i).Err(err).Msg("keeper did not answer")
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return last
}

// Claim asks for a claim. Its error means that no keeper answered.
func (c *Client) Claim(ctx context.Context, req *rpc.ClaimRequest) (reply *rpc.ClaimReply, err error) {
	err = c.each(ctx, req.Partition, "claim", func(ctx context.Context, a rpc.AgentClient) (err error) {
		reply, err = a.Claim(ctx, req)
		return err
	})
	return reply, err
}

// Release appends the release of an attempt that was closed.
func (c *Client) Release(ctx context.Context, partition uint32, attempt string) error {
	return c.record(ctx, partition, claims.Record{Kind: claims.KindRelease, Attempt: attempt})
}

// Settle appends the outcome of an attempt.
func (c *Client) Settle(ctx context.Context, partition uint32, attempt string, o claims.Outcome) error {
	return c.record(ctx, partition, claims.Record{Kind: claims.KindOutcome, Attempt: attempt, Outcome: o})
}

func (c *Client) record(ctx context.Context, partition uint32, r claims.Record) error {
	req := &rpc.RecordOutcomeRequest{Partition: partition, Record: encodeRecord(r)}
	return c.each(ctx, partition, "record", func(ctx context.Context, a rpc.AgentClient) error {
		reply, err := a.RecordOutcome(ctx, req)
		if err != nil {
			return err
		}
		return rpc.DecodeError(reply.Error)
	})
}

// Lookup returns what is known of a key.
func (c *Client) Lookup(ctx context.Context, partition uint32, key claims.Hash) (reply *rpc.LookupOutcomeReply, err error) {
	req := &rpc.LookupOutcomeRequest{Partition: partition, KeyHash: key[:]}
	err = c.each(ctx, partition, "lookup", func(ctx context.Context, a rpc.AgentClient) (err error) {
		reply, err = a.LookupOutcome(ctx, req)
		return err
	})
	return reply, err
}

// Observe checks a version against the floor of the resource.
func (c *Client) Observe(ctx context.Context, partition uint32, resource claims.Hash, version uint64) (reply *rpc.ObserveVersionReply, err error) {
	req := &rpc.ObserveVersionRequest{Partition: partition, ResourceHash: resource[:], Version: version}
	err = c.each(ctx, partition, "observe", func(ctx context.Context, a rpc.AgentClient) (err error) {
		if reply, err = a.ObserveVersion(ctx, req); err != nil {
			return err
		}
		return rpc.DecodeError(reply.Error)
	})
	return reply, err
}
