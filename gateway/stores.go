package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// Following the cache stores. A long poll of a store is not billed.
const (
	storesLookPause    = 150 * time.Millisecond // pause between two looks for stores in the configuration
	storeTimeoutMargin = 500 * time.Millisecond // added to the wait to get the timeout of a call
	storeRetryPause    = 300 * time.Millisecond // pause after a failed call
	storeStartPause    = 10 * time.Millisecond  // between two looks for the first configuration
	storeSyncLimit     = 200 * time.Millisecond // how long a prompt waits for the stores' state after a start or a suspension
	cleanInterval      = 500 * time.Millisecond
	relistInterval     = 10 * time.Second // between two lists of a store by its owner, to find incomplete parts
	waitErrorShare     = 0.5              // relative error up to which the rest of the wait may be underestimated
	waitErrorMs        = 60.0             // absolute error, in addition to the relative one
	deleteTimeout      = 600 * time.Millisecond
	deleteValidity     = time.Second // validity of a call for parts of retired weights on the store's clock; a call that arrives later deletes nothing
)

// fetchableStores returns the stores, or nil while the configuration is too old to fetch:
// newer weights may have been named since it was read.
func (s *state) fetchableStores(now time.Duration) []*forward.StoreView {
	if age, known := s.freshness.Age(now); !known || age > staleConfigAge {
		return nil
	}
	return s.stores
}

// fetchDeadline returns the deadline of fetches in milliseconds on the stores' clocks: the
// earliest of the stores in the plan, or 0 if there is none.
func (s *state) fetchDeadline(plan forward.StorePlan, now time.Duration) int64 {
	until := int64(0)
	for _, f := range plan.Fetch {
		if f.Store == nil {
			continue
		}
		clockMs, _ := f.Store.ClockMs(now + forward.FetchWindow) // a part is only fetched from a store whose clock is known
		if ms := int64(clockMs); until == 0 || ms < until {
			until = ms
		}
	}
	return until
}

