package replay

import (
	"maps"
	"slices"
	"time"
)

// chunkBytes is the unit in which a link serves transfers. It is small, so that a
// foreground transfer waits only briefly for a background one: 6 ms at 5 GB/s.
const chunkBytes = 32 << 20

// backgroundShare is the maximum share of a link that background transfers use
// (design section 9.7).
const backgroundShare = 0.5

// transferPriority is the priority of a transfer; lower values are served first.
type transferPriority int

const (
	foreground transferPriority = iota
	overShare                   // fetch for a customer above its share of the link
	background                  // export
	transferPriorityCount
)

// transfer moves cache blocks over a link.
type transfer struct {
	bytes    float64
	priority transferPriority
	done     func(ok bool)
}

// link is a fake link with limited bandwidth. Foreground transfers are served first,
// in order of arrival. Background transfers use the remaining bandwidth, up to a
// limit.
type link struct {
	clock            *clock
	bytesPerSecond   float64 // bandwidth limit
	rateFactor       float64 // share of the bandwidth limit that is available
	down             bool
	epoch            int // incremented when the link goes down; a chunk of an earlier epoch is dropped
	busy             bool
	queues           [transferPriorityCount][]*transfer
	queuedBytes      [transferPriorityCount]float64 // by priority
	nextBackgroundAt time.Duration                  // when backgroundShare allows the next background chunk
	wakeScheduled    bool                           // whether an event at nextBackgroundAt is scheduled

	movedBytes    float64           // total since the start
	bytesBySecond map[int64]float64 // moved bytes per second of virtual time, to check the limit
}

func newLink(c *clock, rate float64) *link {
	return &link{clock: c, bytesPerSecond: rate, rateFactor: 1, bytesBySecond: map[int64]float64{}}
}

func (l *link) currentRate() float64 { return l.bytesPerSecond * l.rateFactor }

// wait returns the time until a new transfer of the priority would start.
func (l *link) wait(p transferPriority) time.Duration {
	bytes := 0.0
	for _, queued := range l.queuedBytes[:p+1] {
		bytes += queued
	}
	return seconds(bytes / l.currentRate())
}

func (l *link) send(t *transfer) {
	if l.down {
		l.clock.after(0, func() { t.done(false) })
		return
	}
	l.queues[t.priority] = append(l.queues[t.priority], t)
	l.queuedBytes[t.priority] += t.bytes
	l.sendNextChunk()
}

// sendNextChunk sends one chunk of the first transfer with the highest priority and
// then continues with the next chunk. It does nothing while a chunk is in progress.
func (l *link) sendNextChunk() {
	if l.busy || l.down {
		return
	}
	p := foreground
	for p < transferPriorityCount && len(l.queues[p]) == 0 {
		p++
	}
	if p == transferPriorityCount {
		return
	}
	if p == background && l.clock.now < l.nextBackgroundAt {
		if !l.wakeScheduled {
			l.wakeScheduled = true
			l.clock.at(l.nextBackgroundAt, func() { l.wakeScheduled = false; l.sendNextChunk() })
		}
		return
	}
	queue := &l.queues[p]
	t := (*queue)[0]
	n := min(t.bytes, chunkBytes)
	l.busy = true
	epoch := l.epoch
	duration := seconds(n / l.currentRate())
	start := l.clock.now
	l.clock.after(duration, func() {
		if epoch != l.epoch {
			return
		}
		l.busy = false
		l.recordBytes(n, start)
		t.bytes -= n
		l.queuedBytes[p] -= n
		if p == background {
			l.nextBackgroundAt = start + time.Duration(float64(duration)/backgroundShare)
		}
		if t.bytes <= 0 {
			*queue = (*queue)[1:]
			t.done(true)
		}
		l.sendNextChunk()
	})
}

// recordBytes adds a chunk of n bytes, sent from start until now, to the counters
// per second in proportion to the time in each second.
func (l *link) recordBytes(n float64, start time.Duration) {
	l.movedBytes += n
	duration := l.clock.now - start
	for at := start; at < l.clock.now; {
		end := min((at/time.Second+1)*time.Second, l.clock.now)
		l.bytesBySecond[int64(at/time.Second)] += n * float64(end-at) / float64(duration)
		at = end
	}
}

// fail takes the link down and fails all its transfers.
func (l *link) fail() {
	l.down, l.busy = true, false
	l.epoch++
	for _, t := range slices.Concat(l.queues[:]...) {
		l.clock.after(0, func() { t.done(false) })
	}
	l.queues, l.queuedBytes = [transferPriorityCount][]*transfer{}, [transferPriorityCount]float64{}
}

// utilization returns the mean share of the bandwidth limit that was used until end, and
// the highest share in any second.
func (l *link) utilization(end time.Duration) (mean, peak float64) {
	until, moved := int64(end/time.Second), 0.0
	for _, second := range slices.Sorted(maps.Keys(l.bytesBySecond)) {
		peak = max(peak, l.bytesBySecond[second]/l.bytesPerSecond)
		if second < until {
			moved += l.bytesBySecond[second]
		}
	}
	return moved / (l.bytesPerSecond * float64(max(1, until))), peak
}
