package callerconn

import (
	"container/list"
	"errors"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// Shares of the process's descriptors.
const (
	reservedDescriptors = 200 // for files, listeners, peers and control calls
	// callerShare leaves as many descriptors to connections to endpoints: each running request needs
	// one of either kind.
	callerShare  = 0.5
	minOpenConns = 16
	// scarcityCut is the part of the idle connections that is closed when no descriptor was left for
	// a new connection.
	scarcityCut = 0.25

	closedLogInterval = time.Second // between two log lines of the same kind
)

// maxOpenConns returns how many connections of callers may be open so that the process keeps
// descriptors for its other work.
func maxOpenConns() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		log.Warn().Str("event", "descriptor_limit_unread").Err(err).Msg("connections of callers are not limited by the descriptors of this process")
		return math.MaxInt
	}
	descriptors := float64(limit.Cur) - reservedDescriptors
	return max(int(descriptors*callerShare), minOpenConns)
}

// idleQueue holds idle connections in the order in which they became idle.
type idleQueue struct{ order list.List }

func (q *idleQueue) push(c *conn) { c.queued = q.order.PushBack(c) }

// remove takes a connection out. It does nothing if that was done already.
func (q *idleQueue) remove(c *conn) {
	if c.queued != nil {
		q.order.Remove(c.queued)
		c.queued = nil
	}
}

// pop takes the connection out that has been idle longest, nil if there is none.
func (q *idleQueue) pop() *conn {
	first := q.order.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*conn)
	q.remove(c)
	return c
}

// rateLimitedLog counts what is logged at most once an interval.
type rateLimitedLog struct {
	count    int
	loggedAt time.Time
}

// add counts n occurrences and reports whether they are to be logged.
func (r *rateLimitedLog) add(n int, now time.Time) bool {
	r.count += n
	if now.Before(r.loggedAt.Add(closedLogInterval)) {
		return false
	}
	r.loggedAt = now
	return true
}

// closeLongestIdle closes up to n connections, those first that have been idle longest. A request
// that has arrived on one of them is still answered. The caller holds the mutex.
func (cs *Conns) closeLongestIdle(n int) {
	now, closed := time.Now(), 0
	for ; closed < n; closed++ {
		c := cs.idleOrder.pop()
		if c == nil {
			break
		}
		p := cs.idle[c]
		cs.setPeriod(c, idlePeriod{since: p.since, until: now, surplus: true})
	}
	if closed > 0 && cs.surplusLog.add(closed, now) {
		log.Warn().Str("event", "idle_connections_surplus").Int("closed", cs.surplusLog.count).Int("open", cs.open).Int("idle", len(cs.idle)).Int("max", cs.maxOpen).Msg("callers hold as many connections as this process has descriptors for; those that were idle longest are closed")
	}
}

// closeSurplus closes as many idle connections as are open beyond the limit. The caller holds the
// mutex.
func (cs *Conns) closeSurplus() {
	closing := len(cs.idle) - cs.idleOrder.order.Len()
	cs.closeLongestIdle(cs.open - closing - cs.maxOpen)
}

// Crowded reports whether more connections are in use than may be open: a further request would
// take the descriptors that those of other callers need.
func (cs *Conns) Crowded() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open-len(cs.idle) > cs.maxOpen
}

// SetMaxOpen sets how many connections may be open before idle ones are closed early. It must be
// called before the first Listen.
func (cs *Conns) SetMaxOpen(n int) { cs.maxOpen = n }

// observeAcceptError logs that a connection could not be accepted, and makes room if descriptors
// are lacking. net/http tries again after a pause of 5 ms to 1 s, in which callers wait.
func (cs *Conns) observeAcceptError(err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.acceptLog.add(1, time.Now()) {
		log.Warn().Str("event", "accept_failed").Err(err).Int("failures", cs.acceptLog.count).Int("open", cs.open).Int("idle", len(cs.idle)).Msg("cannot accept connections; callers wait")
	}
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		cs.closeLongestIdle(max(int(scarcityCut*float64(len(cs.idle))), 1))
	}
}