// transferAddresses returns the addresses that each part of a prompt is fetched from and saved to.
// An engine that accepts no list gets only the source of the longest part, and saves no parts.
func transferAddresses(plan forward.StorePlan, parts []forward.Part, acceptsList bool) (fetch, save []string) {
	if !acceptsList {
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

// observeFetch updates the stores' fetch times from the time to the first event of a
// request that fetched parts. It subtracts from that time the expected other waits and the
// error by which those may be underestimated.
func (s *state) observeFetch(p *placement, now time.Duration) {
	c := p.choice
	if c.FetchedTokens == 0 {
		return
	}
	for _, f := range c.Plan.Fetch {
		if f.Store != nil && f.Ms >= c.FetchMs/2 { // at least half of the expected fetch time, so the measured time is attributed to it
			others := float64(c.ExpectedWait)/float64(time.Millisecond) - c.FetchMs
			took := float64(now-p.placedAt)/float64(time.Millisecond) - (1+waitErrorShare)*others - waitErrorMs
			f.Store.ObserveFetch(c.FetchedTokens, max(took, f.Ms/3), now)
		}
	}
}

// followStores runs a follower for each managed store of the configuration until ctx is
// done.
func (g *Gateway) followStores(ctx context.Context) {
	followers := map[string]context.CancelFunc{}
	for pause := storeStartPause; wait.For(ctx, pause); {
		s := g.state
		s.mu.Lock()
		if s.table != nil {
			pause = storesLookPause
		}
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

// followStore reads one store, as often as this process has to, until ctx is done.
func (g *Gateway) followStore(ctx context.Context, v *forward.StoreView) {
	f := &storeFollower{Gateway: g, view: v}
	g.state.mu.Lock()
	g.state.storeFollowers[endpointHash(v.Name)] = f
	g.state.mu.Unlock()
	defer func() {
		g.state.mu.Lock()
		if key := endpointHash(v.Name); g.state.storeFollowers[key] == f { // the store may have got another address
			delete(g.state.storeFollowers, key)
		}
		g.state.mu.Unlock()
	}()
	failed := false
	for ctx.Err() == nil {
		if !f.awaitRead(ctx) {
			return
		}
		err := f.poll(ctx)
		f.recordReadEnd()
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failed {
				log.Info().Str("event", "store_regained").Str("store", v.Name).Msg("cache store is reachable again")
			}
			failed = false
			continue
		}
		if !failed {
			log.Warn().Str("event", "store_lost").Str("store", v.Name).Err(err).Msg("nothing is fetched from it or saved to it unless a peer can read it")
		}
		failed = true
		wait.For(ctx, storeRetryPause)
	}
}

// storeAnswer is an answer of a store with its events, and how long it took.
type storeAnswer struct {
	forward.StoreEvents
	took time.Duration
}

// readEvents reads the events since a position. It discards them if another read has moved
// the position meanwhile: events that are applied twice could bring back a deleted part.
func (g *Gateway) readEvents(ctx context.Context, v *forward.StoreView, since int64, pollWait time.Duration) (storeAnswer, error) {
	started := g.clock()
	e, err := g.storeClient.Events(ctx, v.Address, since, pollWait)
	if err != nil {
		return storeAnswer{}, err
	}
	a := storeAnswer{e, g.clock() - started}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signalStoreRead()
	if current, known := v.Cursor(); !known || current != since {
		return a, nil
	}
	if v.IsCopy(e, started) {
		v.ForgetClock()
		g.storeClient.CloseIdleConnections()
		return storeAnswer{}, fmt.Errorf("the answer states the time %.0f ms, before the call: it is a copy of an earlier one", e.ClockMs)
	}
	if list, restarted := v.ApplyEvents(e, started, g.clock()); restarted {
		log.Warn().Str("event", "store_restarted").Str("store", v.Name).Int64("epoch", e.Epoch).Msg("cache store restarted and lost all parts; saving resumes after a pause")
	} else if list {
		log.Info().Str("event", "store_gap").Str("store", v.Name).Msg("events are missing; listing the cache store")
	}
	return a, nil
}

func (g *Gateway) listStore(ctx context.Context, v *forward.StoreView) error {
	ctx, cancel := context.WithTimeout(ctx, forward.StorePollWait+storeTimeoutMargin)
	defer cancel()
	started := g.clock()
	l, err := g.storeClient.List(ctx, v.Address)
	if err != nil {
		return err
	}
	s := g.state
	s.mu.Lock()
	v.ApplyList(l, started, g.clock())
	s.signalStoreRead()
	_, clockKnown := v.ClockMs(started)
	s.mu.Unlock()
	log.Info().Str("event", "store_listed").Str("store", v.Name).Int64("epoch", l.Epoch).Int("parts", len(l.Held)).Int("partial", len(l.Partial)).Int("used_tokens", v.UsedTokens()).Msg("listed the cache store")
	if clockKnown {
		return nil
	}
	_, err = g.readEvents(ctx, v, l.Next, 0) // events state the store's clock
	return err
}

// signalStoreRead wakes the prompts that wait for the stores' state. The caller holds the
// lock.
func (s *state) signalStoreRead() {
	close(s.storeRead)
	s.storeRead = make(chan struct{})
}

// storesUnread reports whether prompts should wait because, since this process started or
// resumed, the state of a store has not been read. It is false from storeSyncLimit on.
func (s *state) storesUnread(now time.Duration) bool {
	since := max(s.resumedAt, s.firstConfigAt)
	if s.table == nil || now >= since+storeSyncLimit {
		return false
	}
	if len(s.stores) == 0 { // the followers have not been started yet
		return slices.ContainsFunc(s.table.Config.Services, func(sv forward.Service) bool { return sv.StoreAddress != "" && sv.NoAutoEviction })
	}
	return slices.ContainsFunc(s.stores, func(v *forward.StoreView) bool {
		_, clockKnown := v.ClockMs(now)
		return !clockKnown || !v.ReadSince(since)
	})
}

// awaitStores waits for the state of the stores after a start or a suspension: without it, a
// prompt is prefilled although its parts are stored.
func (g *Gateway) awaitStores(ctx context.Context) {
	s := g.state
	limit := time.NewTimer(storeSyncLimit)
	defer limit.Stop()
	for {
		s.mu.Lock()
		unread, changed := s.storesUnread(s.clock()), s.storeRead
		s.mu.Unlock()
		if !unread {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pollAfterResume reads the events of all stores as soon as the process was suspended: the
// polls that were under way may not get an answer.
func (g *Gateway) pollAfterResume(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.state.resumes:
		}
		s := g.state
		s.mu.Lock()
		stores := slices.Clone(s.stores)
		s.mu.Unlock()
		for _, v := range stores {
			go g.pollStoreNow(ctx, v)
		}
	}
}

func (g *Gateway) pollStoreNow(ctx context.Context, v *forward.StoreView) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeoutMargin)
	defer cancel()
	s := g.state
	s.mu.Lock()
	since, known := v.Cursor()
	s.mu.Unlock()
	if !known {
		return
	}
	if _, err := g.readEvents(ctx, v, since, 0); err != nil {
		log.Info().Str("event", "store_unread").Str("store", v.Name).Err(err).Msg("cannot read the store's events after a suspension; the next poll follows")
	}
}

// cleanStores deletes abandoned parts and parts of retired weights from the stores that
// this process owns, until ctx is done. It lists each store at intervals to find abandoned
// ones.
func (g *Gateway) cleanStores(ctx context.Context) {
	listed := map[string]time.Duration{}
	for wait.For(ctx, cleanInterval) {
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
			lists := now-listed[v.Name] > relistInterval
			if lists {
				listed[v.Name] = now
			}
			g.cleanStore(ctx, v, lists)
		}
	}
}

// cleanStore deletes parts of retired weights from a store and, if it also lists the store,
// abandoned parts.
func (g *Gateway) cleanStore(ctx context.Context, v *forward.StoreView, lists bool) {
	if lists {
		if err := g.listStore(ctx, v); err != nil {
			log.Warn().Str("event", "store_unlisted").Str("store", v.Name).Err(err).Msg("cannot list the cache store; retrying later")
		} else {
			g.deleteAbandoned(ctx, v)
		}
	}
	g.deleteRetired(ctx, v)
}

// deleteAbandoned deletes the parts that the list which was just read shows as abandoned.
func (g *Gateway) deleteAbandoned(ctx context.Context, v *forward.StoreView) {
	s := g.state
	s.mu.Lock()
	parts, until := v.AbandonedParts(s.clock())
	s.mu.Unlock()
	g.deleteParts(ctx, v, parts, until, "delete call for parts whose write was abandoned")
}

// deleteRetired deletes the parts of retired weights.
func (g *Gateway) deleteRetired(ctx context.Context, v *forward.StoreView) {
	s := g.state
	s.mu.Lock()
	now := s.clock()
	parts := v.RetiredParts(func(model string, version int64) bool { return s.rollout.Deletable(model, version, now) })
	s.mu.Unlock()
	g.deleteParts(ctx, v, parts, now+deleteValidity, "delete call for parts of retired weights")
}

// deleteParts has a store delete parts, unless the call arrives after the given time.
func (g *Gateway) deleteParts(ctx context.Context, v *forward.StoreView, parts []forward.StoredPart, until time.Duration, message string) {
	s := g.state
	s.mu.Lock()
	clockMs, clockKnown := v.ClockMs(until)
	epoch, listedAt := v.Epoch(), v.ListedAt()
	s.mu.Unlock()
	if len(parts) == 0 || !clockKnown {
		return
	}
	listAge := g.clock() - listedAt
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	err := g.storeClient.DeleteParts(ctx, v.Address, parts, epoch, int64(clockMs))
	log.Info().Str("event", "parts_freed").Str("store", v.Name).Int("parts", len(parts)).Dur("list_age_ms", listAge).Err(err).Msg(message)
}
