package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

// Records of the builds that began streams.
const (
	minStreamAppendPause  = 40 * time.Millisecond // between two appends of an entry
	streamWriteShare      = 0.5                   // share of the log's write calls that the appends of all entries may take
	streamAppendTimeout   = 500 * time.Millisecond
	streamRetryPause      = 100 * time.Millisecond
	maxRecordsPerAppend   = 4096
	maxWaitingRecords     = 1 << 16
	streamReadTimeout     = 400 * time.Millisecond // limit for the read on behalf of a caller that takes up a stream
	minDefaultsInterval   = 500 * time.Millisecond // between two looks at the default builds
	maxDefaultsInterval   = 8 * time.Second        // the same while the log has none
	streamDefaultsTimeout = 600 * time.Millisecond
	streamCatchUpTime     = time.Second     // after an outage of the log until the others have recorded the streams that they began in it
	maxStreamCatchUp      = 2 * time.Second // the same in a large group, whose entries append less often
)

// StreamBatch is a result of reading the records of streams.
type StreamBatch struct {
	Records []forward.StreamRecord
	Next    int64 // offset from which the next read continues
	End     int64 // end of the log at the time of the read
	Era     forward.Era
}

// StreamStore keeps in the log which build began a stream, and the default builds.
type StreamStore interface {
	AppendStreams(ctx context.Context, records []forward.StreamRecord) error
	// ReadStreams returns records from an offset on, or from the first one that is kept.
	ReadStreams(ctx context.Context, from int64) (StreamBatch, error)
	// LoadDefaultBuilds returns the default builds, and the end of their log.
	LoadDefaultBuilds(ctx context.Context) (defaults []forward.DefaultBuild, end int64, err error)
	// SaveDefaultBuilds fails if the log of the default builds has another end.
	SaveDefaultBuilds(ctx context.Context, defaults []forward.DefaultBuild, end int64) error
}

// streamLog holds the records that wait to be appended and the position up to which the
// records have been read. It is guarded by the state's mutex, except for reading and what
// follows it.
type streamLog struct {
	waiting         []waitingRecord
	failing         bool          // the last append failed
	slowUntil       time.Duration // an append took longer than an event may wait for it, shortly before
	incompleteUntil time.Duration // until then, other entries may still have to record their streams
	wake            chan struct{} // receives a value when a record is added
	appended        []appendedRecords
	nextRead        *sharedRead // the read that has not begun yet, nil if there is none

	reading    sync.Mutex // held during a read
	nextOffset int64
	era        forward.Era
}

// waitingRecord is a record that is not in the log yet.
type waitingRecord struct {
	record forward.StreamRecord
	since  time.Duration
	done   chan struct{} // closed when the record is in the log
}

// appendedRecords are records of this process that the log holds.
type appendedRecords struct {
	records []forward.StreamRecord
	at      time.Duration
}

// sharedRead is a read of the records on behalf of all requests that arrived before it began.
type sharedRead struct {
	done chan struct{}
	err  error
}

func newStreamLog() streamLog {
	return streamLog{wake: make(chan struct{}, 1)}
}

func (l *streamLog) notify() {
	select {
	case l.wake <- struct{}{}:
	default: // the appender has not handled the last one yet
	}
}

// unwritable reports whether a new record would not reach the log in time, given the pause
// between two appends.
func (l *streamLog) unwritable(now, spacing time.Duration) bool {
	return l.failing || now < l.slowUntil || len(l.waiting) > 0 && now-l.waiting[0].since > streamAppendTimeout+spacing
}

// add queues a record. The returned channel is closed when the log holds it.
func (l *streamLog) add(r forward.StreamRecord, now time.Duration) <-chan struct{} {
	w := waitingRecord{r, now, make(chan struct{})}
	if len(l.waiting) >= maxWaitingRecords {
		log.Warn().Str("event", "stream_unrecorded").Int("waiting", len(l.waiting)).Msg("too many records wait for the log; after the loss of this process, the stream goes on at the default build or not at all")
		return w.done
	}
	l.waiting = append(l.waiting, w)
	l.notify()
	return w.done
}

// recordStreams appends the records that wait until ctx is done.
func (g *Gateway) recordStreams(ctx context.Context) {
	if g.streamStore == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.state.streamLog.wake:
		}
		for g.recordsWait() {
			if !wait.For(ctx, g.appendStreams(ctx)) {
				return
			}
		}
	}
}

