package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// Following the cache stores. A call that waits at the store is not priced.
const (
	storeWait    = 250 * time.Millisecond // at the store, for an event; a shorter wait is priced
	storePause   = 150 * time.Millisecond // between calls, so that events come in groups
	storeCallers = 6                      // entries that wait at a store at the same time, on average; it takes some more
	storeSlack   = 500 * time.Millisecond // beyond the wait
	storeRetry   = 300 * time.Millisecond // after a failed call
	keepPause    = 500 * time.Millisecond
	relistPause  = 10 * time.Second // the keeper lists a store to find parts that broke off
	waitError    = 0.5              // share by which the rest of a wait is underestimated now and then
	waitErrorMs  = 60.0
	freeTimeout  = 600 * time.Millisecond
	freeValidity = time.Second // on the store's clock: a call that comes later frees nothing
)

// fetchableStores returns the stores when fetching is allowed: newer weights than
// those known may have been named since the configuration was read.
func (s *state) fetchableStores(now time.Duration) []*forward.StoreView {
	if age, known := s.fresh.Age(now); !known || age > staleConfig {
		return nil
	}
	return s.stores
}

// fetchUntil is the end of a fetch on the clock of the stores, the earliest of them.
func (s *state) fetchUntil(plan forward.StorePlan, now time.Duration) int64 {
	until := int64(0)
	for _, f := range plan.Fetch {
		if f.Store == nil {
			continue
		}
		if ms := int64(f.Store.ClockMs(now + forward.FetchWindow)); until == 0 || ms < until {
			until = ms
		}
	}
	return until
}

// addresses lists where each part of a prompt is fetched from and saved to. An
// engine that takes no list gets the source that saves the longest reading.
func addresses(plan forward.StorePlan, parts []forward.Part, list bool) (fetch, save []string) {
	if !list {
		longest := 0
		for i, f := range plan.Fetch {
			if f.Address != "" && parts[i].Tokens > longest {
				longest, fetch = parts[i].Tokens, []string{f.Address}
			}
		}
		return fetch, nil
	}
	return partAddresses(plan, len(parts))
}

func partAddresses(plan forward.StorePlan, parts int) (fetch, save []string) {
	fetch, save = make([]string, parts), make([]string, parts)
	for i, f := range plan.Fetch {
		fetch[i] = f.Address
	}
	for i, v := range plan.Save {
		if v != nil {
			save[i] = v.Address
		}
	}
	return fetch, save
}

// observeFetch takes the time to the first event of a request that fetched parts.
func (s *state) observeFetch(p *placement, now time.Duration) {
	c := p.choice
	if c.FetchedTokens == 0 {
		return
	}
	for _, f := range c.Plan.Fetch {
		if f.Store != nil && f.Ms >= c.FetchMs/2 { // the fetch that the request waited for
			others := float64(c.ExpectedWait)/float64(time.Millisecond) - c.FetchMs
			took := float64(now-p.began)/float64(time.Millisecond) - (1+waitError)*others - waitErrorMs
			f.Store.ObserveFetch(c.FetchedTokens, max(took, f.Ms/3), now)
		}
	}
}

// followStores keeps a follower for each managed store of the configuration.
func (g *Gateway) followStores(ctx context.Context) {
	followers := map[string]context.CancelFunc{}
	for wait.For(ctx, storePause) {
		s := g.state
		s.mu.Lock()
		views := map[string]*forward.StoreView{}
		for _, v := range s.stores {
			views[v.Name+"@"+v.Address] = v
		}
		if s.table != nil {
			s.stores = s.stores[:0:0]
			for _, sv := range s.table.Config.Services {
				if sv.StoreAddress == "" || !sv.NoAutoEviction {
					continue
				}
				key := sv.Name + "@" + sv.StoreAddress
				v := views[key]
				if v == nil {
					v = forward.NewStoreView(sv)
				}
				s.stores = append(s.stores, v)
				delete(views, key)
				if followers[key] == nil {
					c, cancel := context.WithCancel(ctx)
					followers[key] = cancel
					go g.followStore(c, v)
				}
			}
			forward.SortStores(s.stores)
			for key := range views { // no longer in the configuration
				followers[key]()
				delete(followers, key)
			}
		}
		s.mu.Unlock()
	}
	for _, cancel := range followers {
		cancel()
	}
}

