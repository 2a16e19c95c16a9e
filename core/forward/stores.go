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

// Cache stores keep prompt parts that endpoints have prefilled. A managed store
// (Service.NoAutoEviction) never evicts parts by itself and does not know its readers,
// so the processes follow these rules:
//
//   - A part is fetched only if the store has reported it as complete, in the same
//     epoch, at most maxViewAge ago, and the fetch ends within FetchWindow.
//   - A part of older weights is fetched for at most Rollout.RetireDelay after a newer
//     version was set as the target, and deleted no earlier than deleteMargin later.
//   - A process fetches nothing while its configuration is older than maxConfigAge. The
//     caller of Choose enforces this, by passing no stores.
//   - Nothing is saved to a restarted store until no process that has missed the
//     restart can still be fetching from it.
//   - No part is ordered to be saved while an earlier order may still be carried out: an order
//     outlives the restart of its store, and a process that has missed the restart fetches the
//     part while it is written.
//   - A part whose write was abandoned is deleted only on the word of a list that was read
//     just before: events of completions may be lost, and the call deletes complete parts
//     too.
const (
	maxViewAge          = 1700 * time.Millisecond                           // since the start of the last read of the store's events
	FetchWindow         = 1300 * time.Millisecond                           // from the placement decision to the end of the fetch
	maxConfigAge        = 3200 * time.Millisecond                           // since the start of the last read of the operators' records
	deleteMargin        = maxConfigAge + FetchWindow + 500*time.Millisecond // from the last fetch of a part of older weights to its deletion
	restartDelay        = maxViewAge + FetchWindow + 500*time.Millisecond
	pendingSaveTimeout  = 4 * time.Second        // time after which a save that is not complete is tried again
	retellInterval      = time.Second            // after which peers are told again of a save whose prompt still waits
	partialWriteTimeout = 8 * time.Second        // time without progress after which the write of a part counts as abandoned
	maxListGap          = 15 * time.Second       // two lists further apart say nothing on the write between them
	maxDeleteListAge    = 500 * time.Millisecond // age of the list that shows a part as incomplete, since the start of its read, until the part is to be deleted
	deleteTransitTime   = 250 * time.Millisecond // for the call that deletes it to arrive
	maxFillShare        = 0.97                   // share of a store's capacity that may be filled
	blockTokens         = 16                     // allocation granularity of a store
	maxDeleteBatch      = 200                    // maximum number of parts to delete in one call
)

