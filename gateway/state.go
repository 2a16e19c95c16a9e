package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/core/retry"
)

// Margins within the bounds of the settings, and other limits.
const (
	revokeMargin      = 100 * time.Millisecond  // covers clock drift: the bound counts from when the caller sends the request
	versionMargin     = 1000 * time.Millisecond // covers the error of the expected wait at an endpoint
	staleConfigAge    = 3200 * time.Millisecond // configuration age beyond which newer routes, keys or weights may exist
	resumeReadTimeout = 250 * time.Millisecond  // limit for the first read after a suspension; a read that takes longer gets no response
	suspendThreshold  = 500 * time.Millisecond  // inactivity from which the process counts as suspended
	refusalPause      = 250 * time.Millisecond  // an endpoint that refused a request gets no further ones for this long
	unreachablePause  = time.Second             // the same for an endpoint that could not be reached
	misdirectedPause  = 2 * time.Second         // the same for an endpoint whose address now belongs to another; its entry is replaced or expires by then
	prefillMargin     = 100 * time.Millisecond  // added to the expected wait until a prompt part is assumed to be prefilled
	peerPrefillTime   = 500 * time.Millisecond  // time until a prompt part sent by a peer is assumed to be prefilled
	cacheMemoryShare  = 0.9                     // share of an engine's KV cache memory available to prompt parts
)

// endpointState is what this process knows about an endpoint in addition to its list entry.
type endpointState struct {
	hash             uint32 // endpointHash of its ID
	load             forward.EndpointLoad
	health           forward.Health
	limit            forward.EndpointLimit
	warmUp           forward.WarmUp
	connShare        forward.ConnShareCache
	nextStateRead    time.Duration // when its state may be read again, if it names a limit
	residency        forward.Residency
	observedVersions map[string]int64 // newest weight versions seen in responses and reports, by model
	started          int64            // Started of the list entry; another value means a restart
	loadingUntil     time.Duration    // loading weights by a peer's order until then
	loadingSince     time.Duration    // when a peer first reported that
	emptyingUntil    time.Duration    // emptied by a peer before loading weights: gets no long prompts until then
	orderCount       int64            // number of orders that the endpoint has accepted, as far as known
	reusedUntil      time.Duration    // another endpoint had its address; the peers are told until then
}

// state holds everything that decisions about requests depend on. It is guarded by mu.
type state struct {
	mu                sync.Mutex
	clock             Clock
	rng               *rand.Rand
	rngSource         *rand.PCG // of rng, nil in tests that don't need it
	table             *forward.Table
	freshness         forward.Freshness
	eras              forward.EraTracker
	catchUp           forward.CatchUp
	proofBeforeReturn time.Duration // namingProof when the log last returned from an older copy
	returnedAt        time.Duration // when that was, 0 if never
	startup           forward.Startup
	peerFacts         map[string]knownFacts
	lastFactsQuestion time.Duration // when this process last asked a peer for its facts
	readConfirmed     chan struct{} // closed and replaced when freshness changes
	storeRead         chan struct{} // closed and replaced when a store has been read
	resumes           chan struct{} // receives a value after each suspension
	firstConfigAt     time.Duration // when the first configuration was read
	firstReadAt       time.Duration // when the first read of the operators' records completed
	endpointList      *forward.EndpointList
	endpointListRead  bool
	lastActive        time.Duration      // last time at which the process was active
	resumedAt         time.Duration      // end of the last suspension, 0 if none
	interruptRead     context.CancelFunc // cancels the long poll of the operators' records that is under way, nil if none
	listedCache       []forward.Endpoint // cached result of listedEndpoints, nil if invalid
	listedCacheUntil  time.Duration
	endpoints         map[string]*endpointState
	endpointsByHash   map[uint32]string // IDs of endpoints, by the hash that reports use
	rollout           *forward.Rollout
	waitingPrompts    map[*placement]*waitingPrompt
	retryBudgets      map[string]*retry.Budget
	secondAttempts    *forward.SecondAttempts
	stores            []*forward.StoreView
	storeFollowers    map[uint32]*storeFollower // by the hash of the store's name
	reportClock       forward.EndpointClock     // endpoints' clock as their reports state it
	nextClockRead     time.Duration             // when a report may be requested for the clock again
	streams           *forward.StreamBuilds
	streamLog         streamLog
	peerLoads         peerLoads
	peerUpdates       *forward.PeerUpdates // of endpoints, listed or not
	promptRate        forward.Rate         // of the prompts that this process places
	limitGroup        forward.LimitGroup
	warmUpGroup       forward.WarmUpGroup
	memberReads       forward.MemberReads
	lines             lines
	evacuations       forward.Evacuations
	shedder           forward.Shedder
	takeUps           map[string]*forward.TakeUpCredit // by service
	takeUpWaits       map[string]*forward.TakeUpWaits  // by service
	fairShares        map[string]*forward.FairShare    // by service
	processorShort    bool                             // tasks that could run wait for the processor
	limitQueues       map[string]*forward.LimitQueue   // by service
	parts             *forward.PartHolds
	partSaver         partSaver
	endpointChecks    map[forward.EndpointStart]*endpointCheck // under way
	statements        statements
	settings          Settings
}

