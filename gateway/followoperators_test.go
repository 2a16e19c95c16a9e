package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// delayedFeed answers each read of a script after the given time.
type delayedFeed struct {
	scriptedFeed
	clock *testClock
	took  time.Duration
}

func (d *delayedFeed) Read(ctx context.Context, from int64, wait time.Duration) (Batch[forward.OperatorChange], error) {
	d.clock.advance(d.took)
	return d.scriptedFeed.Read(ctx, from, wait)
}

// Guards against an answer that proves the wait of its read although records may have been written
// during the wait, and against an empty one that proves only its start.
func TestEmptyLongPollProvesItsWait(t *testing.T) {
	const wait, transfer = 2 * time.Second, 40 * time.Millisecond
	partial := batch(1, 5)
	partial.Partial = true
	for name, c := range map[string]struct {
		answer  Batch[forward.OperatorChange]
		took    time.Duration
		resumed time.Duration // since the start of the read, 0 if the process was not suspended
		want    time.Duration // configuration age after the read
		err     error
	}{
		"empty":                    {answer: batch(1, 5), took: wait + transfer, want: transfer},
		"late":                     {answer: batch(1, 5), took: wait + time.Second, want: time.Second},
		"sooner":                   {answer: batch(1, 5), took: wait - time.Millisecond, want: wait - time.Millisecond},
		"record":                   {answer: batch(1, 6, configRecord(6)), took: wait + transfer, want: wait + transfer},
		"record of an unknown key": {answer: batch(1, 6), took: wait + transfer, want: wait + transfer},
		"partial":                  {answer: partial, took: wait + transfer, want: time.Second + wait + transfer},
		"suspended meanwhile":      {answer: batch(1, 5), took: wait + transfer, resumed: time.Second, want: wait + transfer},
		"suspended before":         {answer: batch(1, 5), took: wait + transfer, resumed: -time.Millisecond, want: transfer},
		"another era":              {answer: batch(2, 5), took: wait + transfer, want: time.Second + wait + transfer, err: errLogReturned},
	} {
		g, clock := newGateway(t)
		f := &delayedFeed{clock: clock, took: c.took}
		f.newest = []Batch[forward.OperatorChange]{batch(1, 5, configRecord(5))}
		f.reads = []Batch[forward.OperatorChange]{c.answer}
		r := g.operatorReader()
		r.feed = f
		require.NoError(t, r.poll(t.Context(), clock.read(), 0), name)
		clock.advance(time.Second)
		started := clock.read()
		if c.resumed != 0 {
			g.state.resumedAt = started + c.resumed
		}
		require.Equal(t, c.err, r.poll(t.Context(), started, wait), name)
		age, _ := g.state.freshness.Age(clock.read())
		require.Equal(t, c.want, age, name)
		if c.resumed != 0 {
			require.Equal(t, c.resumed < 0, g.state.freshness.ReadSince(g.state.resumedAt), "%s: only a read that started after the suspension may deny keys", name)
		}
	}
}

// operatorLog is a log in virtual time that counts its calls. It answers after the wait and a transfer
// of random length, or when there is a record.
type operatorLog struct {
	mu       sync.Mutex
	rng      *rand.Rand
	records  []forward.OperatorChange
	written  chan struct{} // closed and replaced with each record
	transfer time.Duration // longest time of each direction
	calls    int
	fail     func(call int) bool
}

func (l *operatorLog) write(c forward.OperatorChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, c)
	close(l.written)
	l.written = make(chan struct{})
}

func (l *operatorLog) delay() {
	l.mu.Lock()
	d := time.Duration(l.rng.Int64N(int64(l.transfer)))
	l.mu.Unlock()
	time.Sleep(d)
}

func (l *operatorLog) answer(from int64) Batch[forward.OperatorChange] {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Batch[forward.OperatorChange]{Records: l.records[from:], Next: int64(len(l.records))}
}

func (l *operatorLog) Newest(context.Context) (Batch[forward.OperatorChange], error) {
	l.delay()
	return l.answer(0), nil
}

func (l *operatorLog) Read(ctx context.Context, from int64, wait time.Duration) (Batch[forward.OperatorChange], error) {
	l.mu.Lock()
	l.calls++
	fails := l.fail != nil && l.fail(l.calls)
	l.mu.Unlock()
	l.delay()
	if fails {
		<-ctx.Done()
		return Batch[forward.OperatorChange]{}, ctx.Err()
	}
	end := time.After(wait)
	l.mu.Lock()
	written, waits := l.written, from == int64(len(l.records)) && wait > 0
	l.mu.Unlock()
	if waits {
		select {
		case <-ctx.Done():
			return Batch[forward.OperatorChange]{}, ctx.Err()
		case <-end:
		case <-written:
		}
	}
	b := l.answer(from)
	l.delay()
	return b, nil
}

