package agent

import (
	"context"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/placement"
)

const (
	defaultLinkBytesPerSecond = 10e6             // until a rate is configured or measured
	rateSmoothing             = 0.3              // weight of the latest measurement
	rateMemory                = 10 * time.Second // after which a measured rate is forgotten, so that a link is tried again
	minRateSampleBytes        = 4 << 10          // shorter transfers measure the delay, not the rate
	useWindow                 = 5 * time.Second
)

// link is the way to one store: the measured rate, and the foreground transfers
// that are queued on it. Background transfers wait while there are any.
type link struct {
	now        func() time.Time
	configured float64

	mu        sync.Mutex
	rate      float64
	measured  time.Time
	queued    int64 // bytes of foreground transfers that have not ended
	active    int
	busySince time.Time
	moved     int64 // bytes in this busy period
	stalled   bool  // a transfer of this busy period used up its time
	idle      chan struct{}
	use       float64 // decayed share of busy time
	useAt     time.Time
}

func newLink(configured float64, now func() time.Time) *link {
	if configured <= 0 {
		configured = defaultLinkBytesPerSecond
	}
	idle := make(chan struct{})
	close(idle)
	return &link{now: now, configured: configured, rate: configured, idle: idle, useAt: now()}
}

// current returns the rate, which is the configured one when no measurement is
// recent.
func (l *link) current() float64 {
	if l.now().Sub(l.measured) > rateMemory {
		l.rate = l.configured
	}
	return l.rate
}

// estimate returns how long the bytes take after what is already queued.
func (l *link) estimate(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.queued+bytes) / l.current() * float64(time.Second))
}

// begin counts a foreground transfer.
func (l *link) begin(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued += bytes
	l.active++
	if l.active == 1 {
		l.decayUse(0)
		l.busySince, l.moved, l.stalled = l.now(), 0, false
		l.idle = make(chan struct{})
	}
}

// end counts a foreground transfer out, with the bytes that came. A stalled one
// used up its time; others that brought nothing, as misses do, measure nothing.
func (l *link) end(bytes, got int64, stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued -= bytes
	l.moved += got
	l.stalled = l.stalled || stalled
	l.active--
	if l.active > 0 {
		return
	}
	close(l.idle)
	busy := l.now().Sub(l.busySince)
	l.decayUse(1)
	if l.moved > 0 || l.stalled {
		l.sample(l.moved, busy, l.stalled)
	}
}

// sample takes a measured rate. Stalled transfers that brought nothing count, so
// that the next estimates avoid the link.
func (l *link) sample(bytes int64, took time.Duration, stalled bool) {
	if took <= 0 || bytes > 0 && bytes < minRateSampleBytes {
		return
	}
	rate, known := float64(max(1, bytes))/took.Seconds(), l.current()
	if stalled { // no smoothing: the next prompt must not wait on this link, too
		l.rate = min(rate, known)
	} else {
		l.rate = known + rateSmoothing*(rate-known)
	}
	l.measured = l.now()
}

// decayUse moves the share of busy time towards busy for the time since it was
// last updated.
func (l *link) decayUse(busy float64) {
	w := min(1, l.now().Sub(l.useAt).Seconds()/useWindow.Seconds())
	l.use += w * (busy - l.use)
	l.useAt = l.now()
}

// background measures a background transfer.
func (l *link) background(bytes int64, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sample(bytes, took, false)
}

// state returns the rate and the share of the link in use.
func (l *link) state() placement.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0.0
	if l.active > 0 {
		busy = 1
	}
	l.decayUse(busy)
	return placement.Link{BytesPerSecond: l.current(), Utilization: l.use}
}

// waitIdle waits until no foreground transfer is queued.
func (l *link) waitIdle(ctx context.Context) error {
	for {
		l.mu.Lock()
		idle, active := l.idle, l.active
		l.mu.Unlock()
		if active == 0 {
			return ctx.Err()
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