func (g *Gateway) recordsWait() bool {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streamLog.waiting) > 0
}

// appendSpacing returns the pause between two appends of this process.
func (s *state) appendSpacing() time.Duration {
	writes := cmp.Or(s.settings.LogWritesPerS, defaultLogWritesPerS)
	return max(minStreamAppendPause, seconds(float64(len(s.peerLoads.members))/(streamWriteShare*writes)))
}

// catchUpTime returns how long after an outage of the log the entries need at most to record the
// streams that they began in it.
func (s *state) catchUpTime() time.Duration {
	return min(streamCatchUpTime+s.appendSpacing(), maxStreamCatchUp)
}

// appendStreams appends the oldest records and returns the pause until the next append. Records
// that could not be appended are tried again.
func (g *Gateway) appendStreams(ctx context.Context) (pause time.Duration) {
	s := g.state
	s.mu.Lock()
	l := &s.streamLog
	batch := slices.Clone(l.waiting[:min(len(l.waiting), maxRecordsPerAppend)])
	era := s.eras.Newest()
	s.mu.Unlock()
	records := make([]forward.StreamRecord, len(batch))
	for i, w := range batch {
		records[i] = w.record
	}
	attempt, cancel := context.WithTimeout(ctx, streamAppendTimeout)
	defer cancel()
	started := g.clock()
	err := g.streamStore.AppendStreams(attempt, records)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.clock(); now-started > maxRecordWait {
		l.slowUntil = now + slowLogPause
	}
	if s.eras.Newest() != era { // the log may have lost the records again
		return s.appendSpacing()
	}
	if err != nil {
		if !l.failing && ctx.Err() == nil {
			log.Warn().Str("event", "streams_unrecorded").Int("records", len(l.waiting)).Err(err).Msg("cannot record the builds of streams; new ones go to the default build where it has endpoints")
		}
		l.failing = true
		return max(streamRetryPause, s.appendSpacing())
	}
	if l.failing {
		log.Info().Str("event", "streams_recorded").Int("records", len(records)).Msg("builds of streams are recorded again")
	}
	l.failing = false
	l.waiting = slices.Delete(l.waiting, 0, len(batch))
	for _, w := range batch {
		close(w.done)
	}
	l.appended = append(l.appended, appendedRecords{records, s.clock()})
	return s.appendSpacing()
}

var errStreamReadTimeout = errors.New("reading the records of streams takes too long")

// readStreams reads all records and defaults that the log holds when it is called.
func (g *Gateway) readStreams(ctx context.Context) error {
	s := g.state
	s.mu.Lock()
	r := s.streamLog.nextRead
	if r == nil {
		r = &sharedRead{done: make(chan struct{})}
		s.streamLog.nextRead = r
		go g.runStreamRead(r)
	}
	s.mu.Unlock()
	limit := time.NewTimer(streamReadTimeout)
	defer limit.Stop()
	select {
	case <-r.done:
		return r.err
	case <-limit.C:
		return errStreamReadTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runStreamRead makes a shared read. It ends also if the requests that wait for it have ended.
func (g *Gateway) runStreamRead(r *sharedRead) {
	s := g.state
	s.streamLog.reading.Lock()
	defer s.streamLog.reading.Unlock()
	s.mu.Lock()
	s.streamLog.nextRead = nil
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), streamAppendTimeout)
	defer cancel()
	if _, r.err = g.loadDefaults(ctx); r.err == nil {
		r.err = g.readStreamRecords(ctx)
	}
	if r.err != nil {
		log.Warn().Str("event", "streams_unread").Err(r.err).Msg("cannot read the builds of streams; callers that take up one may be refused")
	}
	close(r.done)
}

