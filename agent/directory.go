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

// DirectoryOptions sets up an agent's part in the context directory.
type DirectoryOptions struct {
	ID      string
	Region  string
	Members node.Members
	Pool    *dial.Pool
	Shard   directory.Options
	Now     func() time.Time
}

const (
	announceInterval  = 500 * time.Millisecond
	announceTimeout   = time.Second
	maxBatch          = 64     // updates of one call
	maxReannounce     = 10     // contexts for each interval, 2 KB/s at about 100 bytes each
	maxOwnContexts    = 20_000 // remembered for new owners
	maxPending        = 4096
	maxUpdatesPerPut  = 1024 // accepted from another agent in one call
	expirePerInterval = 256
	contextKeyBytes   = len(prefix.Hash{})
	maxNameBytes      = 256 // of endpoint, store and version together
)

// Directory is one agent's part in the context directory: the shard that it owns,
// and the announcements of the contexts that it ran.
type Directory struct {
	o DirectoryOptions

	mu      sync.Mutex
	shard   *directory.Shard
	own     *directory.Shard            // contexts that ran here
	ownKeys []prefix.Hash               // in the order of their first run
	byTip   map[prefix.Hash]prefix.Hash // own contexts by their last piece
	pending map[prefix.Hash][]*rpc.DirectoryUpdate
	owners  []string // as of the last re-announcement
	moving  []prefix.Hash
}

// NewDirectory returns a directory that knows no context. Its announcements need Run.
func NewDirectory(o DirectoryOptions) *Directory {
	if o.Now == nil {
		o.Now = time.Now
	}
	own := o.Shard
	own.Capacity = maxOwnContexts
	return &Directory{
		o: o, shard: directory.NewShard(o.Shard, o.Now()), own: directory.NewShard(own, o.Now()),
		pending: map[prefix.Hash][]*rpc.DirectoryUpdate{}, byTip: map[prefix.Hash]prefix.Hash{},
	}
}

