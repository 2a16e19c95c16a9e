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
	exportTimeout      = 30 * time.Second // of one context
	maxExportLinkShare = 0.5              // maximum share of time that exports may use a link
	maxTrackedBlocks   = 1 << 14          // blocks that this agent can free in the stores
)

// storedBlock is a block that this agent exported.
type storedBlock struct {
	placement.StoredBlock
	store        string
	storeAddress string
	slot         storeclient.Slot
	storedAt     time.Time
}

// Export announces the prompt's context and queues its pieces for export. It is called
// after a successful attempt.
func (c *CacheManager) Export(doc *config.Document, req *rpc.GenerateRequest, salt, version string) {
	if c == nil || version == "" {
		return
	}
	p := c.newPromptPieces(doc, req, salt, version)
	c.announceLocation(p, &rpc.ContextLocation{Endpoint: p.endpoint, EngineTokens: uint32(len(p.chain) * prefix.PieceTokens)})
	c.mu.Lock()
	now := c.opts.Now()
	c.returns.RecordEnd(p.customer, p.contextKey, now)
	if len(p.chain) > 0 && len(doc.Stores) > 0 {
		c.planPrefetch(p, now)
	}
	c.mu.Unlock()
	if len(p.chain) == 0 || len(doc.Stores) == 0 {
		return
	}
	select {
	case c.exportQueue <- p:
	default:
		c.Stats.DroppedExports.Add(1)
	}
}