func newState(s Settings, clock Clock, rng *rand.Rand) *state {
	rollout := forward.NewRollout()
	rollout.VersionBound = milliseconds(s.VersionMs) - versionMargin
	rollout.RetireDelay = forward.RetireDelayFor(milliseconds(s.VersionMs))
	return &state{
		clock: clock, rng: rng, endpointList: forward.NewEndpointList(), endpoints: map[string]*endpointState{}, endpointsByHash: map[uint32]string{}, peerFacts: map[string]knownFacts{}, rollout: rollout,
		waitingPrompts: map[*placement]*waitingPrompt{}, retryBudgets: map[string]*retry.Budget{}, secondAttempts: forward.NewSecondAttempts(s.SecondAttemptShare, seconds(s.BudgetWindowS)), peerLoads: newPeerLoads(), peerUpdates: forward.NewPeerUpdates(), settings: s, streams: forward.NewStreamBuilds(), streamLog: newStreamLog(), limitQueues: map[string]*forward.LimitQueue{}, takeUps: map[string]*forward.TakeUpCredit{}, takeUpWaits: map[string]*forward.TakeUpWaits{}, fairShares: map[string]*forward.FairShare{}, lines: newLines(), statements: newStatements(),
		parts: forward.NewPartHolds(), partSaver: newPartSaver(), endpointChecks: map[forward.EndpointStart]*endpointCheck{}, storeFollowers: map[uint32]*storeFollower{},
		freshness: forward.Freshness{MaxKeyAge: milliseconds(s.RevokeMs) - revokeMargin}, readConfirmed: make(chan struct{}), storeRead: make(chan struct{}), resumes: make(chan struct{}, 1),
	}
}

// recordActivity records that the process is active, and detects whether it was suspended since the
// last call.
func (s *state) recordActivity(now time.Duration) {
	if s.lastActive != 0 && now-s.lastActive >= suspendThreshold {
		s.resumedAt = now
		select {
		case s.resumes <- struct{}{}:
		default: // the last one has not been handled yet
		}
		if s.interruptRead != nil {
			s.interruptRead()
		}
		log.Warn().Str("event", "resumed").Dur("gap_ms", now-s.lastActive).Msg("process was suspended; unknown keys and routes are refused with 503 until the log has been read again")
	}
	s.lastActive = now
}

// confirmRead records that a completed read of the operators' records proves that none written
// before the given time is missing.
func (s *state) confirmRead(proof time.Duration) {
	s.freshness.RecordRead(proof)
	if s.firstReadAt == 0 {
		s.firstReadAt = s.clock()
	}
	close(s.readConfirmed)
	s.readConfirmed = make(chan struct{})
}

