package agent

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/placement"
)

const (
	prefetchInterval = time.Second
	prefetchTimeout  = 10 * time.Second // of all that is due at one time
	maxPlanned       = 1024             // contexts; the one planned first makes way
	// prefetchLead is the share of the expected time to return after which a context
	// is fetched, if its engine has evicted it by then.
	prefetchLead = 0.9
)

// planned is a context that may be fetched before it returns.
type planned struct {
	due time.Time
	p   *promptCache
	ret placement.ReturnEstimate
}

// plan notes the context's expected return in place of an earlier one. The caller
// holds the lock.
func (c *Cache) plan(p *promptCache, now time.Time) {
	c.planned = slices.DeleteFunc(c.planned, func(x planned) bool { return x.p.context == p.context })
	ret := c.returns.Estimate(p.customer)
	c.planned = append(c.planned, planned{now.Add(time.Duration(prefetchLead * float64(ret.TimeToReturn))), p, ret})
	if len(c.planned) > maxPlanned {
		c.planned = slices.Delete(c.planned, 0, len(c.planned)-maxPlanned)
	}
}

// prefetch fetches the contexts that are due, as the placement policy says.
func (c *Cache) prefetch(ctx context.Context) {
	now := c.o.Now()
	var due []planned
	c.mu.Lock()
	c.planned = slices.DeleteFunc(c.planned, func(x planned) bool {
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
		if err := c.prefetchOne(ctx, x); err != nil {
			log.Debug().Str("customer", x.p.customer).Str("store", x.p.store).Err(err).Msg("prefetch ended early")
		}
	}
}

func (c *Cache) prefetchOne(ctx context.Context, x planned) error {
	st, err := c.o.Engine.EngineState(ctx, x.p.address)
	if err != nil || st.Loading || st.WeightVersion != x.p.id.WeightVersion {
		return err
	}
	v := c.view(x.p.address)
	if _, err := v.refresh(ctx, c.o.Engine, x.p.address); err != nil {
		return err
	}
	missing := v.missing(x.p.chain)
	if len(missing) == 0 {
		return nil
	}
	l := c.link(x.p)
	cand := &placement.Candidate{Bytes: int64(len(missing)) * x.p.pieceKV, PrefillTime: x.p.recompute(len(missing)), Return: x.ret, Link: l.state()}
	fetch := c.policy(x.p.doc).Prefetch(cand)
	log.Info().Str("decision", "prefetch").Str("customer", x.p.customer).Str("endpoint", x.p.endpoint).Str("store", x.p.store).
		Int("pieces", len(missing)).Any("inputs", cand).Bool("fetch", fetch).Msg("placement")
	if !fetch {
		return nil
	}
	for _, i := range missing {
		if err := l.waitIdle(ctx); err != nil {
			return err
		}
		if err := c.importOne(ctx, x.p, x.p.piece(i), x.p.recompute(1)); err != nil {
			return err
		}
	}
	return nil
}
