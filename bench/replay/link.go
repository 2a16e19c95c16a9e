package replay

import (
	"maps"
	"slices"
	"time"
)

// chunkBytes is the unit in which a link serves transfers, so that a foreground
// transfer waits for little of a background one: 6 ms at 5 GB/s.
const chunkBytes = 32 << 20

// backgroundShare caps what background transfers use of a link (design 9.7).
const backgroundShare = 0.5

// level is a transfer's precedence.
type level int

const (
	foreground level = iota
	overShare        // a fetch of a customer above its share of the link
	background       // an export
	levels
)

// transfer moves cache blocks over a link.
type transfer struct {
	bytes float64
	level level
	done  func(ok bool)
}

// link is limited in bytes per second. Foreground transfers go first, in order
// of arrival; background ones use what is left, under a cap.
type link struct {
	c        *clock
	rate     float64 // bytes per second, the limit
	factor   float64 // of the rate that is left
	down     bool
	epoch    int // rises when the link goes down
	busy     bool
	queues   [levels][]*transfer
	queued   [levels]float64 // bytes
	nextBack time.Duration   // when the cap allows the next background chunk
	waking   bool            // an event for it is scheduled

	moved    float64           // bytes so far
	perSlice map[int64]float64 // bytes by whole second, to check the limit
}

func newLink(c *clock, rate float64) *link {
	return &link{c: c, rate: rate, factor: 1, perSlice: map[int64]float64{}}
}

func (l *link) speed() float64 { return l.rate * l.factor }

// wait is the time until a new transfer of the level would begin.
func (l *link) wait(v level) time.Duration {
	bytes := 0.0
	for _, q := range l.queued[:v+1] {
		bytes += q
	}
	return seconds(bytes / l.speed())
}

func (l *link) send(t *transfer) {
	if l.down {
		l.c.after(0, func() { t.done(false) })
		return
	}
	l.queues[t.level] = append(l.queues[t.level], t)
	l.queued[t.level] += t.bytes
	l.pump()
}

func (l *link) pump() {
	if l.busy || l.down {
		return
	}
	v := foreground
	for v < levels && len(l.queues[v]) == 0 {
		v++
	}
	if v == levels {
		return
	}
	if v == background && l.c.now < l.nextBack {
		if !l.waking {
			l.waking = true
			l.c.at(l.nextBack, func() { l.waking = false; l.pump() })
		}
		return
	}
	queue := &l.queues[v]
	t := (*queue)[0]
	n := min(t.bytes, chunkBytes)
	l.busy = true
	epoch := l.epoch
	took := seconds(n / l.speed())
	start := l.c.now
	l.c.after(took, func() {
		if epoch != l.epoch {
			return
		}
		l.busy = false
		l.account(n, start)
		t.bytes -= n
		l.queued[v] -= n
		if v == background {
			l.nextBack = start + time.Duration(float64(took)/backgroundShare)
		}
		if t.bytes <= 0 {
			*queue = (*queue)[1:]
			t.done(true)
		}
		l.pump()
	})
}

// account spreads the bytes over the whole seconds in which they moved.
func (l *link) account(n float64, start time.Duration) {
	l.moved += n
	took := l.c.now - start
	for at := start; at < l.c.now; {
		end := min((at/time.Second+1)*time.Second, l.c.now)
		l.perSlice[int64(at/time.Second)] += n * float64(end-at) / float64(took)
		at = end
	}
}

// fail ends all transfers without success.
func (l *link) fail() {
	l.down, l.busy = true, false
	l.epoch++
	for _, t := range slices.Concat(l.queues[:]...) {
		l.c.after(0, func() { t.done(false) })
	}
	l.queues, l.queued = [levels][]*transfer{}, [levels]float64{}
}

// use returns the mean share of the limit that was used until the end, and the
// highest share in any second.
func (l *link) use(end time.Duration) (mean, peak float64) {
	until, moved := int64(end/time.Second), 0.0
	for _, second := range slices.Sorted(maps.Keys(l.perSlice)) {
		peak = max(peak, l.perSlice[second]/l.rate)
		if second < until {
			moved += l.perSlice[second]
		}
	}
	return moved / (l.rate * float64(max(1, until))), peak
}