// readStreamRecords reads the records up to the end of the log. The caller holds the lock on
// reading.
func (g *Gateway) readStreamRecords(ctx context.Context) error {
	s := g.state
	l := &s.streamLog
	for count := 0; ; {
		b, err := g.streamStore.ReadStreams(ctx, l.nextOffset)
		if err != nil {
			return err
		}
		switch order := g.observeEra("streams", b.Era); {
		case order == forward.EraStale:
			return errStaleAnswer
		case b.Era != l.era && l.nextOffset > 0 || b.End < l.nextOffset:
			l.nextOffset, l.era = 0, b.Era // offsets were given out again
			continue
		}
		s.mu.Lock()
		s.streams.AddRecords(b.Records, s.clock())
		s.mu.Unlock()
		l.nextOffset, l.era = b.Next, b.Era
		if count += len(b.Records); b.Next >= b.End {
			log.Info().Str("event", "streams_read").Int("records", count).Int64("offset", b.Next).Msg("read the builds of streams")
			return nil
		}
	}
}

// loadDefaults reads the default builds and returns the end of their log.
func (g *Gateway) loadDefaults(ctx context.Context) (end int64, err error) {
	started := g.clock()
	defaults, end, err := g.streamStore.LoadDefaultBuilds(ctx)
	if err != nil {
		return 0, err
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.SetDefaults(defaults, started)
	return end, nil
}

// maintainStreams keeps the default builds in the log until ctx is done. The first member of the
// group writes for all.
func (g *Gateway) maintainStreams(ctx context.Context) {
	if g.streamStore == nil {
		return
	}
	s := g.state
	g.refreshDefaults(ctx, false) // until the defaults are known, every stream is recorded
	pause := minDefaultsInterval
	for wait.For(ctx, pause) {
		s.mu.Lock()
		now := s.clock()
		outdated, changed := s.streams.DefaultsOutdated(now), len(s.streams.DefaultsToSave(now)) > 0
		first := len(s.peerLoads.members) > 0 && slices.Min(s.peerLoads.members) == g.memberID
		s.mu.Unlock()
		if outdated || first && changed {
			g.refreshDefaults(ctx, first)
			pause = min(2*pause, maxDefaultsInterval)
		} else {
			pause = minDefaultsInterval
		}
		g.forgetOldRecords()
	}
}

// refreshDefaults reads the default builds. If save is true, it then writes those that the log
// lacks or that have changed.
func (g *Gateway) refreshDefaults(ctx context.Context, save bool) {
	attempt, cancel := context.WithTimeout(ctx, streamDefaultsTimeout)
	defer cancel()
	end, err := g.loadDefaults(attempt)
	if err != nil {
		if ctx.Err() == nil {
			log.Warn().Str("event", "default_builds_unread").Err(err).Msg("cannot read the default builds; all streams are recorded")
		}
		return
	}
	s := g.state
	s.mu.Lock()
	toSave := s.streams.DefaultsToSave(s.clock())
	s.mu.Unlock()
	if save && len(toSave) > 0 {
		g.saveDefaults(ctx, toSave, end)
	}
}

// saveDefaults writes default builds, provided that the end of their log is as given: another
// member may have written some, or this write may take effect late.
func (g *Gateway) saveDefaults(ctx context.Context, defaults []forward.DefaultBuild, end int64) {
	ctx, cancel := context.WithTimeout(ctx, streamDefaultsTimeout)
	defer cancel()
	started := g.clock()
	if err := g.streamStore.SaveDefaultBuilds(ctx, defaults, end); err != nil {
		log.Warn().Str("event", "default_builds_unsaved").Err(err).Msg("cannot write the default builds; they are read again")
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams.SetDefaults(defaults, started)
	for _, d := range defaults {
		log.Info().Str("event", "default_build").Str("service", d.Service).Str("build", d.Build).Int64("revision", d.Revision).Bool("unsettled", d.Unsettled).Msg("streams without a record belong to this build")
	}
}

// forgetOldRecords drops this process's records of streams that callers no longer take up.
func (g *Gateway) forgetOldRecords() {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	l, now := &s.streamLog, s.clock()
	l.appended = slices.DeleteFunc(l.appended, func(a appendedRecords) bool { return now-a.at > s.streams.Lifetime() })
}

// streamsAfterReturn queues this process's records again after the log has returned from an
// older copy. The caller holds the state's mutex.
func (s *state) streamsAfterReturn(now time.Duration) {
	s.streams.LogReturned()
	l := &s.streamLog
	for _, a := range l.appended {
		for _, r := range a.records {
			l.add(r, now)
		}
	}
	l.appended, l.incompleteUntil = nil, now+s.catchUpTime() // the other members write theirs again too
}
