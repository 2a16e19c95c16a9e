package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// maxSuspectsPerRequest bounds the parts of a request that are checked and suspected. Prompts have
// three or four parts.
const maxSuspectsPerRequest = 16

// startOf returns the start of an endpoint that a placement chose.
func startOf(e *forward.Endpoint) forward.EndpointStart {
	return forward.EndpointStart{Endpoint: e.ID, StartedUnixMs: e.StartedUnixMs}
}

// placeOf returns what the effect of a part on an endpoint may depend on.
func placeOf(e *forward.Endpoint, version int64) forward.Place {
	return forward.Place{Version: version, Build: forward.BuildKey(e.Build)}
}

// suspectKeys returns the keys under which endpoints may end: that of the request as a whole, and
// those of the prompt's shared parts after it.
func (q *request) suspectKeys() []uint64 {
	if q.partKeys != nil {
		return q.partKeys
	}
	q.partKeys = append(q.partKeys, q.wholeKey())
	if q.call.Prompt == nil {
		return q.partKeys
	}
	shared := q.call.Prompt.SharedParts()
	for _, p := range shared[:min(len(shared), maxSuspectsPerRequest)] {
		q.partKeys = append(q.partKeys, forward.SuspectKey(q.suspectGroup, q.call.Prompt.Model, p.ID))
	}
	return q.partKeys
}

// wholeKey returns a key that the request has in common with those with the same path, caller and
// body.
func (q *request) wholeKey() uint64 {
	if q.requestKey == 0 {
		path, _, _ := strings.Cut(q.msg.uri, "?")
		caller := q.call.APIKey
		if q.customer != nil {
			caller = q.customer.Name
		}
		q.requestKey = forward.WholeRequestKey(q.msg.method, q.msg.host, path, caller, q.call.Prompt, q.msg.body)
	}
	return q.requestKey
}

// checkHeld returns why the request is held, nil if it isn't. The caller holds the state's mutex.
func (q *request) checkHeld(s *state, now time.Duration) *forward.HeldRequest {
	if s.parts.Len() == 0 {
		return nil
	}
	return s.parts.Check(q.suspectKeys(), q.g.memberID, s.peerLoads.members, now)
}

// excludeHeld excludes the candidates that the request may not be sent to because of a held part.
func (q *request) excludeHeld(s *state, cs []forward.Candidate, now time.Duration) {
	q.held = q.checkHeld(s, now)
	q.accessLog.held = 0
	if q.held == nil {
		return
	}
	for i := range cs {
		c := &cs[i]
		if !c.Excluded && !q.held.Allows(placeOf(&c.Endpoint, q.weightsAt(&c.Endpoint))) {
			c.Excluded = true
			q.accessLog.held++
		}
	}
}

// weightsAt returns the version of the weights on which the request would run at an endpoint, 0 if
// it has no prompt.
func (q *request) weightsAt(e *forward.Endpoint) int64 {
	if q.call.Prompt == nil {
		return 0
	}
	return e.WeightVersion(q.call.Prompt.Model)
}

// heldError returns the refusal of a request because it or parts of its prompt are held, and has it
// logged.
func (q *request) heldError(now time.Duration) *apierr.Error {
	q.accessLog.heldParts = q.held.Parts
	var names []string
	for _, p := range q.held.Parts {
		if p.Whole {
			return apierr.NewRetryable(apierr.RequestHeld, apierr.NotRun, q.held.RetryAfter(now),
				"endpoints ended as they began to answer this very request", "change the request, or have the operators let it in again")
		}
		names = append(names, p.Name)
	}
	return apierr.NewRetryable(apierr.PromptPartHeld, apierr.NotRun, q.held.RetryAfter(now),
		fmt.Sprintf("endpoints ended as they began to answer requests with the part %s of the prompt", strings.Join(names, ", ")),
		"send the request without this part, or have the operators let it in again")
}

