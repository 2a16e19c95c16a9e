package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/core/placement"
	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/protocol"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/storeclient"
	"github.com/galenaweir/galenaweir/wait"
)

const (
	exportTimeout   = 30 * time.Second // of one context
	backgroundShare = 0.5              // of the time that exports may keep a link busy
	maxStoredKnown  = 1 << 14          // blocks remembered as droppable
)

// storedBlock is a block that this agent exported.
type storedBlock struct {
	placement.StoredBlock
	store   string
	address string
	slot    storeclient.Slot
	at      time.Time
}

// Export queues the prompt's pieces for export after an attempt that ended well.
func (c *Cache) Export(doc *config.Document, req *rpc.GenerateRequest, salt, version string) {
	if c == nil || version == "" {
		return
	}
	p := c.describe(doc, req, salt, version)
	c.announce(p, &rpc.ContextLocation{Endpoint: p.endpoint, EngineTokens: uint32(len(p.chain) * prefix.PieceTokens)})
	c.mu.Lock()
	now := c.o.Now()
	c.returns.RecordEnd(p.customer, p.context, now)
	if len(p.chain) > 0 && len(doc.Stores) > 0 {
		c.plan(p, now)
	}
	c.mu.Unlock()
	if len(p.chain) == 0 || len(doc.Stores) == 0 {
		return
	}
	select {
	case c.exports <- p:
	default:
		c.Stats.ExportsDropped.Add(1)
	}
}

