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

// Reading the log. Each call is billed and counts against the platform's rate limit, so
// that reads either wait at the log for records or pause in between.
const (
	operatorPollWait  = time.Second            // wait of a long poll for the operators' records if the settings state none; the configuration age reaches the wait and the time of the transfer
	endpointPollShare = 0.4                    // pause between two reads, as a share of the time within which a draining endpoint must be noticed
	readTimeoutMargin = 800 * time.Millisecond // added to the long-poll wait to get the timeout of a read
	maxReadFailures   = 2                      // consecutive failed reads after which the log counts as unavailable
)

// feedReader reads one feed continuously.
type feedReader[T any] struct {
	name      string
	feed      Feed[T]
	clock     Clock
	pollWait  time.Duration             // long-poll wait of a read
	pollPause time.Duration             // pause between reads
	await     func(ctx context.Context) // waits for the next read in place of pollPause, if it isn't nil
	// nextWait returns the wait of the next read, at most the given one. It may be nil.
	nextWait func(wait, now time.Duration) time.Duration
	// suspendedSince reports whether the process was suspended after a time. If it is nil, an empty
	// long poll proves only its start.
	suspendedSince func(t, now time.Duration) bool
	// interruptOnResume has a read cancelled when the process resumes after a suspension, until the
	// returned function is called. It may be nil.
	interruptOnResume func(cancel context.CancelFunc) (release func())
	// apply is called with the records of a read and the time before which nothing is missing: the
	// start of the last complete read, or the end of its wait; see forward.LongPoll.
	apply      func(records []T, proof time.Duration, snapshot bool)
	onFailure  func(now time.Duration)
	observeEra func(feed string, e forward.Era) forward.EraOrder
	nextOffset int64
	hasOffset  bool
	era        forward.Era   // era of the log that nextOffset belongs to
	completeAt time.Duration // proof of the last read that returned all records
}

// Errors of reads whose answer belongs to another era of the log than the reader's offset.
var (
	errStaleAnswer = errors.New("the answer is from before the log returned from an older copy")
	errLogReturned = errors.New("the log has returned from an older copy")
)

// run reads until ctx is done.
func (r *feedReader[T]) run(ctx context.Context, s *state) {
	failures := 0
	for ctx.Err() == nil {
		started := r.clock()
		pollWait := r.pollWait
		if r.nextWait != nil {
			pollWait = r.nextWait(pollWait, started)
		}
		if failures > 0 || s.awaitsReadAfterResume() {
			pollWait = 0 // an immediate response shows that the log is available again, or what was missed while suspended
		}
		err := r.poll(ctx, started, pollWait)
		if err == nil {
			if failures >= maxReadFailures {
				log.Info().Str("event", "log_regained").Str("feed", r.name).Int("failures", failures).Msg("log is readable again")
			}
			failures = 0
			if r.await != nil {
				r.await(ctx)
			} else {
				wait.For(ctx, r.pollPause)
			}
			continue
		}
		if errors.Is(err, context.Canceled) && r.suspendedSince != nil && r.suspendedSince(started, r.clock()) {
			continue // interrupted, to read without waiting
		}
		if errors.Is(err, errLogReturned) {
			r.hasOffset = false // offsets were given out again
			log.Warn().Str("event", "feed_reread").Str("feed", r.name).Int64("era", int64(r.era)).Int64("offset", r.nextOffset).Msg("the log has returned from an older copy; reading the newest record of each key")
			continue
		}
		if errors.Is(err, ErrTrimmed) && r.hasOffset {
			r.hasOffset = false // start again from the newest records
			log.Warn().Str("event", "log_trimmed").Str("feed", r.name).Int64("offset", r.nextOffset).Msg("records were trimmed; reading the newest record of each key")
			continue
		}
		if failures++; failures == maxReadFailures {
			log.Warn().Str("event", "log_lost").Str("feed", r.name).Err(err).Msg("cannot read the log")
		}
		if r.onFailure != nil && failures >= maxReadFailures {
			r.onFailure(r.clock())
		}
		s.mu.Lock()
		pause, _ := readBackoff.Delay(failures-1, time.Hour, s.rng)
		s.mu.Unlock()
		wait.For(ctx, pause)
	}
}

// readBackoff spaces out retries of failed reads. The maximum is short so that recovery of
// the log is noticed soon.
var readBackoff = retry.Backoff{Base: 100 * time.Millisecond, Max: 600 * time.Millisecond}

// awaitsReadAfterResume reports whether the process was suspended and no read that started after
// the last suspension has completed.
func (s *state) awaitsReadAfterResume() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordActivity(s.clock())
	return s.resumedAt > 0 && !s.freshness.ReadSince(s.resumedAt)
}

