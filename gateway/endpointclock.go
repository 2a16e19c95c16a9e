package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

// Reading the endpoints' clock. Stores state it in each answer; where none does, a report of
// an endpoint is requested, which is billed.
const (
	storeClockWait     = 300 * time.Millisecond // how long a starting process waits for the stores' answers
	clockReadAttempts  = 3
	clockReportTimeout = 200 * time.Millisecond
	clockReadInterval  = 2 * time.Second // between two rounds of attempts
)

// endpointClock returns the endpoints' clock as a store or a report has stated it, and false
// if none has.
func (s *state) endpointClock(now time.Duration) (forward.EndpointClock, bool) {
	for _, v := range s.stores {
		clock := v.Clock()
		if _, _, known := clock.Bounds(now); known {
			return clock, true
		}
	}
	return s.reportClock, !s.reportClock.Expired(now)
}

// awaitsStores reports whether the configuration has stores that are read, or is not known yet.
func (s *state) awaitsStores() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table == nil || slices.ContainsFunc(s.table.Config.Services, func(sv forward.Service) bool { return sv.StoreAddress != "" && sv.NoAutoEviction })
}

// readEndpointClock requests a report from an endpoint if the endpoints' clock is not known.
func (g *Gateway) readEndpointClock(ctx context.Context) {
	s := g.state
	s.mu.Lock()
	now := s.clock()
	_, known := s.endpointClock(now)
	endpoints := slices.DeleteFunc(slices.Clone(s.listedEndpoints(now)), func(e forward.Endpoint) bool {
		return s.endpointState(e.ID).limit.PerSecond() != forward.Unlimited || s.statements.PausedUntil(&e, now) > 0
	})
	if known || len(endpoints) == 0 || now < s.nextClockRead {
		s.mu.Unlock()
		return
	}
	s.nextClockRead = now + clockReadInterval
	s.rng.Shuffle(len(endpoints), func(i, j int) { endpoints[i], endpoints[j] = endpoints[j], endpoints[i] })
	s.mu.Unlock()
	for _, e := range endpoints[:min(clockReadAttempts, len(endpoints))] {
		started := g.clock()
		attempt, cancel := context.WithTimeout(ctx, clockReportTimeout)
		rep, info, err := g.endpointControl.ReadState(attempt, e)
		g.observeControl(e, info, started)
		cancel()
		if err != nil {
			log.Warn().Str("event", "report_unread").Str("endpoint", e.ID).Err(err).Msg("cannot read the endpoints' clock")
			continue
		}
		s.mu.Lock()
		s.reportClock.ObserveReport(rep, started, s.clock())
		s.mu.Unlock()
		return
	}
}