// recordCrash records a request without a complete event at an endpoint that has ended. One that was
// about to leave is no evidence: it ends as planned.
func (q *request) recordCrash(p *placement, endedAt time.Duration) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	listed, ready := s.endpointList.Get(p.endpoint.ID, now)
	if !ready || listed.StartedUnixMs != p.endpoint.StartedUnixMs || s.statements.Leaving(&listed) {
		return
	}
	s.endpointState(p.endpoint.ID).health.RecordRefusal(now + unreachablePause)
	trial := forward.CrashTrial{
		On: startOf(&p.endpoint), Place: placeOf(&p.endpoint, p.choice.Version), Strong: p.headArrived,
		SentAt: p.placedAt, EndedAt: endedAt, Witness: q.g.memberID,
	}
	for i, key := range q.suspectKeys() {
		add, name := s.parts.AddWholeTrial, q.route.Name
		if i > 0 {
			add, name = s.parts.AddTrial, q.call.Prompt.SharedParts()[i-1].ID
		}
		if change, changed := add(key, name[:min(len(name), maxLoggedPartBytes)], trial, now); changed {
			q.g.recordPartChange(change, now)
		}
	}
	if s.parts.HasChanges() {
		q.g.requestReport()
	}
}

// recordSound records that the request brought an event.
func (q *request) recordSound(p *placement) {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts.Len() == 0 {
		return
	}
	now := s.clock()
	for _, c := range s.parts.RecordEvent(q.suspectKeys(), placeOf(&p.endpoint, p.choice.Version), p.placedAt, now) {
		q.g.recordPartChange(c, now)
	}
	if s.parts.HasChanges() {
		q.g.requestReport()
	}
}

// observeLife takes back the evidence from an endpoint that is taken for ended, if it answers a
// request that was sent since on a connection from before. The caller holds the state's mutex.
func (q *request) observeLife(p *placement, resp *response) {
	s := q.g.state
	if s.parts.Len() == 0 {
		return
	}
	start, now := startOf(&p.endpoint), s.clock()
	endedAt, ended := s.parts.EndedAt(start)
	if !ended || resp.sentAt <= endedAt || resp.conn.openedAt >= endedAt {
		return
	}
	log.Info().Str("event", "endpoint_alive").Str("endpoint", start.Endpoint).Int64("started", start.StartedUnixMs).Msg("an endpoint that was taken for ended answers; the evidence from it is taken back")
	for _, c := range s.parts.TakeBack(start, now) {
		q.g.recordPartChange(c, now)
	}
	q.g.requestReport()
}

// recordPartChange logs that a part is held from now on or no longer, and has that saved. The caller
// holds the state's mutex.
func (g *Gateway) recordPartChange(c forward.PartChange, now time.Duration) {
	if c.Held {
		logPart(log.Warn().Str("event", "part_held"), &c.Part).Msg("endpoints ended as they began to answer requests with this part of a prompt, or this request; such requests are refused")
	} else {
		logPart(log.Info().Str("event", "part_released"), &c.Part).Msg("requests with this part of a prompt, or this request, are served again")
	}
	g.savePart(c)
}

// logPart adds a part to a line, with the endpoints that ended and the entries whose requests were
// on them.
func logPart(e *log.Entry, p *forward.SuspectPart) *log.Entry {
	crashes, witnesses := describeTrials(p)
	return e.Str("part", p.Name).Bool("whole", p.Whole).Str("key", partKeyText(p.Key)).Strs("crashes", crashes).Strs("entries", witnesses)
}

func partKeyText(key uint64) string { return fmt.Sprintf("%016x", key) }

// describeTrials returns the endpoints that ended under requests with a part, and the entries that
// had sent them.
func describeTrials(p *forward.SuspectPart) (crashes, witnesses []string) {
	for _, t := range p.Trials {
		if t.Cleared {
			continue
		}
		crashes = append(crashes, t.On.Endpoint)
		if !slices.Contains(witnesses, t.Witness) {
			witnesses = append(witnesses, t.Witness)
		}
	}
	return crashes, witnesses
}

// expireParts forgets parts that are no longer asked for.
func (g *Gateway) expireParts(now time.Duration) {
	for _, c := range g.state.parts.Expire(now) {
		g.recordPartChange(c, now)
	}
}