// Salt returns the cache salt for a cache group and a weight version. Parts are
// shared only under the same salt.
func Salt(group, model string, version int64) string {
	return group + "@" + model + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt returns the model and the weight version that a salt contains.
func ParseSalt(salt string) (model string, version int64, ok bool) {
	_, rest, ok := strings.Cut(salt, "@")
	i := strings.LastIndexByte(rest, '/')
	if !ok || i < 0 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(rest[i+1:], 10, 64)
	return rest[:i], version, err == nil
}

// StoredPart is a prompt part as reported by a store.
type StoredPart struct {
	Salt, ID string
	Tokens   int
}

// StoreEvent is a change to the parts in a store.
type StoreEvent struct {
	Added  bool // the part is complete; false if it was removed
	Part   StoredPart
	Number int64 // position of the event
}

// StoreList is the full list of a store's parts.
type StoreList struct {
	Epoch   int64 // changes when the store restarts
	Next    int64 // position of the first event after the list
	ClockMs float64
	Held    []StoredPart
	Partial []PartialPart
}

// PartialPart is a part that is being written, or whose write was abandoned. Tokens is the reserved
// size.
type PartialPart struct {
	StoredPart
	Written int // tokens
}

// StoreEvents holds the changes since an earlier read.
type StoreEvents struct {
	Epoch   int64
	Next    int64
	ClockMs float64
	Gap     bool // events are missing, so the store must be listed
	Events  []StoreEvent
}

// StoreView is the state of one store as known to this process.
type StoreView struct {
	Name     string
	Address  string
	Domain   string
	Capacity int

	synced         bool
	epoch          int64
	nextEvent      int64
	readAt         time.Duration
	clock          EndpointClock
	saveFrom       time.Duration
	held           map[uint64]StoredPart
	partial        map[uint64]partialPart
	listedAt       time.Duration // start of the read of the last list
	pending        map[uint64]pendingSave
	ordered        map[uint64]*saveOrder // of this process, until their prompts have begun or ended
	usedTokens     int
	reservedTokens int

	observedTokensPerMs float64 // 0 before the first observation
	observedAt          time.Duration
	busyUntil           time.Duration // expected end of the transfers that this process has begun
}

// partialPart is a partial part as lists have shown it.
type partialPart struct {
	PartialPart
	since time.Duration // when the first list arrived that showed as many tokens written
}

type pendingSave struct {
	tokens  int
	expires time.Duration
}

// saveOrder is a part that endpoints have been ordered to save with prompts that wait there.
type saveOrder struct {
	tokens  int
	prompts int
	toldAt  time.Duration // when the peers were last told
}

func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// NewStoreView returns a view without any knowledge of the store's state.
func NewStoreView(s Service) *StoreView {
	return &StoreView{
		Name: s.Name, Address: s.StoreAddress, Domain: s.FailureDomain, Capacity: s.CapacityTokens,
		held: map[uint64]StoredPart{}, partial: map[uint64]partialPart{}, pending: map[uint64]pendingSave{}, ordered: map[uint64]*saveOrder{},
	}
}

// Cursor returns the position of the next event to read, and false if the store must
// be listed first.
func (v *StoreView) Cursor() (int64, bool) { return v.nextEvent, v.synced }

// ReadSince reports whether a read that started at t or later has completed.
func (v *StoreView) ReadSince(t time.Duration) bool { return v.synced && v.readAt >= t }

// Epoch returns the epoch of the store, which changes on a restart.
func (v *StoreView) Epoch() int64 { return v.epoch }

// resetOnRestart clears the view if the store's epoch has changed. It reports
// whether the store has restarted.
func (v *StoreView) resetOnRestart(epoch int64, now time.Duration) bool {
	if v.epoch == epoch {
		return false
	}
	first := v.epoch == 0
	v.epoch, v.synced, v.usedTokens, v.clock = epoch, false, 0, EndpointClock{}
	clear(v.held)
	clear(v.partial)
	clear(v.pending)
	v.reservedTokens = 0
	// This also applies to a newly found store, because it may have just restarted.
	v.saveFrom = now + restartDelay
	return !first
}

// ApplyList applies a list whose read began at the time started. It reports whether the
// store has restarted.
func (v *StoreView) ApplyList(l StoreList, started, now time.Duration) bool {
	restarted := v.resetOnRestart(l.Epoch, now)
	v.synced, v.nextEvent, v.readAt = true, l.Next, started
	if l.ClockMs != 0 { // a list without the clock does not change what is known of it
		v.clock.Observe(l.ClockMs, started, now)
	}
	clear(v.held)
	v.usedTokens = 0
	for _, p := range l.Held {
		v.add(p)
	}
	old := v.partial
	if started > v.listedAt+maxListGap {
		old = nil
	}
	v.partial, v.listedAt = map[uint64]partialPart{}, started
	for _, p := range l.Partial {
		k := PartKey(p.Salt, p.ID)
		since := now
		if o, ok := old[k]; ok && o.PartialPart == p {
			since = o.since
		}
		v.partial[k] = partialPart{p, since}
		v.usedTokens += roundUpToBlocks(p.Tokens)
	}
	return restarted
}

// IsCopy reports whether events whose read began at the time started are a copy of an earlier answer,
// which a faulty store has sent once more: they state a time before the read.
func (v *StoreView) IsCopy(e StoreEvents, started time.Duration) bool {
	earliest, _, known := v.clock.Bounds(started)
	return known && e.Epoch == v.epoch && e.ClockMs < earliest-milliseconds(maxClockDrift)
}

// ForgetClock forgets what is known of the store's clock until the next answer. It follows a copy, so
// that a store whose clock was set back is rejected only once.
func (v *StoreView) ForgetClock() { v.clock = EndpointClock{} }

// ApplyEvents applies events whose read began at the time started. It reports whether the
// store must be listed, and whether its previous state is invalid because it
// restarted or was never listed.
func (v *StoreView) ApplyEvents(e StoreEvents, started, now time.Duration) (list, restarted bool) {
	if v.resetOnRestart(e.Epoch, now) || !v.synced {
		return true, true
	}
	v.readAt, v.nextEvent = started, e.Next
	v.clock.Observe(e.ClockMs, started, now)
	for _, ev := range e.Events {
		if ev.Added {
			v.add(ev.Part)
		} else {
			v.remove(PartKey(ev.Part.Salt, ev.Part.ID))
		}
	}
	v.synced = !e.Gap
	return e.Gap, false
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (v *StoreView) add(p StoredPart) {
	k := PartKey(p.Salt, p.ID)
	v.remove(k)
	v.held[k] = p
	v.usedTokens += roundUpToBlocks(p.Tokens)
	if s, ok := v.pending[k]; ok {
		v.reservedTokens -= roundUpToBlocks(s.tokens)
		delete(v.pending, k)
	}
}

func (v *StoreView) remove(k uint64) {
	if p, ok := v.held[k]; ok {
		v.usedTokens -= roundUpToBlocks(p.Tokens)
		delete(v.held, k)
	}
	if p, ok := v.partial[k]; ok {
		v.usedTokens -= roundUpToBlocks(p.Tokens)
		delete(v.partial, k)
	}
}

// fresh reports whether the view was read recently enough to fetch from or save to
// the store.
func (v *StoreView) fresh(now time.Duration) bool { return v.synced && now-v.readAt < maxViewAge }

// UsedTokens returns the number of tokens of the parts that are stored, being written, or
// about to be written.
func (v *StoreView) UsedTokens() int { return v.usedTokens + v.reservedTokens }

// ClockMs returns the earliest time in ms that the store's clock may show at the given time,
// and false if the store has not stated it yet.
func (v *StoreView) ClockMs(at time.Duration) (float64, bool) {
	ms, _, _ := v.clock.Bounds(at)
	return ms, v.clock.known
}

// ListedAt returns the start of the read of the last list.
func (v *StoreView) ListedAt() time.Duration { return v.listedAt }

// Clock returns the store's clock.
func (v *StoreView) Clock() EndpointClock { return v.clock }

// canSave reports whether a part may be written to the store now.
func (v *StoreView) canSave(k uint64, tokens int, now time.Duration) bool {
	if !v.fresh(now) || now < v.saveFrom {
		return false
	}
	if _, ok := v.partial[k]; ok {
		return false
	}
	if v.ordered[k] != nil {
		return false
	}
	for k, s := range v.pending {
		if now >= s.expires {
			v.reservedTokens -= roundUpToBlocks(s.tokens)
			delete(v.pending, k)
		}
	}
	if _, ok := v.pending[k]; ok {
		return false
	}
	return float64(v.UsedTokens()+roundUpToBlocks(tokens)) <= maxFillShare*float64(v.Capacity)
}

// RecordSave records that this process or a peer is having a part written to the store.
func (v *StoreView) RecordSave(k uint64, tokens int, now time.Duration) {
	if p, ok := v.partial[k]; ok {
		p.since = now // a peer that hasn't seen the abandoned write has the part written again
		v.partial[k] = p
	}
	if _, ok := v.held[k]; ok {
		return
	}
	if s, ok := v.pending[k]; ok {
		v.pending[k] = pendingSave{s.tokens, max(s.expires, now+pendingSaveTimeout)}
		return
	}
	v.pending[k] = pendingSave{tokens, now + pendingSaveTimeout}
	v.reservedTokens += roundUpToBlocks(tokens)
}

// OrderSave records that this process sends a prompt with the order to save a part.
func (v *StoreView) OrderSave(k uint64, tokens int, now time.Duration) {
	v.RecordSave(k, tokens, now)
	o := v.ordered[k]
	if o == nil {
		o = &saveOrder{tokens: tokens, toldAt: now}
		v.ordered[k] = o
	}
	o.prompts++
}

// EndOrder records that a prompt with the order to save a part has begun, so that its part is being
// saved, or has ended.
func (v *StoreView) EndOrder(k uint64, now time.Duration) {
	o := v.ordered[k]
	if o == nil {
		return
	}
	if o.prompts--; o.prompts > 0 {
		return
	}
	delete(v.ordered, k)
	v.RecordSave(k, o.tokens, now)
}

// OrdersToTell calls tell with the parts whose orders the peers are to be told again: they take an
// order that they have not heard of for pendingSaveTimeout for carried out or lost.
func (v *StoreView) OrdersToTell(now time.Duration, tell func(k uint64, tokens int)) {
	for k, o := range v.ordered {
		if now >= o.toldAt+retellInterval {
			o.toldAt = now
			tell(k, o.tokens)
		}
	}
}

// AbandonedParts returns the parts whose write was abandoned, and until when a call may delete them.
// There are none unless a list was read just before: a part that it shows as incomplete may be
// completed at any later time.
func (v *StoreView) AbandonedParts(now time.Duration) (parts []StoredPart, until time.Duration) {
	if !v.synced || now >= v.listedAt+maxDeleteListAge {
		return nil, 0
	}
	for _, p := range v.partial {
		if v.listedAt >= p.since+partialWriteTimeout && len(parts) < maxDeleteBatch {
			parts = append(parts, p.StoredPart)
		}
	}
	return parts, v.listedAt + maxDeleteListAge + deleteTransitTime
}

// RetiredParts returns the parts for whose weights retired returns true.
func (v *StoreView) RetiredParts(retired func(model string, version int64) bool) []StoredPart {
	var out []StoredPart
	for _, p := range v.held {
		if m, n, ok := ParseSalt(p.Salt); ok && retired(m, n) && len(out) < maxDeleteBatch {
			out = append(out, p)
		}
	}
	return out
}

// Source is where a prompt part can be fetched from: a store or another endpoint.
type Source struct {
	Address string // empty if there is no source
	Store   *StoreView
	Ms      float64 // expected duration of the fetch
	QueueMs float64 // expected wait before it, once for all parts from the same store
}

// StorePlan specifies for each shared part of a prompt where it is fetched from and
// which store it is saved to. The zero Source and a nil store stand for none.
type StorePlan struct {
	Fetch []Source
	Save  []*StoreView
}

// Parameters for the expected duration of a fetch from a store. The initial rate is
// that of the slowest tier's link. Transfers that are slowed down by others lower the
// estimate through ObserveFetch.
const (
	storeTokensPerMs = 180.0 // initial estimate
	storeLatencyMs   = 8.0
	minTokensPerMs   = 2.0
	maxTokensPerMs   = 500.0
	rateSmoothing    = 0.2             // weight of a new observation
	rateDecayTime    = 4 * time.Second // age at which an observation's weight has fallen to 1/e
)

// fetchMs returns the expected time to fetch tokens from the store, without the wait for
// transfers before.
func (v *StoreView) fetchMs(tokens int, now time.Duration) float64 {
	return storeLatencyMs + float64(tokens)/v.tokensPerMs(now)
}

// queueMs returns the expected wait for the transfers that this process had begun before: a
// store's transfers run one after another.
func (v *StoreView) queueMs(now time.Duration) float64 { return max(milliseconds(v.busyUntil-now), 0) }

// recordTransfer adds a transfer to the queue.
func (v *StoreView) recordTransfer(tokens int, now time.Duration) {
	v.busyUntil = max(v.busyUntil, now) + time.Duration(float64(tokens)/v.tokensPerMs(now)*float64(time.Millisecond))
}

// tokensPerMs returns the expected transfer rate. The estimate returns to the initial
// rate as the last observation ages.
func (v *StoreView) tokensPerMs(now time.Duration) float64 {
	if v.observedTokensPerMs == 0 {
		return storeTokensPerMs
	}
	w := math.Exp(-float64(now-v.observedAt) / float64(rateDecayTime))
	return math.Exp(w*math.Log(v.observedTokensPerMs) + (1-w)*math.Log(storeTokensPerMs))
}

// ObserveFetch records the duration of a fetch.
func (v *StoreView) ObserveFetch(tokens int, ms float64, now time.Duration) {
	r := min(max(float64(tokens)/max(ms-storeLatencyMs, 1), minTokensPerMs), maxTokensPerMs)
	v.observedTokensPerMs = math.Exp((1-rateSmoothing)*math.Log(v.tokensPerMs(now)) + rateSmoothing*math.Log(r))
	v.observedAt = now
}

// PlanStores plans the fetches and saves for the shared parts of a prompt. All
// processes select the same store for saving a part, by rendezvous hashing weighted
// by capacity.
func PlanStores(stores []*StoreView, p *Prompt, salt string, now time.Duration) StorePlan {
	shared := p.SharedParts()
	plan := StorePlan{Fetch: make([]Source, len(shared)), Save: make([]*StoreView, len(shared))}
	for i, part := range shared {
		k := PartKey(salt, part.ID)
		pending := false
		for _, v := range stores {
			if _, ok := v.held[k]; ok && v.clock.known && v.fresh(now) {
				s := Source{v.Address, v, v.fetchMs(part.Tokens, now), v.queueMs(now)}
				if old := plan.Fetch[i]; old.Store == nil || s.Ms+s.QueueMs < old.Ms+old.QueueMs {
					plan.Fetch[i] = s
				}
			}
			if s, ok := v.pending[k]; ok && now < s.expires || v.ordered[k] != nil {
				pending = true
			}
		}
		if plan.Fetch[i].Store == nil && !pending {
			plan.Save[i] = saveTarget(stores, k, part.Tokens, now)
		}
	}
	return plan
}

// saveTarget returns the store with the highest weighted hash score among those that
// may save the part, nil if there is none.
func saveTarget(stores []*StoreView, k uint64, tokens int, now time.Duration) *StoreView {
	var best *StoreView
	bestScore := math.Inf(-1)
	for _, v := range stores {
		if !v.canSave(k, tokens, now) {
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

// RetiredSince reports whether a newer version than the given one is a target, and
// since when the first such version is. That time is unknown if a version between the two
// may have been named that this process does not know.
func (r *Rollout) RetiredSince(model string, version int64) (time.Duration, bool) {
	for _, t := range r.targets[model] {
		if t.version <= version {
			continue
		}
		if t.previous == unknownVersion || t.previous > version {
			return UnknownNamingTime, true
		}
		return t.setAt, true
	}
	return 0, false
}

// Fetchable reports whether parts of the given weights may be fetched now.
func (r *Rollout) Fetchable(model string, version int64, now time.Duration) bool {
	since, retired := r.RetiredSince(model, version)
	return !retired || now < since+r.RetireDelay
}

// Deletable reports whether parts of the given weights may be deleted now.
func (r *Rollout) Deletable(model string, version int64, now time.Duration) bool {
	for _, t := range r.targets[model] {
		if t.version > version {
			return now >= t.learnedAt+r.RetireDelay+deleteMargin
		}
	}
	return false
}

// SortStores sorts views by name, so that all processes use the same order.
func SortStores(vs []*StoreView) {
	slices.SortFunc(vs, func(a, b *StoreView) int { return cmp.Compare(a.Name, b.Name) })
}
