// Package limits implements rate limits per customer that several entries enforce
// together. Each entry grants a share of a customer's rate in proportion to the demand
// that it receives. Entries exchange their demand in reports, which may be delayed or
// lost.
package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ReportInterval is the time between two demand reports of an entry.
	ReportInterval = 2 * time.Second
	// staleAfter is the age from which the last report of an entry is ignored. It
	// allows for the loss of two consecutive reports.
	staleAfter = 3*ReportInterval + ReportInterval/2
	// demandSettleTime is the time for which this entry must have received requests
	// of a customer before other entries that do not report the customer are assumed
	// to have no demand for it.
	demandSettleTime = 2 * ReportInterval
	// demandHalfLife is the half-life of the decaying average of the demand.
	demandHalfLife = ReportInterval
	// reportDivisor sets the reporting threshold: a demand above
	// limit / (entries × reportDivisor) is reported. The unreported demand of all
	// entries together is therefore below an eighth of the limit.
	reportDivisor = 8
	// MaxReportLength is the maximum number of elements in a report, since reports are
	// carried in gossip messages.
	MaxReportLength = 32
	// maxRetryAfter is the maximum retry delay that is returned to a rejected caller.
	maxRetryAfter = time.Minute
	// idleAfter is the time without requests after which a customer's bucket is
	// removed if it is full.
	idleAfter = time.Minute
)

// Limit is a customer's rate limit for all entries together.
type Limit struct {
	TokensPerSecond float64
	BurstTokens     float64
}

// Demand is the demand of one customer at one entry. A Demand with an empty Customer
// only states that the entry is alive.
type Demand struct {
	Entry           string
	Customer        string
	TokensPerSecond float64
}

type bucket struct {
	limit       Limit
	tokens      float64 // available tokens; negative after a request larger than the burst
	demand      float64 // tokens per second, including rejected requests
	updated     time.Time
	demandStart time.Time // when the current period of demand started
	lastRequest time.Time // time of the last request
}

// peer is the last report of another entry.
type peer struct {
	lastReport time.Time
	demand     map[string]float64
}

// Limiter enforces the rate limits at one entry. It is not safe for concurrent use.
type Limiter struct {
	id           string
	otherEntries []string // the other live entries
	buckets      map[string]*bucket
	peers        map[string]*peer
}

// New returns the rate limiter of the entry with the ID.
func New(id string) *Limiter {
	return &Limiter{id: id, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetEntries sets the live entries, which may include this one.
func (l *Limiter) SetEntries(ids []string) {
	l.otherEntries = l.otherEntries[:0]
	for _, id := range ids {
		if id != l.id {
			l.otherEntries = append(l.otherEntries, id)
		}
	}
	for id := range l.peers {
		if !slices.Contains(l.otherEntries, id) {
			delete(l.peers, id)
		}
	}
}

// Take takes tokens from the customer's bucket. If there are not enough, it returns
// false and the time after which they are expected to be available. A request larger
// than the burst is granted when the bucket is full, and makes its balance negative.
func (l *Limiter) Take(customer string, limit Limit, tokens float64, now time.Time) (ok bool, retryAfter time.Duration) {
	b := l.buckets[customer]
	if b == nil {
		b = &bucket{tokens: limit.BurstTokens, updated: now, demandStart: now}
		l.buckets[customer] = b
	}
	b.limit = limit
	rate := l.refill(b, customer, now)
	if now.Sub(b.lastRequest) > staleAfter {
		b.demandStart = now
	}
	b.lastRequest = now
	// With this factor, the decaying sum of constant requests converges to their rate.
	b.demand += tokens * math.Ln2 / demandHalfLife.Seconds()
	need := min(tokens, limit.BurstTokens)
	if b.tokens < need {
		wait := time.Duration((need - b.tokens) / max(rate, math.SmallestNonzeroFloat32) * float64(time.Second))
		if wait < 0 || wait > maxRetryAfter { // negative after an overflow
			wait = maxRetryAfter
		}
		return false, wait.Truncate(time.Millisecond) + time.Millisecond // round up, since clients get the delay in milliseconds
	}
	b.tokens -= tokens
	return true, 0
}

// Refund returns tokens that were taken but not used to the customer's bucket.
func (l *Limiter) Refund(customer string, tokens float64) {
	if b := l.buckets[customer]; b != nil {
		b.tokens = min(b.tokens+tokens, b.limit.BurstTokens)
	}
}

// refill adds the tokens for the time since the last call to the bucket, decays the
// demand, and returns the refill rate in tokens per second.
func (l *Limiter) refill(b *bucket, customer string, now time.Time) float64 {
	rate := b.limit.TokensPerSecond * l.share(b, customer, now)
	elapsed := max(0, now.Sub(b.updated)).Seconds()
	b.tokens = min(b.tokens+rate*elapsed, b.limit.BurstTokens)
	b.demand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
	b.updated = now
	return rate
}

// share returns this entry's share of the customer's rate. An entry whose last report
// is stale, or that may not have reported a new demand yet, is assumed to have the
// same demand as this one, so that lost reports can't multiply the limit.
func (l *Limiter) share(b *bucket, customer string, now time.Time) float64 {
	ownDemand := max(b.demand, 1) // positive, so that an entry without demand has a share too
	totalDemand := ownDemand
	for _, id := range l.otherEntries {
		p := l.peers[id]
		if p == nil || now.Sub(p.lastReport) > staleAfter {
			totalDemand += ownDemand
			continue
		}
		d, reported := p.demand[customer]
		if !reported && now.Sub(b.demandStart) < demandSettleTime {
			d = ownDemand
		}
		totalDemand += d
	}
	return ownDemand / totalDemand
}

// Report returns this entry's demand for the other entries, in descending order. The
// first element has no customer and states that the entry is alive.
func (l *Limiter) Report(now time.Time) []Demand {
	out := []Demand{}
	entries := float64(len(l.otherEntries) + 1)
	for id, b := range l.buckets {
		l.refill(b, id, now)
		if b.demand > b.limit.TokensPerSecond/(entries*reportDivisor) {
			out = append(out, Demand{l.id, id, b.demand})
		}
		if now.Sub(b.lastRequest) > idleAfter && b.tokens >= b.limit.BurstTokens {
			delete(l.buckets, id)
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		if c := cmp.Compare(b.TokensPerSecond, a.TokensPerSecond); c != 0 {
			return c
		}
		return cmp.Compare(a.Customer, b.Customer)
	})
	out = out[:min(len(out), MaxReportLength-1)]
	return append([]Demand{{Entry: l.id}}, out...)
}

// ApplyReports applies reports of other entries that were sent at the given time. The
// demands of an entry replace its previous report. A report that is not newer than the
// entry's last one is ignored.
func (l *Limiter) ApplyReports(demands []Demand, sent time.Time) {
	newReports := map[string]*peer{}
	for _, d := range demands {
		if d.Entry == l.id || d.Entry == "" {
			continue
		}
		p := newReports[d.Entry]
		if p == nil {
			if old := l.peers[d.Entry]; old != nil && !sent.After(old.lastReport) {
				continue
			}
			p = &peer{lastReport: sent, demand: map[string]float64{}}
			newReports[d.Entry] = p
		}
		if d.Customer != "" && len(p.demand) < MaxReportLength {
			p.demand[d.Customer] = d.TokensPerSecond
		}
	}
	for id, p := range newReports {
		l.peers[id] = p
	}
}
