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

// Margins within the platform's bounds.
const (
	revokeMargin  = 100 * time.Millisecond  // for clocks that run at different rates: the bound counts from when a caller sends
	versionMargin = 1000 * time.Millisecond // for requests that wait at an endpoint
	staleConfig   = 3200 * time.Millisecond // age from which a route or key may be newer than what is known
	resumeWait    = 250 * time.Millisecond  // for the first read after a suspend; one that takes longer gets no answer
	suspendGap    = 500 * time.Millisecond  // without a step of the process: it was suspended, or as good as that
	refusingFor   = 250 * time.Millisecond  // an endpoint that refused gets no work for this long
	unreachedFor  = time.Second             // one that could not be reached
	movedFor      = 2 * time.Second         // one whose address another has; its entry is replaced or lapses by then
	readMargin    = 100 * time.Millisecond  // beyond the expected wait, until a part of a prompt is read
	peerReadTime  = 500 * time.Millisecond  // until a part is read that a peer sent
	residentShare = 0.9                     // of an engine's memory that parts of prompts take
)

// endpointState is what this process knows of one endpoint beside its entry.
type endpointState struct {
	load     forward.EndpointLoad
	health   forward.Health
	cached   forward.Residency
	models   map[string]int64 // weight versions seen in answers
	started  int64
	loading  time.Duration // being changed by an order until then
	emptying time.Duration // gets no long prompts until then
	claimed  time.Duration // a peer was about to change it
	seq      int64         // orders that it has accepted, as far as all processes know
}

// state is all that decides about requests. mu guards it.
type state struct {
	mu          sync.Mutex
	clock       Clock
	rng         *rand.Rand
	table       *forward.Table
	fresh       forward.Freshness
	confirmed   chan struct{} // closed and replaced when fresh changes
	list        *forward.EndpointList
	listKnown   bool
	stepped     time.Duration      // last step of the process
	resumed     time.Duration      // end of its last suspend
	usable      []forward.Endpoint // nil when it is to be made anew
	usableUntil time.Duration
	endpoints   map[string]*endpointState
	rollout     *forward.Rollout
	budgets     map[string]*retry.Budget
	stores      []*forward.StoreView
	peers       peerLoads
	settings    Settings
}

func newState(s Settings, clock Clock, rng *rand.Rand) *state {
	return &state{
		clock: clock, rng: rng, list: forward.NewEndpointList(), endpoints: map[string]*endpointState{}, rollout: forward.NewRollout(),
		budgets: map[string]*retry.Budget{}, peers: newPeerLoads(), settings: s,
		fresh: forward.Freshness{MaxKeyAge: ms(s.RevokeMs) - revokeMargin}, confirmed: make(chan struct{}),
	}
}

// step notices that the process was suspended since its last step.
func (s *state) step(now time.Duration) {
	if s.stepped != 0 && now-s.stepped >= suspendGap {
		s.resumed = now
		log.Warn().Str("event", "resumed").Dur("gap_ms", now-s.stepped).Msg("no step for a while; unknown keys and routes are refused with 503 until the log was read again")
	}
	s.stepped = now
}

// confirm records a completed read of the operators' records.
func (s *state) confirm(started time.Duration) {
	s.fresh.RecordRead(started)
	close(s.confirmed)
	s.confirmed = make(chan struct{})
}