// Owners returns the agents of the region that may own contexts, sorted by ID.
func Owners(ms node.Members, region string) []string {
	var ids []string
	for _, m := range ms.All() {
		if m.Role == node.RoleAgent && m.Region == region && m.State != node.Leaving && m.State != node.Gone {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Announce queues an update of a context that ran here.
func (d *Directory) Announce(key prefix.Hash, l *rpc.ContextLocation) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Now()
	before := d.own.Get(key, now)
	for _, b := range before {
		delete(d.byTip, b.ChainTip)
	}
	if before == nil {
		d.ownKeys = append(d.ownKeys, key)
		if len(d.ownKeys) > maxOwnContexts {
			d.ownKeys = slices.Delete(d.ownKeys, 0, len(d.ownKeys)-maxOwnContexts)
		}
	}
	d.own.Put(key, fromWire(l), now)
	if len(d.byTip) >= maxOwnContexts {
		clear(d.byTip) // evictions go unnoticed until the contexts run again
	}
	d.byTip[fromWire(l).ChainTip] = key
	d.queue(&rpc.DirectoryUpdate{ContextKey: key[:], Location: l})
}

// Evicted queues the removal of contexts whose last piece an engine no longer
// holds. An engine evicts the last piece of a context after the others.
func (d *Directory) Evicted(endpoint string, pieces []prefix.Hash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, tip := range pieces {
		if key, ok := d.byTip[tip]; ok {
			d.own.Remove(key, endpoint, "")
			d.queue(&rpc.DirectoryUpdate{ContextKey: key[:], Location: &rpc.ContextLocation{Endpoint: endpoint}, Removed: true})
		}
	}
}

func (d *Directory) queue(u *rpc.DirectoryUpdate) {
	key := prefix.Hash(u.ContextKey)
	if len(d.pending) < maxPending || d.pending[key] != nil {
		d.pending[key] = append(d.pending[key], u)
	}
}

// Run announces until ctx ends.
func (d *Directory) Run(ctx context.Context) {
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

// flush sends the queued updates, and some of the contexts whose owner changed.
func (d *Directory) flush(ctx context.Context) {
	for owner, updates := range d.collect() {
		for batch := range slices.Chunk(updates, maxBatch) {
			if err := d.send(ctx, owner, batch); err != nil {
				log.Debug().Str("owner", owner).Int("updates", len(batch)).Err(err).Msg("announcement lost; the entry stays without a hint until the next run")
				break
			}
		}
	}
}

// collect empties the queue and returns its updates by owner.
func (d *Directory) collect() map[string][]*rpc.DirectoryUpdate {
	ids := Owners(d.o.Members, d.o.Region)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Now()
	d.shard.Expire(now, expirePerInterval)
	d.noteOwners(ids, now)
	out := map[string][]*rpc.DirectoryUpdate{}
	add := func(key prefix.Hash, us ...*rpc.DirectoryUpdate) {
		if o := owner(key, ids); o != "" {
			out[o] = append(out[o], us...)
		}
	}
	for key, us := range d.pending {
		add(key, us...)
	}
	clear(d.pending)
	n := min(maxReannounce, len(d.moving))
	for _, key := range d.moving[:n] {
		for _, l := range d.own.Get(key, now) {
			add(key, &rpc.DirectoryUpdate{ContextKey: key[:], Location: toWire(l)})
		}
	}
	d.moving = d.moving[n:]
	return out
}

// noteOwners lists the own contexts whose owner is another than before.
func (d *Directory) noteOwners(ids []string, now time.Time) {
	if slices.Equal(ids, d.owners) {
		return
	}
	d.moving = nil
	d.ownKeys = slices.DeleteFunc(d.ownKeys, func(k prefix.Hash) bool { return d.own.Get(k, now) == nil })
	for _, k := range d.ownKeys {
		if owner(k, ids) != owner(k, d.owners) {
			d.moving = append(d.moving, k)
		}
	}
	d.owners = ids
}

func owner(key prefix.Hash, ids []string) string {
	return rendezvous.Owner(rendezvous.Key(key[:]), ids)
}

func (d *Directory) send(ctx context.Context, owner string, updates []*rpc.DirectoryUpdate) error {
	if owner == d.o.ID {
		d.put(updates)
		return nil
	}
	m, _ := d.o.Members.Get(owner)
	conn, err := d.o.Pool.Get(m.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	_, err = rpc.NewAgentClient(conn).DirectoryPut(ctx, &rpc.DirectoryPutRequest{Updates: updates})
	return err
}

// put applies updates to the own shard, whether or not this agent is the owner in
// its own view: views differ for a while, and entries are hints.
func (d *Directory) put(updates []*rpc.DirectoryUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.o.Now()
	for _, u := range updates {
		if len(u.ContextKey) != contextKeyBytes || u.Location == nil || len(u.Location.Endpoint)+len(u.Location.Store)+len(u.Location.WeightVersion) > maxNameBytes {
			continue
		}
		key := prefix.Hash(u.ContextKey)
		if u.Removed {
			d.shard.Remove(key, u.Location.Endpoint, u.Location.Store)
			continue
		}
		d.shard.Put(key, fromWire(u.Location), now)
	}
}

func (d *Directory) get(key prefix.Hash) []*rpc.ContextLocation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*rpc.ContextLocation
	for _, l := range d.shard.Get(key, d.o.Now()) {
		out = append(out, toWire(l))
	}
	return out
}

func fromWire(l *rpc.ContextLocation) directory.Location {
	out := directory.Location{
		Endpoint: l.Endpoint, EngineTokens: l.EngineTokens, Store: l.Store, StoreTokens: l.StoreTokens,
		WeightVersion: l.WeightVersion, UpdatedAt: time.UnixMilli(l.UpdatedMs),
	}
	copy(out.ChainTip[:], l.ChainTip)
	return out
}

func toWire(l directory.Location) *rpc.ContextLocation {
	return &rpc.ContextLocation{
		Endpoint: l.Endpoint, EngineTokens: l.EngineTokens, Store: l.Store, StoreTokens: l.StoreTokens,
		WeightVersion: l.WeightVersion, UpdatedMs: l.UpdatedAt.UnixMilli(), ChainTip: l.ChainTip[:],
	}
}

// DirectoryGet implements rpc.AgentServer.
func (a *Agent) DirectoryGet(_ context.Context, req *rpc.DirectoryGetRequest) (*rpc.DirectoryGetReply, error) {
	if a.o.Directory == nil || len(req.ContextKey) != contextKeyBytes {
		return nil, status.Error(codes.InvalidArgument, "context_key must have 16 bytes, and the agent a directory")
	}
	return &rpc.DirectoryGetReply{Locations: a.o.Directory.get(prefix.Hash(req.ContextKey))}, nil
}

// DirectoryPut implements rpc.AgentServer.
func (a *Agent) DirectoryPut(_ context.Context, req *rpc.DirectoryPutRequest) (*rpc.DirectoryPutReply, error) {
	if a.o.Directory == nil || len(req.Updates) > maxUpdatesPerPut {
		return nil, status.Errorf(codes.InvalidArgument, "at most %d updates, and only to an agent with a directory", maxUpdatesPerPut)
	}
	a.o.Directory.put(req.Updates)
	return &rpc.DirectoryPutReply{}, nil
}
