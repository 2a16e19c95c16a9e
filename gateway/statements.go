package gateway

import (
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/forward"
)

// statements holds what endpoints say of themselves in their answers to this process.
type statements struct {
	forward.Statements
	returns map[string]*forward.ReturnQueue // by service
}

func newStatements() statements { return statements{returns: map[string]*forward.ReturnQueue{}} }

// Reasons for which a placed request is not sent: its endpoint has said so since.
var (
	errLeaving = errors.New("the endpoint has said that it leaves since the request was placed")
	errPaused  = errors.New("the endpoint has asked for no requests for some time since the request was placed")
)

// withheld reports whether an attempt ended before anything was sent for a reason that says nothing
// about the endpoint's health.
func withheld(err error) bool {
	switch err {
	case errConnLimit, errEvacuated, errWarmingUp, errKeyStale, errWeightsOutdated, errCacheGroupChanged, errHeld, errLeaving, errPaused, errCallerLeft, errSuperseded:
		return true
	}
	return false
}

// refusesForNow reports whether a response refuses a request for a reason that is no failure of the
// endpoint: it names a limit, or a time to come back.
func refusesForNow(status int, r ResponseInfo) bool {
	return limitsRequests(status, r) || r.RetryAfter > 0
}

// observeStatements records what a response says of the endpoint that gave it. The endpoint that
// was asked did not give a response that is misdirected, unless that states its ID.
func (g *Gateway) observeStatements(e forward.Endpoint, r ResponseInfo) {
	g.unknownHeaders.observe(e.ID, r.Unknown)
	if r.Misdirected && r.Endpoint != e.ID {
		return
	}
	g.observeWarmUp(e, r)
	for _, header := range r.Unreadable {
		log.Warn().Str("event", "endpoint_header_unreadable").Str("endpoint", e.ID).Str("header", header).Msg("a header of an endpoint's answer can't be read and is ignored")
	}
	if !r.Leaving && r.RetryAfter <= 0 {
		return
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if r.Leaving && s.statements.RecordLeaving(&e, now) {
		s.listedCache = nil
		log.Info().Str("event", "endpoint_leaving").Str("endpoint", e.ID).Str("service", e.Service).Int64("started", e.StartedUnixMs).Msg("the endpoint says that it leaves and gets no new requests")
	}
	if r.RetryAfter > 0 {
		before := s.statements.PausedUntil(&e, now)
		if until := s.statements.RecordPause(&e, r.RetryAfter, now); until > before {
			log.Info().Str("event", "endpoint_paused").Str("endpoint", e.ID).Str("service", e.Service).Dur("asked_ms", r.RetryAfter).Dur("pause_ms", until-now).Msg("the endpoint turned a request away and gets no requests for the time that it states")
		}
	}
}

// observeControl records what the answer to a control call says.
func (g *Gateway) observeControl(e forward.Endpoint, r ResponseInfo, sentAt time.Duration) {
	g.observeStatements(e, r)
	if !r.Misdirected {
		g.observeControlLimit(e.ID, r.Limit, sentAt)
	}
}

// checkStatements returns an error if the endpoint of a placement has said since that it wants no
// further requests. The caller holds the state's mutex.
func (s *state) checkStatements(p *placement) error {
	switch {
	case s.statements.Leaving(&p.endpoint):
		return errLeaving
	case s.statements.PausedUntil(&p.endpoint, s.clock()) > 0:
		return errPaused
	}
	return nil
}

// statementError returns the refusal of a request which no endpoint takes because of what all of
// them have said, or nil if there is another reason.
func (q *request) statementError(s *state, cs []forward.Candidate, now time.Duration) *apierr.Error {
	end, slots, paused := forward.PauseEnd(cs, q.tried, now)
	message := "the endpoints that could take the request have asked for no requests for some time"
	if !paused {
		if len(cs) > 0 || !s.anyLeaving(q.service.Name, now) {
			return nil
		}
		end, slots = now+endpointPollPause(s.settings), 1 // none can be found sooner
		message = "the endpoints of the service leave, and no other is known"
	}
	return apierr.NewRetryable(apierr.NoEndpoint, apierr.NotRun, s.returnQueue(q.service.Name).Refuse(end, slots, now, s.rng), message, "send the request again at the stated time")
}

// anyLeaving reports whether an endpoint of the service is still in the list but has said that it
// leaves.
func (s *state) anyLeaving(service string, now time.Duration) bool {
	found := false
	s.endpointList.Each(now, func(e forward.Endpoint) {
		found = found || e.Service == service && s.statements.Leaving(&e)
	})
	return found
}

// readyByList returns the endpoints that are ready by their records. Other entries may begin streams
// at one that has told only this entry that it leaves, so its build is still in use.
func (s *state) readyByList(now time.Duration) []forward.Endpoint {
	out := make([]forward.Endpoint, 0, s.endpointList.Len())
	s.endpointList.Each(now, func(e forward.Endpoint) { out = append(out, e) })
	return out
}

func (s *state) returnQueue(service string) *forward.ReturnQueue {
	r := s.statements.returns[service]
	if r == nil {
		r = &forward.ReturnQueue{}
		s.statements.returns[service] = r
	}
	return r
}

// refusalAfterAttempt returns the refusal of a request after an attempt that did not run it, when no
// further one is allowed.
func (q *request) refusalAfterAttempt(x *exchangeError) *apierr.Error {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	cs := s.candidates(q.service.Name, q.call.Prompt, q.priority(), q.tried, now)
	if q.bound {
		forward.KeepBuild(cs, q.build)
	}
	if err := q.statementError(s, cs, now); err != nil {
		return err.WithCause(x)
	}
	return apierr.NewRetryable(apierr.Overloaded, apierr.NotRun, q.returnAfter(s, 0, now), x.Error(), "send the request again").WithCause(x)
}

// endpointPollPause returns the pause between two reads of the endpoint list.
func endpointPollPause(s Settings) time.Duration {
	return time.Duration(endpointPollShare * float64(milliseconds(s.DrainMs)))
}

// statusError returns the failure of an attempt by the status of its response.
func statusError(resp *response, err error) *exchangeError {
	status := resp.httpResp.StatusCode
	return &exchangeError{sent: true, limited: refusesForNow(status, resp.info), status: status, err: err}
}