// runOperatorReader plays a reader and returns the greatest configuration age, and the calls a second.
func runOperatorReader(t *testing.T, settings Settings, fail func(int) bool, recordEvery, length time.Duration) (oldest time.Duration, callsPerSecond float64) {
	const sample = 7 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		feed := &operatorLog{rng: rand.New(rand.NewPCG(1, 4)), written: make(chan struct{}), transfer: 25 * time.Millisecond, fail: fail, records: []forward.OperatorChange{configRecord(1)}}
		g := New(Options{Settings: settings, Clock: func() time.Duration { return time.Hour + time.Since(began) }, HeaderCodec: testHeaderCodec{}, Operators: feed})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); g.followOperators(ctx) }()
		nextRecord, version, rng := recordEvery, int64(1), rand.New(rand.NewPCG(2, 4))
		for time.Since(began) < length {
			time.Sleep(sample)
			if recordEvery > 0 && time.Since(began) >= nextRecord {
				version++
				feed.write(configRecord(version))
				nextRecord += recordEvery + time.Duration(rng.Int64N(int64(recordEvery)))
			}
			g.state.mu.Lock()
			g.state.recordActivity(g.clock())
			if age, known := g.state.freshness.Age(g.clock()); known {
				oldest = max(oldest, age)
			}
			g.state.mu.Unlock()
		}
		stop()
		<-done
		callsPerSecond = float64(feed.calls) / length.Seconds()
	})
	return oldest, callsPerSecond
}

// Guards against a configuration age above one wait and the transfer, also when records end the waits
// or a read fails, against waits that are shorter than the settings state, and against a busy loop.
func TestOperatorPolls(t *testing.T) {
	const length, transfers = 200 * time.Second, 60 * time.Millisecond
	oneIn := func(n int) func(int) bool { return func(call int) bool { return call%n == 0 } }
	for name, c := range map[string]struct {
		pollMs      int64
		fail        func(int) bool
		recordEvery time.Duration
		maxAge      time.Duration
		maxCalls    float64 // a second
	}{
		"default":                {0, nil, 0, time.Second + transfers, 1.02},
		"of the deployment":      {2000, nil, 0, 2*time.Second + transfers, 0.52},
		"longest":                {2500, nil, 0, 2500*time.Millisecond + transfers, 0.42},
		"shortest":               {500, nil, 0, 500*time.Millisecond + transfers, 2.05},
		"records in each wait":   {2000, nil, 900 * time.Millisecond, 2*time.Second + transfers, 1.7},
		"every fifth read fails": {2000, oneIn(5), 0, 2*time.Second + readTimeoutMargin + 2*readBackoff.Base + transfers, 0.65},
	} {
		settings := testSettings()
		settings.OperatorPollMs = c.pollMs
		oldest, calls := runOperatorReader(t, settings, c.fail, c.recordEvery, length)
		t.Logf("%s: greatest age %v, %.2f calls a second of an entry; %.1f, %.1f and %.1f of 4, 39 and 103", name, oldest, calls, 4*calls, 39*calls, 103*calls)
		require.LessOrEqual(t, oldest, c.maxAge, name)
		require.LessOrEqual(t, calls, c.maxCalls, name)
		require.GreaterOrEqual(t, calls, 0.9/settings.operatorPollWait().Seconds()*0.85, name)
	}
}

// Guards against an entry that refuses unknown keys with 503 until the end of a long poll that was
// under way when the process was suspended.
func TestResumedProcessReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspended = 700 * time.Millisecond
		began, skipped := time.Now(), time.Duration(0)
		var mu sync.Mutex
		clock := func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Hour + time.Since(began) + skipped
		}
		settings := testSettings()
		settings.OperatorPollMs = 2000
		feed := &operatorLog{rng: rand.New(rand.NewPCG(1, 4)), written: make(chan struct{}), transfer: 10 * time.Millisecond, records: []forward.OperatorChange{configRecord(1)}}
		g := New(Options{Settings: settings, Clock: clock, HeaderCodec: testHeaderCodec{}, Operators: feed})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); g.followOperators(ctx) }()
		activity := func() {
			g.state.mu.Lock()
			defer g.state.mu.Unlock()
			g.state.recordActivity(clock())
		}
		for range 5 {
			time.Sleep(100 * time.Millisecond)
			activity()
		}
		mu.Lock()
		skipped += suspended // the clock of the process goes on
		mu.Unlock()
		activity()
		require.True(t, g.state.awaitsReadAfterResume())
		time.Sleep(50 * time.Millisecond)
		require.False(t, g.state.awaitsReadAfterResume(), "the long poll was not interrupted")
		stop()
		<-done
		require.Equal(t, 3, feed.calls, "the interrupted long poll, the read that does not wait, and the next long poll")
	})
}