// poll reads once and applies the records. The first read fetches the newest record of each
// key; later ones continue from its offset.
func (r *feedReader[T]) poll(ctx context.Context, started, pollWait time.Duration) error {
	if !r.hasOffset {
		ctx, cancel := context.WithTimeout(ctx, 2*readTimeoutMargin)
		defer cancel()
		batch, err := r.feed.Newest(ctx)
		if err != nil {
			return err
		}
		if r.observeEra(r.name, batch.Era) == forward.EraStale {
			return errStaleAnswer
		}
		r.nextOffset, r.era, r.hasOffset, r.completeAt = batch.Next, batch.Era, true, started
		r.apply(batch.Records, started, true)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+readTimeoutMargin)
	defer cancel()
	if pollWait > 0 && r.interruptOnResume != nil {
		defer r.interruptOnResume(cancel)()
	}
	batch, err := r.feed.Read(ctx, r.nextOffset, pollWait)
	ended := r.clock()
	if err != nil {
		return err
	}
	if r.observeEra(r.name, batch.Era) == forward.EraStale {
		return errStaleAnswer
	}
	if batch.Era != r.era {
		return errLogReturned
	}
	poll := forward.LongPoll{
		Started: started, Ended: ended, Wait: pollWait.Truncate(time.Millisecond), Partial: batch.Partial,
		Empty:     len(batch.Records) == 0 && batch.Next == r.nextOffset,
		Suspended: r.suspendedSince == nil || r.suspendedSince(started, ended),
	}
	r.nextOffset = batch.Next
	if !batch.Partial {
		r.completeAt = poll.Proof()
	}
	r.apply(batch.Records, r.completeAt, false)
	return nil
}

// observeEra compares the era of an answer of the log with the newest known one. When the
// log has returned from an older copy, its member lists and the absence of records in it
// prove nothing until they have been read again.
func (g *Gateway) observeEra(feed string, e forward.Era) forward.EraOrder {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.eras.Newest()
	order := s.eras.Observe(e)
	switch order {
	case forward.EraRisen:
		now := s.clock()
		s.proofBeforeReturn, s.returnedAt = s.namingProof(now), now
		s.catchUp.Begin(now)
		s.endpointList.LogReturned(now)
		s.listedCache = nil
		g.ownership.RecordEra(e)
		log.Warn().Str("event", "log_returned").Str("feed", feed).Int64("era_before", int64(before)).Int64("era", int64(e)).
			Msg("the log has returned from an older copy; records, endpoints and members are read again, and no orders are sent until the handover pause has passed")
		for _, n := range s.rollout.Namings(now - milliseconds(s.settings.VersionMs)) {
			g.requestSaveNaming(n)
		}
		s.streamsAfterReturn(now)
		clear(s.partSaver.saved) // the log may have lost the records
	case forward.EraStale:
		log.Warn().Str("event", "log_answer_stale").Str("feed", feed).Int64("era", int64(e)).Int64("newest", int64(before)).Msg("the answer's era is older than the newest one, or skips others and is not confirmed; the answer is ignored")
	}
	return order
}

// knowledge returns how new the operators' records are that this process knows.
func (s *state) knowledge() forward.Knowledge {
	k := forward.Knowledge{Weights: s.rollout.NewestTargets()}
	if s.table != nil {
		k.ConfigVersion = s.table.Config.Version
	}
	return k
}

// applyOperators applies the operators' records: configurations, named weight versions and
// evacuations. Nothing that was written before the time proof is missing.
func (g *Gateway) applyOperators(records []forward.OperatorChange, proof time.Duration, snapshot bool) {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	namedAt := s.namingProof(now) // the arrival of the record proves nothing, as its delay is not known
	if snapshot {
		s.snapshotEvacuations(records, now)
	}
	for _, r := range records {
		switch {
		case r.Evacuation != nil && !snapshot:
			s.applyEvacuation(*r.Evacuation, now)
		case r.Err != nil:
			log.Error().Str("event", "operator_record_rejected").Err(r.Err).Msg("cannot parse an operators' record; the previous one stays in force")
		case r.Config != nil:
			s.catchUp.RecordConfig(r.Config.Version)
			g.applyConfig(r.Config, now-proof)
		case r.Weights != nil:
			s.catchUp.RecordWeights(*r.Weights)
			if s.rollout.AddTarget(*r.Weights, namedAt, now) {
				g.logNaming(log.Info().Str("event", "weights_named"), *r.Weights, now).Dur("read_ms", now-proof).Msg("a weight version was named")
				g.announceNamings(namedAt)
			}
		}
	}
	known := s.knowledge()
	known.ConfigVersion = max(known.ConfigVersion, s.peerConfigVersion(now))
	switch ended, complete := s.catchUp.Check(known, now); {
	case ended && complete:
		log.Info().Str("event", "log_caught_up").Int64("era", int64(s.eras.Newest())).Int64("config", known.ConfigVersion).Msg("the log holds all known records again")
	case ended:
		log.Warn().Str("event", "log_not_rewritten").Int64("era", int64(s.eras.Newest())).Int64("config", known.ConfigVersion).Msg("the log still lacks records that were known before its return; its reads count as complete again")
	}
	if !s.catchUp.Pending() {
		s.settleEvacuations(now)
		s.confirmRead(proof)
	}
}

