package forward

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Cache stores keep parts of prompts that endpoints have read. A managed store
// drops nothing by itself and doesn't know who reads from it, so that the entries
// keep these rules:
//
//   - a part is fetched only when the store has reported it whole, in the same
//     incarnation, at most storeTrust ago, and the fetch ends within FetchWindow;
//   - a part of older weights is fetched until retireAfter from the naming of newer
//     ones, and freed no earlier than freeAfter;
//   - a store that restarted gets nothing before all entries must have noticed.
const (
	storeTrust   = 1700 * time.Millisecond // since the start of the last read of its events
	FetchWindow  = 1300 * time.Millisecond // from the decision to the end of a fetch
	configTrust  = 3200 * time.Millisecond // since the last read of the operators' records
	retireAfter  = 4500 * time.Millisecond
	freeAfter    = retireAfter + configTrust + FetchWindow + 500*time.Millisecond
	restartPause = storeTrust + FetchWindow + 500*time.Millisecond
	pendingLimit = 4 * time.Second // a save that isn't whole by then is tried again
	partialLimit = 8 * time.Second // a part that is not whole by then broke off
	storeFill    = 0.97            // of a store's room
	blockTokens  = 16              // room is given in blocks
	freeBatch    = 200             // parts in one call
)

// Salt names the parts that may be shared: by the sharing group and the weights.
func Salt(group, model string, version int64) string {
	return group + "@" + model + "/" + strconv.FormatInt(version, 10)
}

// SaltWeights returns the model and the weight version that a salt names.
func SaltWeights(salt string) (model string, version int64, ok bool) {
	_, rest, ok := strings.Cut(salt, "@")
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(rest[i+1:], 10, 64)
	return rest[:i], version, err == nil
}

// StoredPart is a part that a store reports.
type StoredPart struct {
	Salt, ID string
	Tokens   int
}

// StoreEvent is a change of a store's parts.
type StoreEvent struct {
	Added bool // whole now
	Part  StoredPart
}

// StoreList is all that a store keeps.
type StoreList struct {
	Epoch   int64 // changes when the store restarts
	Next    int64 // events to read from
	ClockMs float64
	Held    []StoredPart
	Partial []StoredPart // being written or broken off; Tokens are those reserved
}

// StoreEvents is what changed since an earlier read.
type StoreEvents struct {
	Epoch   int64
	Next    int64
	ClockMs float64
	Gap     bool // events are missing; list the store
	Events  []StoreEvent
}

// StoreView is what this process believes of one store.
type StoreView struct {
	Name     string
	Address  string
	Domain   string
	Capacity int

	known     bool
	epoch     int64
	next      int64
	confirmed time.Duration
	offset    float64 // ms that the store's clock is ahead of this process's
	saveFrom  time.Duration
	held      map[uint64]StoredPart
	partial   map[uint64]partialPart
	pending   map[uint64]pendingSave
	used      int
	reserved  int

	observed   float64 // tokens in a ms, 0 before the first observation
	observedAt time.Duration
}

type partialPart struct {
	part  StoredPart
	since time.Duration
}

type pendingSave struct {
	tokens int
	until  time.Duration
}