// Run exports and prefetches until ctx ends.
func (c *CacheManager) Run(ctx context.Context) {
	t := time.NewTicker(prefetchInterval)
	defer t.Stop()
	for {
		select {
		case p := <-c.exportQueue:
			c.exportPrompt(ctx, p)
		case <-t.C:
			c.prefetchDue(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// exportPrompt exports the pieces of one prompt that its store lacks, if the placement
// policy decides so.
func (c *CacheManager) exportPrompt(ctx context.Context, p *promptPieces) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	pieces, err := c.absentPieces(ctx, p)
	if err != nil || len(pieces) == 0 {
		log.Debug().Str("request", p.requestID).Str("store", p.store).Err(err).Msg("nothing to export")
		return
	}
	candidate, err := c.exportCandidate(ctx, p, len(pieces))
	if err != nil {
		log.Info().Str("request", p.requestID).Str("store", p.store).Err(err).Msg("could not read the store's usage; nothing is exported")
		return
	}
	policy := c.placementPolicy(p.doc)
	decision := policy.Export(candidate)
	log.Info().Str("decision", "export").Str("request", p.requestID).Str("customer", p.customer).Str("store", p.store).
		Int("pieces", len(pieces)).Any("inputs", candidate).Any("outcome", decision).Msg("placement")
	if !decision.Export {
		return
	}
	for _, i := range pieces {
		if err := c.exportPiece(ctx, policy, p, p.pieceIdentity(i), decision, candidate); err != nil {
			log.Info().Str("request", p.requestID).Str("store", p.store).Err(err).Msg("export ended early")
			return
		}
	}
	c.announceLocation(p, &rpc.ContextLocation{Store: p.store, StoreTokens: uint32(len(p.chain) * prefix.PieceTokens)})
}

// announceLocation reports the location of the prompt's pieces to the directory.
func (c *CacheManager) announceLocation(p *promptPieces, l *rpc.ContextLocation) {
	if c.opts.OnContextLocation == nil || len(p.chain) == 0 {
		return
	}
	tip := p.chain[len(p.chain)-1]
	l.WeightVersion, l.UpdatedMs, l.ChainTip = p.identity.WeightVersion, c.opts.Now().UnixMilli(), tip[:]
	c.opts.OnContextLocation(p.contextKey, l)
}

// absentPieces returns the indices of the pieces that the store does not hold.
func (c *CacheManager) absentPieces(ctx context.Context, p *promptPieces) ([]int, error) {
	var out []int
	for i := range p.chain {
		_, err := c.opts.Store.Lookup(ctx, p.storeAddress, prefix.StoreKey(p.customerKey, p.pieceIdentity(i)))
		switch {
		case errors.Is(err, storeclient.ErrMiss):
			out = append(out, i)
		case err != nil:
			return nil, err
		}
	}
	return out, nil
}

// exportCandidate returns the placement policy's input for exporting the given number
// of pieces.
func (c *CacheManager) exportCandidate(ctx context.Context, p *promptPieces, pieces int) (*placement.Candidate, error) {
	usage, err := c.opts.Store.Usage(ctx, p.storeAddress)
	if err != nil {
		return nil, err
	}
	share := func(used, all int64) float64 {
		if all <= 0 {
			return 1 // a tier without space counts as full
		}
		return float64(used) / float64(all)
	}
	c.mu.Lock()
	ret := c.returns.Estimate(p.customer)
	c.mu.Unlock()
	return &placement.Candidate{
		Bytes: int64(pieces) * p.pieceBytes, PrefillTime: p.prefillTime(pieces), Return: ret, Link: c.link(p).state(),
		Space: placement.TierUsage{MemoryUse: share(usage.MemoryUsed, usage.MemoryBytes), DiskUse: share(usage.DiskUsed, usage.DiskBytes)},
	}, nil
}

// exportPiece copies one piece from the engine to the store. It first waits until no
// foreground transfer uses the link, and then pauses so that exports stay within
// maxExportLinkShare of the link's time.
func (c *CacheManager) exportPiece(ctx context.Context, policy placement.Policy, p *promptPieces, id prefix.Identity, decision placement.Decision, candidate *placement.Candidate) error {
	l := c.link(p)
	if err := l.waitIdle(ctx); err != nil {
		return err
	}
	data, version, err := c.opts.Engine.Export(ctx, p.engineAddress, id.Chain)
	if err != nil {
		return err
	}
	if version != id.WeightVersion {
		return fmt.Errorf("export piece of weight version %s from an engine with version %s: %w", id.WeightVersion, version, protocol.ErrWeightVersionMismatch)
	}
	block, err := prefix.Seal(p.customerKey, id, data)
	if err != nil {
		return err
	}
	// The decision's value is that of all pieces together; value is this piece's share.
	value := time.Duration(float64(decision.Value) * float64(p.pieceBytes) / float64(max(1, candidate.Bytes)))
	start := c.opts.Now()
	slot, err := c.opts.Store.Put(ctx, p.storeAddress, prefix.StoreKey(p.customerKey, id), string(decision.Tier), block)
	if errors.Is(err, storeclient.ErrFull) && c.freeSpace(ctx, policy, p.store, decision.Tier, int64(len(block)), value) {
		slot, err = c.opts.Store.Put(ctx, p.storeAddress, prefix.StoreKey(p.customerKey, id), string(decision.Tier), block)
	}
	if err != nil {
		return err
	}
	elapsed := c.opts.Now().Sub(start)
	l.recordBackground(int64(len(block)), elapsed)
	c.trackBlock(storedBlock{placement.StoredBlock{Bytes: int64(len(block)), Tier: decision.Tier, Value: value, ReturnAge: candidate.Return.TimeToReturn}, p.store, p.storeAddress, slot, start})
	c.Stats.ExportedPieces.Add(1)
	wait.For(ctx, time.Duration(float64(elapsed)*(1/maxExportLinkShare-1)))
	return nil
}

// trackBlock records an exported block, so that this agent can free it later.
func (c *CacheManager) trackBlock(b storedBlock) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storedBlocks = append(c.storedBlocks, b)
	if len(c.storedBlocks) > maxTrackedBlocks {
		c.storedBlocks = slices.Delete(c.storedBlocks, 0, len(c.storedBlocks)-maxTrackedBlocks)
	}
}

// freeSpace frees blocks that this agent has exported to the store and that the policy
// evicts in favor of a new block of the given size and value. It reports whether the
// new block may fit now: it returns false if there were none or one couldn't be freed.
func (c *CacheManager) freeSpace(ctx context.Context, policy placement.Policy, store string, tier placement.Tier, bytes int64, value time.Duration) bool {
	now := c.opts.Now()
	c.mu.Lock()
	var indices []int
	var held []placement.StoredBlock
	for i, b := range c.storedBlocks {
		if b.store == store {
			b.Age = now.Sub(b.storedAt)
			indices, held = append(indices, i), append(held, b.StoredBlock)
		}
	}
	var victims []storedBlock
	for _, i := range policy.Evict(held, tier, bytes, value) {
		victims = append(victims, c.storedBlocks[indices[i]])
	}
	c.storedBlocks = slices.DeleteFunc(c.storedBlocks, func(b storedBlock) bool {
		return slices.ContainsFunc(victims, func(v storedBlock) bool { return v.store == b.store && v.slot.Generation == b.slot.Generation })
	})
	c.mu.Unlock()
	log.Info().Str("decision", "drop").Str("store", store).Str("tier", string(tier)).Int64("bytes", bytes).Dur("value", value).
		Int("held", len(held)).Int("dropped", len(victims)).Msg("placement")
	for _, v := range victims {
		if err := c.opts.Store.Free(ctx, v.storeAddress, v.slot); err != nil && !errors.Is(err, storeclient.ErrBlockChanged) {
			return false
		}
		c.Stats.FreedBlocks.Add(1)
	}
	return len(victims) > 0
}