// awaitRead waits for the first read after a suspend, for the requests that were at
// this process's sockets meanwhile. It returns true when the read has completed.
func (s *state) awaitRead(ctx context.Context) bool {
	limit := time.NewTimer(resumeWait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		resumed, done, changed := s.resumed > 0, s.fresh.ReadSince(s.resumed), s.confirmed
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

// mayDeny tells whether what the configuration doesn't have may be answered with
// 401 or 404: not while it may have been added without this process noticing. A read
// that waits at the log shows what is added at once, but not while the process is
// suspended.
func (s *state) mayDeny(age time.Duration) bool {
	return age <= staleConfig && s.fresh.ReadSince(s.resumed)
}

func (s *state) endpoint(id string) *endpointState {
	e := s.endpoints[id]
	if e == nil {
		e = &endpointState{models: map[string]int64{}}
		s.endpoints[id] = e
	}
	return e
}

func (s *state) budget(service string) *retry.Budget {
	b := s.budgets[service]
	if b == nil {
		// Half of the allowed share: callers' bursts and the windows of several
		// processes don't line up.
		b = retry.NewBudget(s.settings.BudgetRatio/2, seconds(s.settings.BudgetWindowS))
		s.budgets[service] = b
	}
	return b
}

// usableEndpoints returns the entries that may take work, by ID. The list is kept
// until an entry changes or one that lapsed in an outage expires.
func (s *state) usableEndpoints(now time.Duration) []forward.Endpoint {
	if s.usable != nil && now < s.usableUntil {
		return s.usable
	}
	s.usable = make([]forward.Endpoint, 0, s.list.Len())
	s.list.Each(now, func(e forward.Endpoint) {
		s.restarted(e)
		s.usable = append(s.usable, e)
	})
	slices.SortFunc(s.usable, func(a, b forward.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	s.usableUntil = s.list.NextExpiry()
	return s.usable
}

// restarted forgets what an endpoint knew before its start.
func (s *state) restarted(e forward.Endpoint) {
	st := s.endpoint(e.ID)
	if e.StartedUnixMs == st.started {
		return
	}
	if st.started != 0 {
		st.cached.Clear()
		st.health = forward.Health{}
		clear(st.models)
		st.seq = 0
	}
	st.started = e.StartedUnixMs
}

// newest returns the models with the versions that answers have shown.
func (e *endpointState) newest(models []forward.ModelState) []forward.ModelState {
	if !slices.ContainsFunc(models, func(m forward.ModelState) bool { return e.models[m.Name] > m.Version }) {
		return models
	}
	models = slices.Clone(models)
	for i, m := range models {
		models[i].Version = max(m.Version, e.models[m.Name])
	}
	return models
}

// candidates returns the endpoints of a service as the placement sees them.
func (s *state) candidates(service string, p *forward.Prompt, tried map[string]bool, now time.Duration) []forward.Candidate {
	endpoints := s.usableEndpoints(now)
	cs := make([]forward.Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Service != service {
			continue
		}
		st := s.endpoint(e.ID)
		e.Models = st.newest(e.Models)
		c := forward.Candidate{
			Endpoint: e, Load: st.load.Plus(s.peers.load(e.ID)), Residency: &st.cached,
			Usable: st.health.Usable(now) && now >= st.loading, Excluded: tried[e.ID],
		}
		all, long := s.rollout.Blocked(e.ID, now)
		c.Usable = c.Usable && !all
		c.AvoidLongRunning = long || now < st.emptying
		if p != nil {
			since, behind := s.rollout.OutdatedSince(e.Models, p.Model)
			c.Outdated = behind
			c.Excluded = c.Excluded || behind && now >= since+ms(s.settings.VersionMs)-versionMargin
		}
		cs = append(cs, c)
	}
	return cs
}

// observeVersion records the weight version that an answer was made with.
func (s *state) observeVersion(id, model string, version int64) {
	st := s.endpoint(id)
	if version > st.models[model] {
		if st.models[model] != 0 {
			st.cached.Clear()
		}
		st.models[model] = version
	}
}

// forget drops the state of endpoints that are gone and idle.
func (s *state) forget(now time.Duration) map[string]bool {
	alive := map[string]bool{}
	s.list.Each(now, func(e forward.Endpoint) { alive[e.ID] = true })
	for id, st := range s.endpoints {
		if !alive[id] && st.load.Active == 0 {
			delete(s.endpoints, id)
		}
	}
	return alive
}
