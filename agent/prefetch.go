package agent

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/placement"
)

const (
	prefetchInterval     = time.Second
	prefetchTimeout      = 10 * time.Second // for all contexts that are due in one interval
	maxPlannedPrefetches = 1024             // contexts; the oldest plan is dropped first
	// prefetchAtFraction is the fraction of the expected time to a context's return after
	// which the context is prefetched, if its engine has evicted it by then.
	prefetchAtFraction = 0.9
)

// plannedPrefetch is a context that may be prefetched before its next prompt.
type plannedPrefetch struct {
	due            time.Time
	prompt         *promptPieces
	expectedReturn placement.ReturnEstimate
}

// planPrefetch plans the prefetch of a context for its expected return and replaces an
// earlier plan for the context. The caller holds the lock.
func (c *CacheManager) planPrefetch(p *promptPieces, now time.Time) {
	c.plannedPrefetches = slices.DeleteFunc(c.plannedPrefetches, func(x plannedPrefetch) bool { return x.prompt.contextKey == p.contextKey })
	ret := c.returns.Estimate(p.customer)
	c.plannedPrefetches = append(c.plannedPrefetches, plannedPrefetch{now.Add(time.Duration(prefetchAtFraction * float64(ret.TimeToReturn))), p, ret})
	if len(c.plannedPrefetches) > maxPlannedPrefetches {
		c.plannedPrefetches = slices.Delete(c.plannedPrefetches, 0, len(c.plannedPrefetches)-maxPlannedPrefetches)
	}
}

// prefetchDue prefetches the contexts that are due, if the placement policy decides so.
func (c *CacheManager) prefetchDue(ctx context.Context) {
	now := c.opts.Now()
	var due []plannedPrefetch
	c.mu.Lock()
	c.plannedPrefetches = slices.DeleteFunc(c.plannedPrefetches, func(x plannedPrefetch) bool {
		if x.due.After(now) {
			return false
		}
		due = append(due, x)
		return true
	})
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, prefetchTimeout)
	defer cancel()
	for _, x := range due {
		if err := c.prefetchContext(ctx, x); err != nil {
			log.Debug().Str("customer", x.prompt.customer).Str("store", x.prompt.store).Err(err).Msg("prefetch ended early")
		}
	}
}

// prefetchContext imports the pieces of one context that the engine lacks, if the
// placement policy decides so.
func (c *CacheManager) prefetchContext(ctx context.Context, x plannedPrefetch) error {
	st, err := c.opts.Engine.EngineState(ctx, x.prompt.engineAddress)
	if err != nil || st.Loading || st.WeightVersion != x.prompt.identity.WeightVersion {
		return err
	}
	v := c.engineView(x.prompt.engineAddress)
	if _, err := v.refresh(ctx, c.opts.Engine, x.prompt.engineAddress); err != nil {
		return err
	}
	missing := v.missing(x.prompt.chain)
	if len(missing) == 0 {
		return nil
	}
	l := c.link(x.prompt)
	candidate := &placement.Candidate{Bytes: int64(len(missing)) * x.prompt.pieceBytes, PrefillTime: x.prompt.prefillTime(len(missing)), Return: x.expectedReturn, Link: l.state()}
	doFetch := c.placementPolicy(x.prompt.doc).Prefetch(candidate)
	log.Info().Str("decision", "prefetch").Str("customer", x.prompt.customer).Str("endpoint", x.prompt.endpoint).Str("store", x.prompt.store).
		Int("pieces", len(missing)).Any("inputs", candidate).Bool("fetch", doFetch).Msg("placement")
	if !doFetch {
		return nil
	}
	for _, i := range missing {
		if err := l.waitIdle(ctx); err != nil {
			return err
		}
		if err := c.importPiece(ctx, x.prompt, x.prompt.pieceIdentity(i), x.prompt.prefillTime(1)); err != nil {
			return err
		}
	}
	return nil
}
