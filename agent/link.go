package agent

import (
	"context"
	"sync"
	"time"

	"github.com/galenaweir/galenaweir/core/placement"
)

const (
	defaultLinkBytesPerSecond = 10e6             // used until a rate is configured or measured
	rateSmoothing             = 0.3              // weight of the latest measurement in the moving average
	rateExpiry                = 10 * time.Second // after this a measured rate expires, so that a slow link is tried again
	minRateSampleBytes        = 4 << 10          // shorter transfers measure the latency instead of the rate
	useAveragingWindow        = 5 * time.Second  // over which the link's use is averaged
)

// storeLink tracks the network link to one store: its measured rate and its foreground
// transfers. Background transfers wait while a foreground transfer is active.
type storeLink struct {
	now            func() time.Time
	configuredRate float64 // bytes per second

	mu              sync.Mutex
	rate            float64   // bytes per second
	measuredAt      time.Time // time of the last measurement
	queuedBytes     int64     // bytes of foreground transfers that have not ended
	activeTransfers int       // foreground transfers
	busySince       time.Time
	movedBytes      int64         // bytes transferred in this busy period
	stalled         bool          // a transfer of this busy period timed out
	idle            chan struct{} // closed when no foreground transfer is active
	use             float64       // moving average of the share of busy time
	useUpdatedAt    time.Time     // time of the last update of use
}

func newStoreLink(configured float64, now func() time.Time) *storeLink {
	if configured <= 0 {
		configured = defaultLinkBytesPerSecond
	}
	idle := make(chan struct{})
	close(idle)
	return &storeLink{now: now, configuredRate: configured, rate: configured, idle: idle, useUpdatedAt: now()}
}

// currentRate returns the measured rate, or the configured one if the last measurement
// has expired. The caller holds the lock.
func (l *storeLink) currentRate() float64 {
	if l.now().Sub(l.measuredAt) > rateExpiry {
		l.rate = l.configuredRate
	}
	return l.rate
}

// estimateTime returns the estimated time to transfer the bytes after those already
// queued.
func (l *storeLink) estimateTime(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.queuedBytes+bytes) / l.currentRate() * float64(time.Second))
}

// beginTransfer registers a foreground transfer of the expected size.
func (l *storeLink) beginTransfer(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes += bytes
	l.activeTransfers++
	if l.activeTransfers == 1 {
		l.updateUse(0)
		l.busySince, l.movedBytes, l.stalled = l.now(), 0, false
		l.idle = make(chan struct{})
	}
}

// endTransfer unregisters a foreground transfer of the expected size and records how
// many bytes it received and whether it stalled, that is, timed out. A busy period in
// which nothing was received and nothing stalled, as with misses, is not measured.
func (l *storeLink) endTransfer(bytes, received int64, stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= bytes
	l.movedBytes += received
	l.stalled = l.stalled || stalled
	l.activeTransfers--
	if l.activeTransfers > 0 {
		return
	}
	close(l.idle)
	busy := l.now().Sub(l.busySince)
	l.updateUse(1)
	if l.movedBytes > 0 || l.stalled {
		l.recordRate(l.movedBytes, busy, l.stalled)
	}
}

// recordRate records a measured rate. A stalled transfer counts even if it received
// nothing, so that the next estimates avoid the link. The caller holds the lock.
func (l *storeLink) recordRate(bytes int64, elapsed time.Duration, stalled bool) {
	if elapsed <= 0 || bytes > 0 && bytes < minRateSampleBytes {
		return
	}
	rate, previous := float64(max(1, bytes))/elapsed.Seconds(), l.currentRate()
	if stalled { // not smoothed, so that the next prompt doesn't wait for this link as well
		l.rate = min(rate, previous)
	} else {
		l.rate = previous + rateSmoothing*(rate-previous)
	}
	l.measuredAt = l.now()
}

// updateUse updates the moving average of the link's use. busy is 1 if the link was
// busy since the last update, and 0 if it was idle. The caller holds the lock.
func (l *storeLink) updateUse(busy float64) {
	w := min(1, l.now().Sub(l.useUpdatedAt).Seconds()/useAveragingWindow.Seconds())
	l.use += w * (busy - l.use)
	l.useUpdatedAt = l.now()
}

// recordBackground records the rate of a background transfer.
func (l *storeLink) recordBackground(bytes int64, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordRate(bytes, elapsed, false)
}

// state returns the link's rate and its use, the share of busy time.
func (l *storeLink) state() placement.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := 0.0
	if l.activeTransfers > 0 {
		busy = 1
	}
	l.updateUse(busy)
	return placement.Link{BytesPerSecond: l.currentRate(), Utilization: l.use}
}

// waitIdle waits until no foreground transfer is active.
func (l *storeLink) waitIdle(ctx context.Context) error {
	for {
		l.mu.Lock()
		idle, activeTransfers := l.idle, l.activeTransfers
		l.mu.Unlock()
		if activeTransfers == 0 {
			return ctx.Err()
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
