package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/core/retry"
	"github.com/galenaweir/galenaweir/wait"
)

// Reading the log. Each call is priced and counted against the platform's rate
// limit, so that reads wait at the log for records.
const (
	operatorWait  = time.Second            // a read that waits shows that nothing newer is there; the age reaches twice as much
	endpointShare = 0.4                    // of the time within which a leaving endpoint is to be known, between two reads
	readSlack     = 800 * time.Millisecond // beyond the wait, for the answer
	lostAfter     = 2                      // failed reads in a row before the log counts as lost
)

// reader follows one feed.
type reader[T any] struct {
	name   string
	feed   Feed[T]
	clock  Clock
	wait   time.Duration // at the log
	pause  time.Duration // between reads
	apply  func(records []T, started time.Duration, snapshot bool)
	failed func(now time.Duration)
	next   int64
	known  bool
}

// run reads until ctx ends.
func (r *reader[T]) run(ctx context.Context, s *state) {
	failures := 0
	for ctx.Err() == nil {
		started := r.clock()
		hold := r.wait
		if failures > 0 || s.justResumed() {
			hold = 0 // an answer at once shows that the log is back, or what was missed
		}
		err := r.step(ctx, started, hold)
		if err == nil {
			if failures >= lostAfter {
				log.Info().Str("event", "log_regained").Str("feed", r.name).Int("failures", failures).Msg("the log can be read again")
			}
			failures = 0
			wait.For(ctx, r.pause)
			continue
		}
		if errors.Is(err, ErrTrimmed) && r.known {
			r.known = false // start again from the newest records
			log.Warn().Str("event", "log_trimmed").Str("feed", r.name).Int64("offset", r.next).Msg("records are gone; reading the newest of each key")
			continue
		}
		if failures++; failures == lostAfter {
			log.Warn().Str("event", "log_lost").Str("feed", r.name).Err(err).Msg("the log can't be read")
		}
		if r.failed != nil && failures >= lostAfter {
			r.failed(r.clock())
		}
		s.mu.Lock()
		pause, _ := readBackoff.Pause(failures-1, time.Hour, s.rng)
		s.mu.Unlock()
		wait.For(ctx, pause)
	}
}

// readBackoff spaces out failed reads; a log that is back is noticed soon.
var readBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 600 * time.Millisecond}

// justResumed tells whether no read has completed that started after the last suspend.
func (s *state) justResumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(s.clock())
	return s.resumed > 0 && !s.fresh.ReadSince(s.resumed)
}

func (r *reader[T]) step(ctx context.Context, started, hold time.Duration) error {
	if !r.known {
		ctx, cancel := context.WithTimeout(ctx, 2*readSlack)
		defer cancel()
		records, next, err := r.feed.Newest(ctx)
		if err != nil {
			return err
		}
		r.next, r.known = next, true
		r.apply(records, started, true)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, hold+readSlack)
	defer cancel()
	records, next, err := r.feed.Read(ctx, r.next, hold)
	if err != nil {
		return err
	}
	r.next = next
	r.apply(records, started, false)
	return nil
}

// answerTime is more than an answer of the log takes that it doesn't hold back.
const answerTime = 300 * time.Millisecond

// unknownNaming is the time of versions that were named before this process read
// any: their time may be over.
const unknownNaming = -time.Hour

// applyOperators takes records of the operators.
func (g *Gateway) applyOperators(records []forward.OperatorChange, started time.Duration, _ bool) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	named := unknownNaming
	if age, known := s.fresh.Age(now); known {
		named = now - age // at the earliest: after the last read that showed nothing newer
		if now-started > answerTime {
			named = max(named, now-answerTime) // the log held the read until there was a record
		}
	}
	for _, r := range records {
		switch {
		case r.Err != nil:
			log.Error().Str("event", "operator_record_rejected").Err(r.Err).Msg("an operators' record can't be read; the former one stays in force")
		case r.Config != nil:
			g.applyConfig(r.Config, now-started)
		case r.Weights != nil:
			if s.rollout.AddTarget(*r.Weights, named, now) {
				log.Info().Str("event", "weights_named").Str("model", r.Weights.Model).Int64("version", r.Weights.Version).Msg("a weight version was named")
			}
		}
	}
	s.confirm(started)
}

func (g *Gateway) applyConfig(c *forward.Config, age time.Duration) {
	s := g.state
	if s.table != nil && c.Version <= s.table.Config.Version {
		log.Info().Str("event", "config_ignored").Int64("version", c.Version).Int64("in_force", s.table.Config.Version).Msg("not newer than the configuration in force")
		return
	}
	s.table = forward.NewTable(c)
	g.idleTimeout.Store(int64(c.Limits.IdleTimeout))
	log.Info().Str("event", "config_applied").Int64("version", c.Version).Int("routes", len(c.Routes)).Int("customers", len(c.Customers)).
		Dur("read_ms", age).Msg("configuration in force")
}

// applyEndpoints takes changes of the list of endpoints.
func (g *Gateway) applyEndpoints(changes []forward.EndpointChange, _ time.Duration, snapshot bool) {
	s := g.state
	s.mu.Lock()
	now := s.clock()
	if s.list.LogRegained(now) {
		log.Info().Str("event", "endpoint_list_regained").Msg("entries that lapsed meanwhile are kept for a moment")
	}
	for _, c := range changes {
		g.logEndpoint(c, now)
	}
	if snapshot {
		s.list.ApplySnapshot(changes, now)
	} else {
		s.list.Apply(changes, now)
	}
	s.listKnown, s.usable = true, nil
	alive := s.forget(now)
	s.mu.Unlock()
	g.pool.retain(alive)
}

// logEndpoint logs a change of what is believed of an endpoint, not each heartbeat.
func (g *Gateway) logEndpoint(c forward.EndpointChange, now time.Duration) {
	old, usable := g.state.list.Get(c.ID, now)
	switch {
	case c.Err != nil:
		log.Warn().Str("event", "endpoint_rejected").Str("endpoint", c.ID).Err(c.Err).Msg("the entry names no endpoint to use")
	case c.Endpoint == nil && usable:
		log.Info().Str("event", "endpoint_removed").Str("endpoint", c.ID).Str("service", old.Service).Msg("the entry is gone")
	case c.Endpoint != nil && c.Endpoint.Draining && usable:
		log.Info().Str("event", "endpoint_draining").Str("endpoint", c.ID).Str("service", old.Service).Msg("no new requests")
	case c.Endpoint != nil && !c.Endpoint.Draining && (!usable || old.StartedUnixMs != c.Endpoint.StartedUnixMs):
		log.Info().Str("event", "endpoint_ready").Str("endpoint", c.ID).Str("service", c.Endpoint.Service).Str("address", c.Endpoint.Address).Int64("started", c.Endpoint.StartedUnixMs).Msg("in use")
	}
}
