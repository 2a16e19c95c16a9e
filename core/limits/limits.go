// Package limits holds one entry's part of the customers' rate limits. Each entry
// grants a share of a customer's rate that is proportional to the demand that it
// sees; entries learn of each other's demand through reports that may be late or
// lost.
package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ReportInterval is the time between two reports of an entry.
	ReportInterval = 2 * time.Second
	// staleAfter is the age from which the last report of an entry counts for
	// nothing: two may be lost in a row.
	staleAfter = 3*ReportInterval + ReportInterval/2
	// settleTime is how long a new demand must last before the silence of other
	// entries about the customer means that they see none.
	settleTime = 2 * ReportInterval
	// demandWindow is the half-life of the measured demand.
	demandWindow = ReportInterval
	// reportShare: a demand above limit / (entries × reportShare) is reported. What
	// all entries together leave out is below an eighth of the limit.
	reportShare = 8
	// MaxReported bounds a report, which rides on gossip messages.
	MaxReported = 32
	// maxRetryAfter bounds the time after which a refused caller is told to retry.
	maxRetryAfter = time.Minute
	// idleAfter is the time without requests after which a customer is forgotten,
	// if its bucket is full.
	idleAfter = time.Minute
)

// Limit is a customer's limit over all entries.
type Limit struct {
	TokensPerSecond float64
	BurstTokens     float64
}

// Usage is the demand for one customer at one entry. An empty customer says only
// that the entry is alive.
type Usage struct {
	Entry           string
	Customer        string
	TokensPerSecond float64
}

type bucket struct {
	limit   Limit
	level   float64 // tokens; negative after a request larger than the level
	demand  float64 // tokens per second, granted or not
	at      time.Time
	since   time.Time // begin of the present demand
	offered time.Time // last request
}

type peer struct {
	heard  time.Time
	demand map[string]float64
}

// Limits is the state of one entry. It isn't safe for concurrent use.
type Limits struct {
	id      string
	entries []string // the others that are live
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns an entry's limits.
func New(id string) *Limits {
	return &Limits{id: id, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetEntries names the live entries; this one may be among them.
func (l *Limits) SetEntries(ids []string) {
	l.entries = l.entries[:0]
	for _, id := range ids {
		if id != l.id {
			l.entries = append(l.entries, id)
		}
	}
	for id := range l.peers {
		if !slices.Contains(l.entries, id) {
			delete(l.peers, id)
		}
	}
}

// Take asks for tokens of the customer. If they are refused, it returns the time
// after which they would be granted. A request larger than the burst is granted
// when the bucket is full, and leaves it in debt.
func (l *Limits) Take(customer string, limit Limit, tokens float64, now time.Time) (ok bool, retryAfter time.Duration) {
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{level: limit.BurstTokens, at: now, since: now}
		l.buckets[customer] = b
	}
	b.limit = limit
	rate := l.advance(b, customer, now)
	if now.Sub(b.offered) > staleAfter {
		b.since = now
	}
	b.offered = now
	b.demand += tokens * math.Ln2 / demandWindow.Seconds()
	need := min(tokens, limit.BurstTokens)
	if b.level < need {
		wait := time.Duration((need - b.level) / max(rate, math.SmallestNonzeroFloat32) * float64(time.Second))
		if wait < 0 || wait > maxRetryAfter {
			wait = maxRetryAfter
		}
		return false, wait.Truncate(time.Millisecond) + time.Millisecond // callers count in milliseconds
	}
	b.level -= tokens
	return true, 0
}

// Refund gives back tokens that were taken but not used.
func (l *Limits) Refund(customer string, tokens float64) {
	if b := l.buckets[customer]; b != nil {
		b.level = min(b.level+tokens, b.limit.BurstTokens)
	}
}

// advance refills the bucket and ages the demand; it returns the rate of refill.
func (l *Limits) advance(b *bucket, customer string, now time.Time) float64 {
	rate := b.limit.TokensPerSecond * l.share(b, customer, now)
	d := max(0, now.Sub(b.at)).Seconds()
	b.level = min(b.level+rate*d, b.limit.BurstTokens)
	b.demand *= math.Exp2(-d / demandWindow.Seconds())
	b.at = now
	return rate
}

// share returns this entry's share of the customer's rate. An entry that was not
// heard of lately, or that can't have reported a new demand yet, is taken to see
// the same demand as this one, so that lost reports can't multiply the limit.
func (l *Limits) share(b *bucket, customer string, now time.Time) float64 {
	own := max(b.demand, 1)
	all := own
	for _, id := range l.entries {
		p := l.peers[id]
		if p == nil || now.Sub(p.heard) > staleAfter {
			all += own
			continue
		}
		d, reported := p.demand[customer]
		if !reported && now.Sub(b.since) < settleTime {
			d = own
		}
		all += d
	}
	return own / all
}

// Report returns what the other entries need to know, heaviest first. It always
// begins with a sign of life.
func (l *Limits) Report(now time.Time) []Usage {
	out := []Usage{}
	entries := float64(len(l.entries) + 1)
	for id, b := range l.buckets {
		l.advance(b, id, now)
		if b.demand > b.limit.TokensPerSecond/(entries*reportShare) {
			out = append(out, Usage{l.id, id, b.demand})
		}
		if now.Sub(b.offered) > idleAfter && b.level >= b.limit.BurstTokens {
			delete(l.buckets, id)
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		if c := cmp.Compare(b.TokensPerSecond, a.TokensPerSecond); c != 0 {
			return c
		}
		return cmp.Compare(a.Customer, b.Customer)
	})
	out = out[:min(len(out), MaxReported-1)]
	return append([]Usage{{Entry: l.id}}, out...)
}

// Observe takes the reports of other entries, as they were sent at the time. All
// usages of one entry in a call replace what it reported before; an older report
// than the last is ignored.
func (l *Limits) Observe(usages []Usage, sent time.Time) {
	fresh := map[string]*peer{}
	for _, u := range usages {
		if u.Entry == l.id || u.Entry == "" {
			continue
		}
		p := fresh[u.Entry]
		if p == nil {
			if old := l.peers[u.Entry]; old != nil && !sent.After(old.heard) {
				continue
			}
			p = &peer{heard: sent, demand: map[string]float64{}}
			fresh[u.Entry] = p
		}
		if u.Customer != "" && len(p.demand) < MaxReported {
			p.demand[u.Customer] = u.TokensPerSecond
		}
	}
	for id, p := range fresh {
		l.peers[id] = p
	}
}