func room(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// NewStoreView returns the view of a store of which nothing is known yet.
func NewStoreView(s Service) *StoreView {
	return &StoreView{
		Name: s.Name, Address: s.StoreAddress, Domain: s.FailureDomain, Capacity: s.CapacityTokens,
		held: map[uint64]StoredPart{}, partial: map[uint64]partialPart{}, pending: map[uint64]pendingSave{},
	}
}

// Cursor returns the event to read from, false when the store is to be listed.
func (v *StoreView) Cursor() (int64, bool) { return v.next, v.known }

// Epoch returns the store's incarnation.
func (v *StoreView) Epoch() int64 { return v.epoch }

// restarted forgets all when the store has another incarnation than before.
func (v *StoreView) restarted(epoch int64, now time.Duration) bool {
	if v.epoch == epoch {
		return false
	}
	first := v.epoch == 0
	v.epoch, v.known, v.used = epoch, false, 0
	clear(v.held)
	clear(v.partial)
	clear(v.pending)
	v.reserved = 0
	// Also at the first sight of a store: it may have restarted just before.
	v.saveFrom = now + restartPause
	return !first
}

// Listed takes a list whose read began at the time started. It returns true when
// the store has restarted.
func (v *StoreView) Listed(l StoreList, started, now time.Duration) bool {
	restarted := v.restarted(l.Epoch, now)
	v.known, v.next, v.confirmed = true, l.Next, started
	v.offset = l.ClockMs - milliseconds(now)
	clear(v.held)
	v.used = 0
	for _, p := range l.Held {
		v.add(p)
	}
	old := v.partial
	v.partial = map[uint64]partialPart{}
	for _, p := range l.Partial {
		k := PartKey(p.Salt, p.ID)
		since := now
		if o, ok := old[k]; ok {
			since = o.since
		}
		v.partial[k] = partialPart{p, since}
		v.used += room(p.Tokens)
	}
	return restarted
}

// Changed takes events whose read began at the time started. It returns true when
// the store is to be listed.
func (v *StoreView) Changed(e StoreEvents, started, now time.Duration) (list, restarted bool) {
	if v.restarted(e.Epoch, now) || !v.known {
		return true, true
	}
	v.confirmed, v.next = started, e.Next
	v.offset = e.ClockMs - milliseconds(now)
	for _, ev := range e.Events {
		if ev.Added {
			v.add(ev.Part)
		} else {
			v.drop(PartKey(ev.Part.Salt, ev.Part.ID))
		}
	}
	v.known = !e.Gap
	return e.Gap, false
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (v *StoreView) add(p StoredPart) {
	k := PartKey(p.Salt, p.ID)
	v.drop(k)
	v.held[k] = p
	v.used += room(p.Tokens)
	if s, ok := v.pending[k]; ok {
		v.reserved -= room(s.tokens)
		delete(v.pending, k)
	}
}

func (v *StoreView) drop(k uint64) {
	if p, ok := v.held[k]; ok {
		v.used -= room(p.Tokens)
		delete(v.held, k)
	}
	if p, ok := v.partial[k]; ok {
		v.used -= room(p.part.Tokens)
		delete(v.partial, k)
	}
}

func (v *StoreView) trusted(now time.Duration) bool { return v.known && now-v.confirmed < storeTrust }

// Used returns the tokens of the parts that are held, being written or about to be.
func (v *StoreView) Used() int { return v.used + v.reserved }

// Clock returns the store's clock in ms at the time.
func (v *StoreView) Clock(at time.Duration) float64 { return v.offset + milliseconds(at) }

// maySave tells whether a part may be written to the store now.
func (v *StoreView) maySave(k uint64, tokens int, now time.Duration) bool {
	if !v.trusted(now) || now < v.saveFrom {
		return false
	}
	if _, ok := v.partial[k]; ok {
		return false
	}
	for k, s := range v.pending {
		if now >= s.until {
			v.reserved -= room(s.tokens)
			delete(v.pending, k)
		}
	}
	if _, ok := v.pending[k]; ok {
		return false
	}
	return float64(v.Used()+room(tokens)) <= storeFill*float64(v.Capacity)
}

// Saving records that this process or a peer has a part written to the store.
func (v *StoreView) Saving(k uint64, tokens int, now time.Duration) {
	if _, ok := v.pending[k]; ok {
		return
	}
	if _, ok := v.held[k]; ok {
		return
	}
	v.pending[k] = pendingSave{tokens, now + pendingLimit}
	v.reserved += room(tokens)
}

// Broken returns the parts that broke off while they were written.
func (v *StoreView) Broken(now time.Duration) []StoredPart {
	var out []StoredPart
	for _, p := range v.partial {
		if now >= p.since+partialLimit && len(out) < freeBatch {
			out = append(out, p.part)
		}
	}
	return out
}

// Retired returns parts of weights that are no longer used.
func (v *StoreView) Retired(retired func(model string, version int64) bool) []StoredPart {
	var out []StoredPart
	for _, p := range v.held {
		if m, n, ok := SaltWeights(p.Salt); ok && retired(m, n) && len(out) < freeBatch {
			out = append(out, p)
		}
	}
	return out
}

// Source is where a part of a prompt is fetched from: a store, or another endpoint.
type Source struct {
	Address string // "" for none
	Store   *StoreView
	Ms      float64 // expected time of the fetch
}

// StorePlan says for each shared part of a prompt where it is fetched from and
// which store it is saved to, nil for none.
type StorePlan struct {
	Fetch []Source
	Save  []*StoreView
}

// Time of a fetch from a store. The link of the slowest tier gives the rate to begin
// with; a transfer that others hold up is noticed by the requests that waited for it.
const (
	storePerMs   = 180.0 // tokens
	storeFirstMs = 8.0
	minPerMs     = 2.0
	maxPerMs     = 500.0
	rateWeight   = 0.2             // of a new observation
	rateMemory   = 4 * time.Second // after which an observation counts for a third
)

// fetchMs is the expected time to fetch tokens from the store.
func (v *StoreView) fetchMs(tokens int, now time.Duration) float64 {
	return storeFirstMs + float64(tokens)/v.rate(now)
}

func (v *StoreView) rate(now time.Duration) float64 {
	if v.observed == 0 {
		return storePerMs
	}
	w := math.Exp(-float64(now-v.observedAt) / float64(rateMemory))
	return math.Exp(w*math.Log(v.observed) + (1-w)*math.Log(storePerMs))
}

// Observe takes the time that a fetch of tokens took.
func (v *StoreView) Observe(tokens int, ms float64, now time.Duration) {
	r := min(max(float64(tokens)/max(ms-storeFirstMs, 1), minPerMs), maxPerMs)
	v.observed = math.Exp((1-rateWeight)*math.Log(v.rate(now)) + rateWeight*math.Log(r))
	v.observedAt = now
}

// PlanStores looks the shared parts of a prompt up. Every entry saves a part to the
// same store, found by hashing with the stores' room as weights.
func PlanStores(stores []*StoreView, p *Prompt, salt string, now time.Duration) StorePlan {
	shared := p.Shared()
	plan := StorePlan{Fetch: make([]Source, len(shared)), Save: make([]*StoreView, len(shared))}
	for i, part := range shared {
		k := PartKey(salt, part.ID)
		pending := false
		for _, v := range stores {
			if _, ok := v.held[k]; ok && v.trusted(now) {
				if ms := v.fetchMs(part.Tokens, now); plan.Fetch[i].Store == nil || ms < plan.Fetch[i].Ms {
					plan.Fetch[i] = Source{v.Address, v, ms}
				}
			}
			if s, ok := v.pending[k]; ok && now < s.until {
				pending = true
			}
		}
		if plan.Fetch[i].Store == nil && !pending {
			plan.Save[i] = saveTarget(stores, k, part.Tokens, now)
		}
	}
	return plan
}

// saveTarget returns the store with the highest weighted score that has room.
func saveTarget(stores []*StoreView, k uint64, tokens int, now time.Duration) *StoreView {
	var best *StoreView
	bestScore := math.Inf(-1)
	for _, v := range stores {
		if !v.maySave(k, tokens, now) {
			continue
		}
		h := xxhash.Sum64String(strconv.FormatUint(k, 16) + v.Name)
		u := (float64(h>>11) + 0.5) / (1 << 53)
		if score := float64(v.Capacity) / -math.Log(u); score > bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// Retirement tells which weights are retired, by the rollout's names.
func (r *Rollout) Retirement(model string, version int64) (time.Duration, bool) {
	for _, t := range r.targets[model] {
		if t.version > version {
			return t.named, true
		}
	}
	return 0, false
}

// Fetchable tells whether parts of the weights may be fetched now.
func (r *Rollout) Fetchable(model string, version int64, now time.Duration) bool {
	named, retired := r.Retirement(model, version)
	return !retired || now < named+retireAfter
}

// Freeable tells whether parts of the weights may be freed now.
func (r *Rollout) Freeable(model string, version int64, now time.Duration) bool {
	for _, t := range r.targets[model] {
		if t.version > version {
			return now >= t.learned+freeAfter
		}
	}
	return false
}

// SortStores orders views by name, so that all entries see them alike.
func SortStores(vs []*StoreView) {
	slices.SortFunc(vs, func(a, b *StoreView) int { return cmp.Compare(a.Name, b.Name) })
}