// awaitReadAfterResume waits for the first read after a suspension on behalf of requests that were
// queued at the sockets meanwhile. It reports whether the read has completed.
func (s *state) awaitReadAfterResume(ctx context.Context) bool {
	limit := time.NewTimer(resumeReadTimeout)
	defer limit.Stop()
	for {
		s.mu.Lock()
		resumed, done, changed := s.resumedAt > 0, s.freshness.ReadSince(s.resumedAt), s.readConfirmed
		s.mu.Unlock()
		if !resumed || done {
			return resumed && done
		}
		select {
		case <-changed:
		case <-limit.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// mayDeny reports whether a key or route that is not in the configuration may be answered
// with 401 or 404. It must not while the key or route may have been added unnoticed: a long
// poll of the log returns additions immediately, but not while the process is suspended.
func (s *state) mayDeny(age time.Duration) bool {
	return age <= staleConfigAge && s.freshness.ReadSince(s.resumedAt)
}

func (s *state) endpointState(id string) *endpointState {
	e := s.endpoints[id]
	if e == nil {
		e = &endpointState{hash: endpointHash(id), observedVersions: map[string]int64{}}
		s.endpoints[id] = e
		s.endpointsByHash[e.hash] = id
	}
	return e
}

func (s *state) retryBudget(service string) *retry.Budget {
	b := s.retryBudgets[service]
	if b == nil {
		// Half of the allowed share, because callers' bursts and the windows of several
		// processes are not aligned.
		b = retry.NewBudget(s.settings.BudgetRatio/2, seconds(s.settings.BudgetWindowS))
		s.retryBudgets[service] = b
	}
	return b
}

// listedEndpoints returns the listed endpoints that accept new requests, healthy or not,
// sorted by ID. The result is cached until an entry changes, an endpoint says that it leaves or an
// entry that is kept after an outage of the log expires.
func (s *state) listedEndpoints(now time.Duration) []forward.Endpoint {
	if s.listedCache != nil && now < s.listedCacheUntil {
		return s.listedCache
	}
	s.listedCache = make([]forward.Endpoint, 0, s.endpointList.Len())
	s.endpointList.Each(now, func(e forward.Endpoint) {
		s.resetIfRestarted(e)
		if !s.statements.Leaving(&e) {
			s.listedCache = append(s.listedCache, e)
		}
	})
	slices.SortFunc(s.listedCache, func(a, b forward.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	s.listedCacheUntil = s.endpointList.NextExpiry()
	return s.listedCache
}

// resetIfRestarted clears the cache, health and version state of an endpoint that has restarted.
func (s *state) resetIfRestarted(e forward.Endpoint) {
	st := s.endpointState(e.ID)
	if e.StartedUnixMs == st.started {
		return
	}
	restarted := st.started != 0
	if restarted {
		st.residency.Clear()
		st.health = forward.Health{}
		st.limit.Restart(s.clock())
		st.warmUp = forward.WarmUp{}
		st.nextStateRead = 0
		clear(st.observedVersions)
		st.orderCount = 0
		st.reusedUntil = 0
	}
	st.started = e.StartedUnixMs
	if restarted {
		s.presumeWarmUp(&e, "restarted", s.clock())
	}
}

// withObservedVersions returns the models with the newer of the listed and the observed versions.
func (e *endpointState) withObservedVersions(models []forward.ModelState) []forward.ModelState {
	if !slices.ContainsFunc(models, func(m forward.ModelState) bool { return e.observedVersions[m.Name] > m.Version }) {
		return models
	}
	models = slices.Clone(models)
	for i, m := range models {
		models[i].Version = max(m.Version, e.observedVersions[m.Name])
	}
	return models
}

// candidates returns the endpoints of a service as placement candidates for a request of the given
// priority.
func (s *state) candidates(service string, p *forward.Prompt, priority int, tried map[string]bool, now time.Duration) []forward.Candidate {
	endpoints := s.listedEndpoints(now)
	var sv *forward.Service
	if s.table != nil {
		sv = s.table.Service(service)
	}
	cs := make([]forward.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Service != service {
			continue
		}
		st := s.endpointState(e.ID)
		e.Models = st.withObservedVersions(e.Models)
		c := forward.Candidate{
			Endpoint: e, Load: st.load.Plus(s.peerLoad(st, sv)), Residency: &st.residency,
			Usable: st.health.Usable(now) && now >= st.loadingUntil, Excluded: tried[e.ID] || s.connLimit(sv, e.ID) == 0,
		}
		all, long := s.rollout.Blocked(e.ID, now)
		c.Usable = c.Usable && !all
		c.OverLimit = s.overLimit(st, &e, priority, now) || s.overWarmUpBound(st, &e, sv, priority, now)
		if s.evacuations.Active(e.FailureDomain) {
			c.Excluded, c.Usable = true, false // nothing is fetched from it either
		}
		c.PausedUntil = s.statements.PausedUntil(&e, now)
		c.Usable = c.Usable && !c.Paused(now)
		c.AvoidLongRunning = long || now < st.emptyingUntil
		if p != nil {
			since, behind := s.rollout.OutdatedSince(e.Models, p.Model)
			c.Outdated, c.OutdatedSince, c.ExpiresAt = behind, since, s.versionExpiry(since)
			c.Excluded = c.Excluded || behind && now >= c.ExpiresAt
		}
		cs = append(cs, c)
	}
	return cs
}

// peerLoad returns the peers' load on an endpoint, as far as it can still be there.
func (s *state) peerLoad(e *endpointState, sv *forward.Service) forward.EndpointLoad {
	l := s.peerLoads.totals[e.hash]
	if sv != nil && sv.Engine == nil {
		return l.Aged(reportInterval, s.peerLoads.interval())
	}
	return l
}

// versionExpiry returns the time before which prompts must begin on a weight version, given
// when a newer one was named.
func (s *state) versionExpiry(namedAt time.Duration) time.Duration {
	return namedAt + milliseconds(s.settings.VersionMs) - versionMargin
}

// weightsExpired reports whether prompts may no longer begin on any of an endpoint's models.
func (s *state) weightsExpired(models []forward.ModelState, now time.Duration) bool {
	return len(models) > 0 && !slices.ContainsFunc(models, func(m forward.ModelState) bool {
		since, outdated := s.rollout.RetiredSince(m.Name, m.Version)
		return !outdated || now < s.versionExpiry(since)
	})
}

// namingProof returns a time at which no version was named that is newer than the known ones:
// the proof of the last read that showed none. Reads of a log that has returned from an older
// copy may lack versions that were named before, so for the version bound they prove nothing.
func (s *state) namingProof(now time.Duration) time.Duration {
	age, known := s.freshness.Age(now)
	if !known {
		return forward.UnknownNamingTime
	}
	if s.returnedAt > 0 && now < s.returnedAt+milliseconds(s.settings.VersionMs) {
		return min(now-age, s.proofBeforeReturn)
	}
	return now - age
}

// observeVersion records a weight version that an endpoint has. A newer version invalidates
// the endpoint's cached prompt parts.
func (s *state) observeVersion(id, model string, version int64) {
	st := s.endpointState(id)
	if version > st.observedVersions[model] {
		if st.observedVersions[model] != 0 {
			st.residency.Clear()
		}
		st.observedVersions[model] = version
	}
}

// pruneEndpoints deletes the state of endpoints that are no longer listed and have no requests. It
// returns the IDs of the listed endpoints.
func (s *state) pruneEndpoints(now time.Duration) map[string]bool {
	alive := map[string]bool{}
	s.endpointList.Each(now, func(e forward.Endpoint) { alive[e.ID] = true })
	before := len(s.endpoints)
	for id, st := range s.endpoints {
		if !alive[id] && st.load.Active == 0 {
			delete(s.endpoints, id)
		}
	}
	if len(s.endpoints) < before {
		s.indexEndpoints()
	}
	return alive
}

// indexEndpoints rebuilds the index by hash. An endpoint that remains may have the hash of one
// that was deleted.
func (s *state) indexEndpoints() {
	clear(s.endpointsByHash)
	for id, e := range s.endpoints {
		s.endpointsByHash[e.hash] = id
	}
}