func (g *Gateway) followStore(ctx context.Context, v *forward.StoreView) {
	failed := false
	for ctx.Err() == nil {
		err := g.readStore(ctx, v)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failed {
				log.Info().Str("event", "store_regained").Str("store", v.Name).Msg("the cache store answers again")
			}
			failed = false
			wait.For(ctx, g.storePause())
			continue
		}
		if !failed {
			log.Warn().Str("event", "store_lost").Str("store", v.Name).Err(err).Msg("nothing is fetched from it or saved to it")
		}
		failed = true
		wait.For(ctx, storeRetry)
	}
}

// storePause is the time between two calls, longer with more entries.
func (g *Gateway) storePause() time.Duration {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(storePause, storeWait*time.Duration(len(s.peers.members))/storeCallers-storeWait)
}

func (g *Gateway) readStore(ctx context.Context, v *forward.StoreView) error {
	s := g.state
	s.mu.Lock()
	since, known := v.Cursor()
	s.mu.Unlock()
	if !known {
		return g.listStore(ctx, v)
	}
	ctx, cancel := context.WithTimeout(ctx, storeWait+storeSlack)
	defer cancel()
	started := g.clock()
	e, err := g.stores.Events(ctx, v.Address, since, storeWait)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if list, restarted := v.ApplyEvents(e, started, g.clock()); restarted {
		log.Warn().Str("event", "store_restarted").Str("store", v.Name).Int64("epoch", e.Epoch).Msg("all parts are gone; saved again after a pause")
	} else if list {
		log.Info().Str("event", "store_gap").Str("store", v.Name).Msg("events are missing; the store is listed")
	}
	return nil
}

func (g *Gateway) listStore(ctx context.Context, v *forward.StoreView) error {
	ctx, cancel := context.WithTimeout(ctx, storeWait+storeSlack)
	defer cancel()
	started := g.clock()
	l, err := g.stores.List(ctx, v.Address)
	if err != nil {
		return err
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	v.ApplyList(l, started, g.clock())
	log.Info().Str("event", "store_listed").Str("store", v.Name).Int64("epoch", l.Epoch).Int("parts", len(l.Held)).Int("partial", len(l.Partial)).Int("used_tokens", v.UsedTokens()).Msg("parts that can be fetched")
	return nil
}

// keepStores frees parts that nobody reads any more in the stores that this process
// owns.
func (g *Gateway) keepStores(ctx context.Context) {
	listed := map[string]time.Duration{}
	for wait.For(ctx, keepPause) {
		s := g.state
		s.mu.Lock()
		now := s.clock()
		var owned []*forward.StoreView
		for _, v := range s.stores {
			if _, known := v.Cursor(); known && !g.draining.Load() && g.ownership.Owns(v.Address, now) {
				owned = append(owned, v)
			}
		}
		s.mu.Unlock()
		for _, v := range owned {
			if now-listed[v.Name] > relistPause {
				listed[v.Name] = now
				if err := g.listStore(ctx, v); err != nil {
					log.Warn().Str("event", "store_unlisted").Str("store", v.Name).Err(err).Msg("listed again later")
				}
			}
			g.freeParts(ctx, v)
		}
	}
}

func (g *Gateway) freeParts(ctx context.Context, v *forward.StoreView) {
	s := g.state
	s.mu.Lock()
	now := s.clock()
	parts := v.RetiredParts(func(model string, version int64) bool { return s.rollout.Freeable(model, version, now) })
	parts = append(parts, v.AbandonedParts(now)...)
	epoch, until := v.Epoch(), int64(v.ClockMs(now+freeValidity))
	s.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freeTimeout)
	defer cancel()
	err := g.stores.Free(ctx, v.Address, parts, epoch, until)
	log.Info().Str("event", "parts_freed").Str("store", v.Name).Int("parts", len(parts)).Err(err).Msg("of retired weights or broken off")
}
