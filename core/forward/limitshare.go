package forward

import (
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Parts of an endpoint's limit. An endpoint accepts acceptedRatio times its limit over
// acceptedWindow and acceptedRequests more. The entries together send the limit, and
// burstRequests and the limit's requests of burstTime at once. The rest covers requests that
// arrive later than they were sent, and entries that don't agree on the members for a moment. See
// docs/decisions/0011-endpoint-limits.md.
const (
	acceptedRatio    = 1.5
	acceptedWindow   = 4 * time.Second
	acceptedRequests = 5
	burstRequests    = 4
	burstTime        = time.Second
	probeRate        = 0.5 // requests a second to an endpoint that takes fewer: only an answer ends a limit
)

// sharedBurst returns how many requests all entries together may send at once.
func sharedBurst(perSecond float64) float64 {
	window := acceptedWindow.Seconds()
	accepted := acceptedRatio*perSecond*window + acceptedRequests
	return min(burstRequests+perSecond*burstTime.Seconds(), accepted-max(perSecond, probeRate)*window)
}

// LimitShare is the part of an endpoint's limit that one entry may use. The zero value allows
// nothing.
type LimitShare struct {
	PerSecond float64
	Burst     float64 // requests that may be sent at once
}

// ShareLimit returns the part of each entry that may send requests to the endpoint, and whether
// self is one of them. Each needs a burst of one request at least, so a low limit is shared by few
// entries; rendezvous hashing chooses them without a message.
func ShareLimit(endpoint string, perSecond float64, self string, members []string) (LimitShare, bool) {
	burst := sharedBurst(perSecond)
	n := len(members)
	if burst < float64(n) {
		n = int(burst)
	}
	if n == 0 {
		return LimitShare{}, false
	}
	share := LimitShare{PerSecond: max(perSecond, probeRate) / float64(n), Burst: burst / float64(n)}
	if n == len(members) {
		return share, slices.Contains(members, self)
	}
	return share, slices.Contains(rendezvous.Top(rendezvous.Key([]byte(endpoint)), members, n), self)
}

// LimitGroup holds the entries among which the limits of endpoints are shared.
type LimitGroup struct {
	self       string
	members    []string // sorted
	generation uint64   // changes with members
}

// RecordMembers records the listed members and those that have reported lately: an entry that can't
// reach the log is no longer listed and doesn't know it. A process that is not listed has no part,
// so it must not be among those reporting to itself.
func (g *LimitGroup) RecordMembers(self string, listed, reporting []string) {
	members := slices.Concat(listed, reporting)
	slices.Sort(members)
	members = slices.Compact(members)
	if !slices.Equal(members, g.members) {
		g.self, g.members = self, members
		g.generation++
	}
}

// Size returns the number of entries among which limits are shared.
func (g *LimitGroup) Size() int { return len(g.members) }

// limitBucket lets requests through at the rate of a share.
type limitBucket struct {
	share    LimitShare
	tokens   float64
	filledAt time.Duration
}

// setShare changes the share and keeps the used part of the burst. A new bucket is empty: what
// was sent before the limit was known counts too.
func (b *limitBucket) setShare(s LimitShare, now time.Duration) {
	b.fill(now)
	switch {
	case b.share.Burst <= 0:
		b.tokens = 0
	case b.tokens > 0:
		b.tokens = min(b.tokens, s.Burst*b.tokens/b.share.Burst)
	}
	b.share = s
}

func (b *limitBucket) fill(now time.Duration) {
	if elapsed := now - b.filledAt; elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.share.PerSecond, b.share.Burst)
	}
	b.filledAt = now
}

// bucketInputs is what the share of a bucket depends on.
type bucketInputs struct {
	perSecond  float64
	generation uint64
}

// Refresh brings this process's part up to date with the limit and the members. It is called as the
// limit changes too, since the part counts from then on.
func (l *EndpointLimit) Refresh(endpoint string, g *LimitGroup, now time.Duration) {
	if l.PerSecond() == Unlimited {
		l.bucket, l.bucketFor = limitBucket{}, bucketInputs{}
		return
	}
	if inputs := (bucketInputs{l.PerSecond(), g.generation}); l.bucketFor != inputs {
		l.bucketFor = inputs
		share, ok := ShareLimit(endpoint, l.PerSecond(), g.self, g.members)
		if !ok {
			share = LimitShare{}
		}
		l.bucket.setShare(share, now)
	}
	l.bucket.fill(now)
}

// Allows reports whether this process may send a request to the endpoint now.
func (l *EndpointLimit) Allows(endpoint string, g *LimitGroup, now time.Duration) bool {
	if l.PerSecond() == Unlimited {
		return true
	}
	l.Refresh(endpoint, g, now)
	return l.bucket.tokens >= 1
}

// Spend counts a request that is sent to the endpoint. A call that can't wait may be sent although
// Allows returns false; the requests after it make up for it.
func (l *EndpointLimit) Spend(endpoint string, g *LimitGroup, now time.Duration) {
	if l.PerSecond() == Unlimited {
		return
	}
	l.Refresh(endpoint, g, now)
	l.bucket.tokens = max(l.bucket.tokens-1, -max(l.bucket.share.Burst, 1))
}

// Refund takes back Spend for a request of which nothing was sent.
func (l *EndpointLimit) Refund() {
	if l.PerSecond() != Unlimited {
		l.bucket.tokens = min(l.bucket.tokens+1, l.bucket.share.Burst)
	}
}

// MinInterval returns the time between two calls to an endpoint that together use its whole limit.
func (l *EndpointLimit) MinInterval() time.Duration {
	return time.Duration(float64(time.Second) / max(l.PerSecond(), probeRate))
}