func (g *Gateway) applyConfig(c *forward.Config, age time.Duration) {
	s := g.state
	if s.table != nil && c.Version <= s.table.Config.Version {
		log.Info().Str("event", "config_ignored").Int64("version", c.Version).Int64("in_force", s.table.Config.Version).Msg("configuration is not newer than the one in force")
		return
	}
	if s.table == nil {
		s.firstConfigAt = s.clock()
	}
	s.table = forward.NewTable(c)
	s.streams.SetRoutes(c.Routes)
	g.callerConns.SetTimeouts(c.Limits.IdleTimeout, c.Limits.HeaderTimeout)
	if c.Limits.HeaderBytes > maxHeaderBytes {
		log.Warn().Str("event", "limits_beyond_program").Int64("version", c.Version).Int("header_bytes", c.Limits.HeaderBytes).Int("max_header_bytes", maxHeaderBytes).Msg("the configuration allows longer headers than this program takes; lower the limit in it")
	}
	log.Info().Str("event", "config_applied").Int64("version", c.Version).Int("routes", len(c.Routes)).Int("customers", len(c.Customers)).Str("shared_cache_group", s.table.CacheGroup("")).
		Dur("read_ms", age).Msg("configuration in force")
}

// applyEndpoints applies changes of the endpoint list. A snapshot replaces the list.
func (g *Gateway) applyEndpoints(changes []forward.EndpointChange, started time.Duration, snapshot bool) {
	s := g.state
	s.mu.Lock()
	g.applyEndpointsLocked(changes, started, snapshot)
	alive := s.pruneEndpoints(s.clock())
	s.mu.Unlock()
	g.pool.prune(alive)
}

// applyEndpointsLocked is applyEndpoints for a caller that holds the state's mutex.
func (g *Gateway) applyEndpointsLocked(changes []forward.EndpointChange, started time.Duration, snapshot bool) {
	s := g.state
	now := s.clock()
	if s.endpointList.LogRegained(now) {
		s.streamLog.incompleteUntil = now + s.catchUpTime()
		log.Info().Str("event", "endpoint_list_regained").Msg("endpoint list is readable again; entries that expired meanwhile stay for a short time")
	}
	if snapshot {
		s.endpointList.RemoveMissing(changes, now)
	}
	for i, c := range changes {
		g.logEndpoint(c, now)
		outdated := c.Endpoint != nil && s.endpointList.Outdated(c.Endpoint, now)
		s.endpointList.Apply(changes[i:i+1], now)
		if !outdated {
			s.observeWarmUpRecord(c, now)
		}
	}
	s.endpointListRead, s.listedCache = true, nil
	s.listedEndpoints(now) // notices restarts, and keeps what peers report of endpoints without requests
	s.streams.ObserveEndpoints(s.readyByList(now), started, now)
}

// logEndpoint logs changes of an endpoint's state. Heartbeats without a change are not
// logged.
func (g *Gateway) logEndpoint(c forward.EndpointChange, now time.Duration) {
	old, usable := g.state.endpointList.Get(c.ID, now)
	switch {
	case c.Endpoint != nil && g.state.endpointList.Outdated(c.Endpoint, now):
		log.Info().Str("event", "endpoint_record_late").Str("endpoint", c.ID).Int64("started", c.Endpoint.StartedUnixMs).Int64("heartbeat", c.Endpoint.Heartbeat).Bool("draining", c.Endpoint.Draining).Msg("an older record than the known one has no effect")
	case c.Err != nil:
		log.Warn().Str("event", "endpoint_rejected").Str("endpoint", c.ID).Err(c.Err).Msg("endpoint entry is not valid")
	case c.Endpoint == nil && usable:
		log.Info().Str("event", "endpoint_removed").Str("endpoint", c.ID).Str("service", old.Service).Msg("endpoint entry removed")
	case c.Endpoint != nil && c.Endpoint.Draining && usable:
		log.Info().Str("event", "endpoint_draining").Str("endpoint", c.ID).Str("service", old.Service).Msg("endpoint gets no new requests")
	case c.Endpoint != nil && !c.Endpoint.Draining && (!usable || old.StartedUnixMs != c.Endpoint.StartedUnixMs):
		log.Info().Str("event", "endpoint_ready").Str("endpoint", c.ID).Str("service", c.Endpoint.Service).Str("build", c.Endpoint.Build).Str("address", c.Endpoint.Address).Int64("started", c.Endpoint.StartedUnixMs).Msg("endpoint in use")
	}
}