// Run exports and prefetches until ctx ends.
func (c *Cache) Run(ctx context.Context) {
	t := time.NewTicker(prefetchInterval)
	defer t.Stop()
	for {
		select {
		case p := <-c.exports:
			c.exportOne(ctx, p)
		case <-t.C:
			c.prefetch(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cache) exportOne(ctx context.Context, p *promptCache) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	pieces, err := c.absent(ctx, p)
	if err != nil || len(pieces) == 0 {
		log.Debug().Str("request", p.request).Str("store", p.store).Err(err).Msg("nothing to export")
		return
	}
	cand, err := c.candidate(ctx, p, len(pieces))
	if err != nil {
		log.Info().Str("request", p.request).Str("store", p.store).Err(err).Msg("store gives no usage; nothing is exported")
		return
	}
	policy := c.policy(p.doc)
	d := policy.Export(cand)
	log.Info().Str("decision", "export").Str("request", p.request).Str("customer", p.customer).Str("store", p.store).
		Int("pieces", len(pieces)).Any("inputs", cand).Any("outcome", d).Msg("placement")
	if !d.Export {
		return
	}
	for _, i := range pieces {
		if err := c.exportPiece(ctx, policy, p, p.piece(i), d, cand); err != nil {
			log.Info().Str("request", p.request).Str("store", p.store).Err(err).Msg("export ended early")
			return
		}
	}
	c.announce(p, &rpc.ContextLocation{Store: p.store, StoreTokens: uint32(len(p.chain) * prefix.PieceTokens)})
}

// announce tells the directory where the prompt's pieces are.
func (c *Cache) announce(p *promptCache, l *rpc.ContextLocation) {
	if c.o.Announce == nil || len(p.chain) == 0 {
		return
	}
	tip := p.chain[len(p.chain)-1]
	l.WeightVersion, l.UpdatedMs, l.ChainTip = p.id.WeightVersion, c.o.Now().UnixMilli(), tip[:]
	c.o.Announce(p.context, l)
}

// absent returns the pieces that the store does not hold.
func (c *Cache) absent(ctx context.Context, p *promptCache) ([]int, error) {
	var out []int
	for i := range p.chain {
		_, err := c.o.Store.Lookup(ctx, p.storeAt, prefix.StoreKey(p.key, p.piece(i)))
		switch {
		case errors.Is(err, storeclient.ErrMiss):
			out = append(out, i)
		case err != nil:
			return nil, err
		}
	}
	return out, nil
}

func (c *Cache) candidate(ctx context.Context, p *promptCache, pieces int) (*placement.Candidate, error) {
	u, err := c.o.Store.Usage(ctx, p.storeAt)
	if err != nil {
		return nil, err
	}
	share := func(used, all int64) float64 {
		if all <= 0 {
			return 1
		}
		return float64(used) / float64(all)
	}
	c.mu.Lock()
	ret := c.returns.Estimate(p.customer)
	c.mu.Unlock()
	return &placement.Candidate{
		Bytes: int64(pieces) * p.pieceKV, PrefillTime: p.recompute(pieces), Return: ret, Link: c.link(p).state(),
		Space: placement.TierUsage{MemoryUse: share(u.MemoryUsed, u.MemoryBytes), DiskUse: share(u.DiskUsed, u.DiskBytes)},
	}, nil
}

// exportPiece copies one piece from the engine to the store when no foreground
// transfer uses the link, then leaves the link alone for a while.
func (c *Cache) exportPiece(ctx context.Context, policy placement.Policy, p *promptCache, id prefix.Identity, d placement.Decision, cand *placement.Candidate) error {
	l := c.link(p)
	if err := l.waitIdle(ctx); err != nil {
		return err
	}
	data, version, err := c.o.Engine.Export(ctx, p.address, id.Chain)
	if err != nil {
		return err
	}
	if version != id.WeightVersion {
		return fmt.Errorf("piece of version %s, engine has %s: %w", id.WeightVersion, version, protocol.ErrWeightVersionMismatch)
	}
	block, err := prefix.Seal(p.key, id, data)
	if err != nil {
		return err
	}
	value := time.Duration(float64(d.Value) * float64(p.pieceKV) / float64(max(1, cand.Bytes)))
	begin := c.o.Now()
	slot, err := c.o.Store.Put(ctx, p.storeAt, prefix.StoreKey(p.key, id), string(d.Tier), block)
	if errors.Is(err, storeclient.ErrFull) && c.makeWay(ctx, policy, p.store, d.Tier, int64(len(block)), value) {
		slot, err = c.o.Store.Put(ctx, p.storeAt, prefix.StoreKey(p.key, id), string(d.Tier), block)
	}
	if err != nil {
		return err
	}
	took := c.o.Now().Sub(begin)
	l.background(int64(len(block)), took)
	c.remember(storedBlock{placement.StoredBlock{Bytes: int64(len(block)), Tier: d.Tier, Value: value, ReturnAge: cand.Return.TimeToReturn}, p.store, p.storeAt, slot, begin})
	c.Stats.Exported.Add(1)
	wait.For(ctx, time.Duration(float64(took)*(1/backgroundShare-1)))
	return nil
}

func (c *Cache) remember(b storedBlock) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = append(c.stored, b)
	if len(c.stored) > maxStoredKnown {
		c.stored = slices.Delete(c.stored, 0, len(c.stored)-maxStoredKnown)
	}
}

// makeWay frees blocks of this agent in the store that the policy gives up for a
// block of the value. It reports whether there is a point in trying again.
func (c *Cache) makeWay(ctx context.Context, policy placement.Policy, store string, t placement.Tier, bytes int64, value time.Duration) bool {
	now := c.o.Now()
	c.mu.Lock()
	var at []int
	var held []placement.StoredBlock
	for i, b := range c.stored {
		if b.store == store {
			b.Age = now.Sub(b.at)
			at, held = append(at, i), append(held, b.StoredBlock)
		}
	}
	var victims []storedBlock
	for _, i := range policy.Evict(held, t, bytes, value) {
		victims = append(victims, c.stored[at[i]])
	}
	c.stored = slices.DeleteFunc(c.stored, func(b storedBlock) bool {
		return slices.ContainsFunc(victims, func(v storedBlock) bool { return v.store == b.store && v.slot.Generation == b.slot.Generation })
	})
	c.mu.Unlock()
	log.Info().Str("decision", "drop").Str("store", store).Str("tier", string(t)).Int64("bytes", bytes).Dur("value", value).
		Int("held", len(held)).Int("dropped", len(victims)).Msg("placement")
	for _, v := range victims {
		if err := c.o.Store.Free(ctx, v.address, v.slot); err != nil && !errors.Is(err, storeclient.ErrBlockChanged) {
			return false
		}
		c.Stats.Freed.Add(1)
	}
	return len(victims) > 0
}
