package forward

import (
	"math"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Parts of the bound on the requests that all entries together send to a warming endpoint in any
// one second. See docs/decisions/0018-warming-endpoints.md.
const (
	// usableBound leaves the rest of the bound to requests that are sent later than they were
	// placed, by up to MaxWarmUpSendDelay.
	usableBound = 0.9

	// sustainedRatio is by how much all entries together exceed the rate that the endpoint takes: part
	// of the shares goes unused, as an entry's demand comes in bursts.
	sustainedRatio = 1.3

	// WarmUpLease is how long a member list entitles an entry to its share after it was proved to be
	// current. A member that leaves keeps its share for so long, and a new one waits for so long.
	WarmUpLease = 2 * time.Second

	// MaxWarmUpSendDelay is the longest time from a placement on a warming endpoint until the
	// request is sent.
	MaxWarmUpSendDelay = 100 * time.Millisecond

	rampStep = 125 * time.Millisecond // after the warm-up the bound doubles this often
	rampTime = 4 * rampStep           // and then ends

	maxWarmUpStatement = time.Minute // longest time that a statement counts for
)

// WarmUpBounds limits the requests that a warming endpoint gets from all entries together. The zero
// value sets no bound.
type WarmUpBounds struct {
	PerSecond float64       // requests a second that the endpoint takes while it is warming up
	Ratio     float64       // it gets at most PerSecond x Ratio + Requests in any one second
	Requests  float64       // see Ratio
	Length    time.Duration // how long an endpoint warms up after its start
}

// Limited reports whether the bounds limit anything.
func (b WarmUpBounds) Limited() bool { return b.PerSecond > 0 }

// split returns how many requests all entries together send at once and a second, when the bound is
// scaled by a factor.
func (b WarmUpBounds) split(factor float64) (burst, perSecond float64) {
	usable := usableBound * factor * (b.PerSecond*b.Ratio + b.Requests)
	perSecond = min(sustainedRatio*factor*b.PerSecond, max(usable-1, 0))
	return usable - perSecond, perSecond
}

// WarmUpGroup holds the entries among which the bounds of warming endpoints are shared. The entries
// that may use a share at any time are members of the group at each other entry that may: a member
// list counts for WarmUpLease from the time at which it was proved to be current, a new member waits
// for that time, and a member that is missing stays for that time.
type WarmUpGroup struct {
	self       string
	listed     []string                 // sorted
	missing    map[string]time.Duration // members that left the list, until when they count
	members    []string                 // listed and missing, sorted
	generation uint64                   // changes with members
	nextExpiry time.Duration            // when a missing member no longer counts
	proof      Generation               // of the newest list
	provedAt   time.Duration            // when the list was last proved to be current
	waitUntil  time.Duration            // this process uses no share before
}

// RecordMembers records the members of a generation, which was proved to be current at provedAt. The
// log removes a member for which nothing has arrived for memberTTL. If self may have been removed and
// listed again since the last proof, others may have read a list without it, so it waits like a new
// member.
func (g *WarmUpGroup) RecordMembers(self string, listed []string, generation Generation, provedAt, memberTTL, now time.Duration) {
	removed := generation != g.proof && now >= g.provedAt+memberTTL
	if !slices.Contains(g.listed, self) || removed {
		g.waitUntil = now + WarmUpLease
	}
	if g.missing == nil {
		g.missing = map[string]time.Duration{}
	}
	for _, m := range g.listed {
		if !slices.Contains(listed, m) {
			g.missing[m] = now + WarmUpLease
		}
	}
	for _, m := range listed {
		delete(g.missing, m)
	}
	g.self, g.proof, g.provedAt = self, generation, provedAt
	if !slices.Equal(g.listed, listed) {
		g.listed = slices.Clone(listed)
		g.rebuild(now)
	}
}

// expire removes the members whose time has passed.
func (g *WarmUpGroup) expire(now time.Duration) {
	if len(g.missing) > 0 && now >= g.nextExpiry {
		g.rebuild(now)
	}
}

// rebuild computes the members that count now.
func (g *WarmUpGroup) rebuild(now time.Duration) {
	members := slices.Clone(g.listed)
	g.nextExpiry = math.MaxInt64
	for m, until := range g.missing {
		if now >= until {
			delete(g.missing, m)
			continue
		}
		members = append(members, m)
		g.nextExpiry = min(g.nextExpiry, until)
	}
	slices.Sort(members)
	members = slices.Compact(members)
	if !slices.Equal(members, g.members) {
		g.members = members
		g.generation++
	}
}

// Entitled reports whether this process may use its shares now.
func (g *WarmUpGroup) Entitled(now time.Duration) bool {
	return slices.Contains(g.listed, g.self) && now < g.provedAt+WarmUpLease && now >= g.waitUntil
}

// WarmUpShare returns the part of this process of what all entries together may send to a warming
// endpoint, with the bound scaled by a factor. Each entry with a part may send one request at once,
// so that few entries share an endpoint; rendezvous hashing chooses them without a message.
func WarmUpShare(endpoint string, b WarmUpBounds, factor float64, g *WarmUpGroup) LimitShare {
	burst, perSecond := b.split(factor)
	n := min(len(g.members), int(burst))
	if n <= 0 || !slices.Contains(rendezvous.Top(rendezvous.Key([]byte(endpoint)), g.members, n), g.self) {
		return LimitShare{}
	}
	return LimitShare{PerSecond: perSecond / float64(n), Burst: burst / float64(n)}
}

// WarmUp is what is known about the warm-up of one endpoint, and this process's part of its bound.
// The zero value is an endpoint that isn't warming up.
type WarmUp struct {
	told      time.Duration // end by the endpoint's own statements
	toldLeft  time.Duration // that the newest record stated
	heartbeat int64         // of that record, also if a peer has read it first
	presumed  time.Duration // end by what happened to the endpoint
	since     int64         // heartbeat after which a record ends the presumption
	firstHand bool          // the end was not told by a peer

	reportedAt time.Duration
	bucket     limitBucket
	bucketFor  warmUpInputs
}

// warmUpInputs is what the share of a bucket depends on.
type warmUpInputs struct {
	generation uint64
	factor     float64
	bounds     WarmUpBounds
	entitled   bool
}

// Until returns when the warm-up ends.
func (w *WarmUp) Until() time.Duration { return max(w.told, w.presumed) }

// Active reports whether the endpoint counts as warming up.
func (w *WarmUp) Active(now time.Duration) bool { return now < w.Until() }

// Bounded reports whether requests to the endpoint are limited: until the ramp after its warm-up
// ends.
func (w *WarmUp) Bounded(b WarmUpBounds, now time.Duration) bool {
	return b.Limited() && w.Until() > 0 && now < w.Until()+rampTime
}

// extend records an end of the warm-up. It reports whether the endpoint has just begun to count as
// warming up.
func (w *WarmUp) extend(end *time.Duration, until time.Duration, firstHand bool, now time.Duration) bool {
	before := w.Active(now)
	if until > *end {
		*end = until
		w.firstHand = w.firstHand && before || firstHand
	}
	return !before && w.Active(now)
}

// ObserveRecord records what a record of the endpoint says, read by this process or by a peer. Records
// of one start come in order, so a newer one may end a warm-up that an older one stated or that was
// presumed. A record says no more when it is read again later: it is some time old by then. While the
// stated time falls, each record bounds the same end. It reports whether the endpoint has just begun to
// count as warming up.
func (w *WarmUp) ObserveRecord(left time.Duration, heartbeat int64, firstHand bool, now time.Duration) bool {
	if heartbeat > w.since && left <= 0 {
		w.presumed = min(w.presumed, now)
	}
	if heartbeat <= w.heartbeat {
		return false
	}
	falls := w.Active(now) && left < w.toldLeft
	w.heartbeat, w.toldLeft = heartbeat, left
	until := now + min(max(left, 0), maxWarmUpStatement)
	if falls || left <= 0 {
		w.told = min(w.told, until)
		return false
	}
	return w.extend(&w.told, until, firstHand, now)
}

// Observe records that an answer of the endpoint, or a peer, says for how much longer the endpoint is
// warming up.
func (w *WarmUp) Observe(left time.Duration, firstHand bool, now time.Duration) bool {
	if left <= 0 {
		return false // an answer may be older than the start of the warm-up
	}
	return w.extend(&w.told, now+min(left, maxWarmUpStatement), firstHand, now)
}

// Presume records that the endpoint may be warming up, until a record with a later heartbeat than
// the given one says otherwise.
func (w *WarmUp) Presume(length time.Duration, heartbeat int64, now time.Duration) bool {
	w.since = max(w.since, heartbeat)
	return w.extend(&w.presumed, now+min(length, maxWarmUpStatement), true, now)
}

// warmUpReportInterval is how often the peers are told of the same warm-up: a report may be lost.
const warmUpReportInterval = 500 * time.Millisecond

// Heartbeat returns the heartbeat of the newest record that is known, 0 if the end of the warm-up
// isn't from a record.
func (w *WarmUp) Heartbeat() int64 {
	if w.presumed > w.told {
		return 0
	}
	return w.heartbeat
}

// ReportDue returns how much longer the endpoint is warming up if the peers are to be told. What a
// peer has told isn't passed on, as its age would be lost.
func (w *WarmUp) ReportDue(now time.Duration) (left time.Duration, due bool) {
	if !w.firstHand || !w.Active(now) || w.reportedAt > 0 && now < w.reportedAt+warmUpReportInterval {
		return 0, false
	}
	return w.Until() - now, true
}

// RecordReport records that the peers are told.
func (w *WarmUp) RecordReport(now time.Duration) { w.reportedAt = now }

// factor returns by how much the bound is scaled: it grows in steps after the warm-up, so that the
// endpoint gets its usual load without a jump.
func (w *WarmUp) factor(now time.Duration) float64 {
	after := now - w.Until()
	if after < 0 {
		return 1
	}
	return math.Exp2(float64(after/rampStep) + 1)
}

// refresh brings this process's part up to date.
func (w *WarmUp) refresh(endpoint string, b WarmUpBounds, g *WarmUpGroup, now time.Duration) {
	g.expire(now)
	if in := (warmUpInputs{g.generation, w.factor(now), b, g.Entitled(now)}); in != w.bucketFor {
		w.bucketFor = in
		share := LimitShare{}
		if in.entitled {
			share = WarmUpShare(endpoint, b, in.factor, g)
		}
		w.bucket.setShare(share, now)
	}
	w.bucket.fill(now)
}

// Allows reports whether this process may send a request to the endpoint now.
func (w *WarmUp) Allows(endpoint string, b WarmUpBounds, g *WarmUpGroup, now time.Duration) bool {
	if !w.Bounded(b, now) {
		return true
	}
	w.refresh(endpoint, b, g, now)
	return w.bucket.tokens >= 1
}

// Spend counts a request that is sent to the endpoint, and reports whether it may be sent.
func (w *WarmUp) Spend(endpoint string, b WarmUpBounds, g *WarmUpGroup, now time.Duration) bool {
	if !w.Allows(endpoint, b, g, now) {
		return false
	}
	if w.Bounded(b, now) {
		w.bucket.tokens--
	}
	return true
}

// Share returns this process's part now, for operators.
func (w *WarmUp) Share(endpoint string, b WarmUpBounds, g *WarmUpGroup, now time.Duration) LimitShare {
	w.refresh(endpoint, b, g, now)
	return w.bucket.share
}

// ReportedAt returns when the peers were last told.
func (w *WarmUp) ReportedAt() time.Duration { return w.reportedAt }
