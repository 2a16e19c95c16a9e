package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/galenaweir/galenaweir/core/directory"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/core/rendezvous"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// DirectoryOptions configures an agent's share of the context directory.
type DirectoryOptions struct {
	ID      string
	Region  string
	Members node.Members
	Pool    *dial.Pool
	Shard   directory.Options
	Now     func() time.Time
}

const (
	announceInterval       = 500 * time.Millisecond
	announceTimeout        = time.Second
	maxBatchUpdates        = 64     // updates sent in one call
	maxReannouncedContexts = 10     // contexts per interval; 2 KB/s at about 100 bytes each
	maxLocalContexts       = 20_000 // kept to re-announce them when their owners change
	maxPendingContexts     = 4096   // contexts with queued updates
	maxUpdatesPerPut       = 1024   // accepted from another agent in one call
	maxExpiredPerInterval  = 256    // entries of the shard
	contextKeyBytes        = len(prefix.Hash{})
	maxNameBytes           = 256 // total length of an update's endpoint, store and weight version
)

// ContextDirectory is one agent's share of the context directory: the shard that it
// owns, and the contexts that ran on its endpoints, which it announces to their owners.
type ContextDirectory struct {
	opts DirectoryOptions

	mu            sync.Mutex
	shard         *directory.Shard
	localContexts *directory.Shard            // contexts that ran on this agent's endpoints
	localKeys     []prefix.Hash               // keys of localContexts, in the order of their first run
	localKeyByTip map[prefix.Hash]prefix.Hash // keys of localContexts by the chain hash of the last piece
	pending       map[prefix.Hash][]*rpc.DirectoryUpdate
	lastOwners    []string      // owners at the last flush
	movedContexts []prefix.Hash // contexts to announce to their new owners
}

// NewContextDirectory returns an empty directory. It sends announcements only while Run
// runs.
func NewContextDirectory(o DirectoryOptions) *ContextDirectory {
	if o.Now == nil {
		o.Now = time.Now
	}
	localOptions := o.Shard
	localOptions.Capacity = maxLocalContexts
	return &ContextDirectory{
		opts: o, shard: directory.NewShard(o.Shard, o.Now()), localContexts: directory.NewShard(localOptions, o.Now()),
		pending: map[prefix.Hash][]*rpc.DirectoryUpdate{}, localKeyByTip: map[prefix.Hash]prefix.Hash{},
	}
}

// DirectoryOwners returns the IDs of the region's agents that can own contexts, in
// sorted order.
func DirectoryOwners(ms node.Members, region string) []string {
	var ids []string
	for _, m := range ms.All() {
		if m.Role == node.RoleAgent && m.Region == region && m.State != node.Leaving && m.State != node.Gone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Announce queues the location of a context that ran on this agent's endpoints.
func (d *ContextDirectory) Announce(key prefix.Hash, l *rpc.ContextLocation) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	oldLocations := d.localContexts.Get(key, now)
	for _, b := range oldLocations {
		delete(d.localKeyByTip, b.ChainTip)
	}
	if oldLocations == nil {
		d.localKeys = append(d.localKeys, key)
		if len(d.localKeys) > maxLocalContexts {
			d.localKeys = slices.Delete(d.localKeys, 0, len(d.localKeys)-maxLocalContexts)
		}
	}
	d.localContexts.Put(key, locationFromProto(l), now)
	if len(d.localKeyByTip) >= maxLocalContexts {
		clear(d.localKeyByTip) // evictions of these contexts are missed until they run again
	}
	d.localKeyByTip[locationFromProto(l).ChainTip] = key
	d.queueUpdate(&rpc.DirectoryUpdate{ContextKey: key[:], Location: l})
}

// AnnounceEvictions queues the removal of contexts whose last piece the endpoint's
// engine has evicted. An engine evicts the last piece of a context after the others.
func (d *ContextDirectory) AnnounceEvictions(endpoint string, pieces []prefix.Hash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, tip := range pieces {
		if key, ok := d.localKeyByTip[tip]; ok {
			d.localContexts.Remove(key, endpoint, "")
			d.queueUpdate(&rpc.DirectoryUpdate{ContextKey: key[:], Location: &rpc.ContextLocation{Endpoint: endpoint}, Removed: true})
		}
	}
}

// queueUpdate queues an update unless maxPendingContexts contexts have queued updates
// already. The caller holds the lock.
func (d *ContextDirectory) queueUpdate(u *rpc.DirectoryUpdate) {
	key := prefix.Hash(u.ContextKey)
	if len(d.pending) < maxPendingContexts || d.pending[key] != nil {
		d.pending[key] = append(d.pending[key], u)
	}
}

// Run sends the queued updates at each interval until ctx ends.
func (d *ContextDirectory) Run(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// flush sends the queued updates and a limited number of contexts whose owner changed.
func (d *ContextDirectory) flush(ctx context.Context) {
	for owner, updates := range d.takeUpdates() {
		for batch := range slices.Chunk(updates, maxBatchUpdates) {
			if err := d.sendUpdates(ctx, owner, batch); err != nil {
				log.Debug().Str("owner", owner).Int("updates", len(batch)).Err(err).Msg("context updates lost; the directory lacks these contexts until they run again")
				break
			}
		}
	}
}

// takeUpdates empties the queue and returns the updates to send, by owner.
func (d *ContextDirectory) takeUpdates() map[string][]*rpc.DirectoryUpdate {
	ids := DirectoryOwners(d.opts.Members, d.opts.Region)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	d.shard.Expire(now, maxExpiredPerInterval)
	d.trackOwners(ids, now)
	out := map[string][]*rpc.DirectoryUpdate{}
	add := func(key prefix.Hash, updates ...*rpc.DirectoryUpdate) {
		if o := contextOwner(key, ids); o != "" {
			out[o] = append(out[o], updates...)
		}
	}
	for key, updates := range d.pending {
		add(key, updates...)
	}
	clear(d.pending)
	n := min(maxReannouncedContexts, len(d.movedContexts))
	for _, key := range d.movedContexts[:n] {
		for _, l := range d.localContexts.Get(key, now) {
			add(key, &rpc.DirectoryUpdate{ContextKey: key[:], Location: locationToProto(l)})
		}
	}
	d.movedContexts = d.movedContexts[n:]
	return out
}

// trackOwners schedules the contexts whose owner has changed for re-announcement. The
// caller holds the lock.
func (d *ContextDirectory) trackOwners(ids []string, now time.Time) {
	if slices.Equal(ids, d.lastOwners) {
		return
	}
	d.movedContexts = nil
	d.localKeys = slices.DeleteFunc(d.localKeys, func(k prefix.Hash) bool { return d.localContexts.Get(k, now) == nil })
	for _, k := range d.localKeys {
		if contextOwner(k, ids) != contextOwner(k, d.lastOwners) {
			d.movedContexts = append(d.movedContexts, k)
		}
	}
	d.lastOwners = ids
}

// contextOwner returns the ID of the agent that owns the context.
func contextOwner(key prefix.Hash, ids []string) string {
	return rendezvous.Owner(rendezvous.Key(key[:]), ids)
}

func (d *ContextDirectory) sendUpdates(ctx context.Context, owner string, updates []*rpc.DirectoryUpdate) error {
	if owner == d.opts.ID {
		d.applyUpdates(updates)
		return nil
	}
	m, _ := d.opts.Members.Get(owner)
	conn, err := d.opts.Pool.Get(m.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err = rpc.NewAgentClient(conn).DirectoryPut(ctx, &rpc.DirectoryPutRequest{Updates: updates})
	return err
}

// applyUpdates applies updates to this agent's shard. It doesn't check that this agent
// owns the contexts: members' views can differ for a while, and directory entries are
// only hints. It ignores malformed updates.
func (d *ContextDirectory) applyUpdates(updates []*rpc.DirectoryUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	for _, u := range updates {
		if len(u.ContextKey) != contextKeyBytes || u.Location == nil || len(u.Location.Endpoint)+len(u.Location.Store)+len(u.Location.WeightVersion) > maxNameBytes {
			continue
		}
		key := prefix.Hash(u.ContextKey)
		if u.Removed {
			d.shard.Remove(key, u.Location.Endpoint, u.Location.Store)
			continue
		}
		d.shard.Put(key, locationFromProto(u.Location), now)
	}
}

// locations returns the locations of a context in this agent's shard.
func (d *ContextDirectory) locations(key prefix.Hash) []*rpc.ContextLocation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*rpc.ContextLocation
	for _, l := range d.shard.Get(key, d.opts.Now()) {
		out = append(out, locationToProto(l))
	}
	return out
}

func locationFromProto(l *rpc.ContextLocation) directory.Location {
	out := directory.Location{
		Endpoint: l.Endpoint, EngineTokens: l.EngineTokens, Store: l.Store, StoreTokens: l.StoreTokens,
		WeightVersion: l.WeightVersion, UpdatedAt: time.UnixMilli(l.UpdatedMs),
	}
	copy(out.ChainTip[:], l.ChainTip)
	return out
}

func locationToProto(l directory.Location) *rpc.ContextLocation {
	return &rpc.ContextLocation{
		Endpoint: l.Endpoint, EngineTokens: l.EngineTokens, Store: l.Store, StoreTokens: l.StoreTokens,
		WeightVersion: l.WeightVersion, UpdatedMs: l.UpdatedAt.UnixMilli(), ChainTip: l.ChainTip[:],
	}
}

// DirectoryGet implements rpc.AgentServer.
func (a *Agent) DirectoryGet(_ context.Context, req *rpc.DirectoryGetRequest) (*rpc.DirectoryGetReply, error) {
	if a.opts.Directory == nil || len(req.ContextKey) != contextKeyBytes {
		return nil, status.Error(codes.InvalidArgument, "context_key must have 16 bytes, and the agent a directory")
	}
	return &rpc.DirectoryGetReply{Locations: a.opts.Directory.locations(prefix.Hash(req.ContextKey))}, nil
}

// DirectoryPut implements rpc.AgentServer.
func (a *Agent) DirectoryPut(_ context.Context, req *rpc.DirectoryPutRequest) (*rpc.DirectoryPutReply, error) {
	if a.opts.Directory == nil || len(req.Updates) > maxUpdatesPerPut {
		return nil, status.Errorf(codes.InvalidArgument, "at most %d updates, and only to an agent with a directory", maxUpdatesPerPut)
	}
	a.opts.Directory.applyUpdates(req.Updates)
	return &rpc.DirectoryPutReply{}, nil
}
