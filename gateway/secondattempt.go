package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/galenaweir/galenaweir/core/forward"
)

// maxRacing is the number of attempts of one request that may be under way at the same time.
const maxRacing = 2

// errSuperseded is the end of an attempt whose connection was closed because another attempt
// answered first.
var errSuperseded = errors.New("another attempt answered first")

// Stages of an attempt, which decide whether one that loses counts as sent.
const (
	attemptPlaced int32 = iota
	attemptSending
	attemptWithheld // it lost before anything was sent, and nothing will be
)

// racingAttempt is an attempt that runs while another one may be under way. Its goroutine works on a
// copy of the request, and hands over what it found with the attempt.
type racingAttempt struct {
	q        *request
	p        *placement
	ctx      context.Context
	cancel   context.CancelFunc
	stage    atomic.Int32
	resp     *response
	err      *exchangeError
	panicked any
	endedAt  time.Duration // clock time of the answer, or of the end without one
}

// race is the part of a request in which up to two attempts wait for an answer. All its methods
// but report run in the goroutine of the request.
type race struct {
	q       *request
	ctx     context.Context
	results chan *racingAttempt
	running []*racingAttempt
	failing *racingAttempt // answered with a status that only wins if the other attempt fails
	second  bool           // a second attempt was placed

	mu   sync.Mutex
	over bool // results are no longer received
}

// send sends a placed request and delivers the response, with a second attempt if the first one is
// slow. It returns the placement of the attempt whose result is returned.
func (q *request) send(ctx context.Context, p *placement) (*placement, *exchangeError) {
	delay, ok := q.beginRace(p)
	if !ok {
		return p, q.sendTo(ctx, p)
	}
	r := &race{q: q, ctx: ctx, results: make(chan *racingAttempt, maxRacing)}
	defer r.end()
	r.start(p)
	winner := r.await(p, delay)
	r.recordOutcome(winner)
	if winner.err != nil {
		return winner.p, winner.err
	}
	r.end()
	defer winner.cancel()
	return winner.p, q.receive(winner.resp, winner.p)
}

// beginRace returns the time after which the attempt is overdue, 0 if that is not known, and false
// if the request must not be sent a second time.
func (q *request) beginRace(p *placement) (delay time.Duration, ok bool) {
	if q.g.settings.SecondAttemptShare <= 0 || q.headerSent {
		return 0, false
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.secondAttempts.Begin(q.route, p.choice.ExpectedWait, s.clock())
}

// start runs an attempt in a goroutine of its own.
func (r *race) start(p *placement) {
	s := r.q.g.state
	s.mu.Lock() // an earlier attempt that broke off may still be writing the request's keys
	view := *r.q
	s.mu.Unlock()
	a := &racingAttempt{q: &view, p: p}
	a.ctx, a.cancel = context.WithCancel(r.ctx)
	r.running = append(r.running, a)
	go func() {
		a.run()
		r.report(a)
	}()
}

// report hands an attempt over, or closes its connection if the race is over.
func (r *race) report(a *racingAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		a.discard()
		return
	}
	r.results <- a // never blocks: there is room for all attempts
}

// await returns the attempt that wins, or the last one to fail. It adds a second attempt when the
// first is overdue.
func (r *race) await(first *placement, delay time.Duration) *racingAttempt {
	var overdue <-chan time.Time
	if delay > 0 {
		c, stop := r.q.g.after(first.placedAt + delay - r.q.g.clock())
		defer stop()
		overdue = c
	}
	for {
		select {
		case <-overdue:
			overdue = nil
			if len(r.results) > 0 || r.ctx.Err() != nil {
				continue // the first attempt has just ended
			}
			if second := r.q.placeSecond(first); second != nil {
				r.second = true
				r.start(second)
			}
		case a := <-r.results:
			if w := r.settle(a); w != nil {
				return w
			}
		}
	}
}

// settle takes the result of an attempt into account. It returns the attempt that ends the race,
// nil while another one is waited for.
func (r *race) settle(a *racingAttempt) *racingAttempt {
	r.remove(a)
	if a.panicked != nil {
		r.drop(a)
		panic(a.panicked) // answered by recoverPanic
	}
	r.q.countAttempt(a.err)
	r.q.recordLateness(a)
	last := len(r.running) == 0
	switch {
	case a.err == nil && !a.retryable():
		return a
	case a.err == nil && last && r.failing == nil:
		return a
	case a.err == nil && r.failing == nil:
		r.failing = a
		return nil
	case r.failing != nil: // no attempt is left that may succeed
		w := r.failing
		r.failing = nil
		r.drop(a)
		return w
	case last:
		a.cancel()
		return a
	}
	r.drop(a)
	return nil
}

func (r *race) remove(a *racingAttempt) {
	kept := r.running[:0]
	for _, b := range r.running {
		if b != a {
			kept = append(kept, b)
		}
	}
	r.running = kept
}

// retryable reports whether the status of the response is one after which the request would be
// retried.
func (a *racingAttempt) retryable() bool {
	status := a.resp.httpResp.StatusCode
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

// drop finishes an attempt that failed while the other one is waited for or used.
func (r *race) drop(a *racingAttempt) {
	x := a.err
	if x == nil {
		x = statusError(a.resp, fmt.Errorf("the endpoint failed with %d", a.resp.httpResp.StatusCode))
	}
	a.discard()
	if !x.sent {
		r.q.unsentAttempts++
	}
	ended, end := context.WithCancel(r.ctx)
	end() // the other attempt must not wait until it is known what became of the endpoint
	r.q.observeBreakOff(ended, a.p, x)
	r.q.finishAttempt(a.p, x)
}

// discard closes the attempt's connection, which ends its run at the endpoint.
func (a *racingAttempt) discard() {
	a.cancel()
	if a.resp != nil {
		a.resp.close()
		a.resp = nil
	}
}

// end finishes all attempts but the one that await returned. Those that have failed by themselves
// count as failed; those that wait or answered too late count neither for nor against their endpoint.
func (r *race) end() {
	q := r.q
	r.mu.Lock()
	r.over = true
	r.mu.Unlock()
	for len(r.results) > 0 {
		a := <-r.results
		r.remove(a)
		q.countAttempt(a.err)
		q.recordLateness(a)
		if a.err != nil {
			r.drop(a)
			continue
		}
		a.discard()
		q.finishAttempt(a.p, &exchangeError{sent: true, err: errSuperseded})
	}
	for _, a := range r.running {
		x := &exchangeError{sent: !a.stage.CompareAndSwap(attemptPlaced, attemptWithheld), err: errSuperseded}
		a.cancel()
		q.countAttempt(x)
		q.recordUnanswered(a.p, q.g.clock())
		q.finishAttempt(a.p, x)
	}
	r.running = nil
	if r.failing != nil {
		r.drop(r.failing)
		r.failing = nil
	}
}

// run sends the request and waits for the first complete event of a stream, or for the head of
// another response.
func (a *racingAttempt) run() {
	defer func() {
		a.endedAt = a.q.g.clock()
		a.err = a.q.withdrawnError(a.p, a.err)
		if v := recover(); v != nil {
			log.Error().Str("event", "attempt_panicked").Str("request", a.q.call.ID).Any("panic", v).Str("stack", string(debug.Stack())).Msg("report this line to the developers")
			a.panicked, a.err = v, &exchangeError{sent: true, err: fmt.Errorf("the program has a fault: %v", v)}
		}
	}()
	a.resp, a.err = a.q.exchange(a.ctx, a.p, a.beforeSend)
	if a.err != nil {
		return
	}
	a.q.observeHead(a.p, a.resp)
	if !a.q.isEventStream(a.resp) {
		return
	}
	if err := a.resp.awaitFirstEvent(a.q.g.buffers.newBuffer()); err != nil {
		a.err = a.q.streamError(err)
		a.resp.close()
		a.resp = nil
	}
}

// beforeSend returns an error if the request may not be sent, or another attempt has answered.
func (a *racingAttempt) beforeSend() error {
	if err := a.q.checkSend(a.ctx, a.p); err != nil {
		return err
	}
	if !a.stage.CompareAndSwap(attemptPlaced, attemptSending) {
		return errSuperseded
	}
	return nil
}

// recordLateness adds a sample of the first attempt's lateness. Second attempts give none: those
// that end first would make the route appear faster than it is.
func (q *request) recordLateness(a *racingAttempt) {
	if a.err != nil || a.resp.httpResp.StatusCode >= http.StatusInternalServerError {
		q.recordUnanswered(a.p, a.endedAt)
		return
	}
	if a.p.second {
		return
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secondAttempts.RecordAnswer(q.route.Name, a.endedAt-a.p.placedAt-a.p.choice.ExpectedWait)
}

func (q *request) recordUnanswered(p *placement, endedAt time.Duration) {
	if p.second {
		return
	}
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secondAttempts.RecordUnanswered(q.route.Name, endedAt-p.placedAt-p.choice.ExpectedWait)
}

// placeSecond places a second attempt beside an overdue one. It returns nil, and changes nothing but
// counters, if there is to be none.
func (q *request) placeSecond(first *placement) *placement {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	q.accessLog.second = secondAttemptLog{overdue: true, overdueAfter: now - first.placedAt}
	p, skip := q.choosePlaceForSecond(s, now)
	if p == nil {
		q.accessLog.second.skip = skip
		q.g.secondAttempts.skipped.Add(string(skip), 1)
		return nil
	}
	q.accessLog.second.placed = true
	q.g.secondAttempts.outcomes.Add("sent", 1)
	q.g.secondAttempts.tokens.Add(int64(p.work.PrefillTokens))
	return p
}

// choosePlaceForSecond assigns a second attempt to an endpoint, or returns why there is none. The
// caller holds the state's mutex.
func (q *request) choosePlaceForSecond(s *state, now time.Duration) (*placement, forward.SecondSkip) {
	left := remaining(q.deadline, now)
	retries := s.retryBudget(q.service.Name)
	overdue := forward.OverdueAttempt{
		Route: q.route, Service: q.service.Name, Sent: q.sentAttempts + 1, Left: left, Total: q.deadline - q.arrivedAt,
		Held: q.held != nil, ProcessorShort: s.processorShort,
	}
	if skip := s.secondAttempts.Overdue(overdue, retries, now); skip != "" {
		return nil, skip
	}
	if q.keyExpired(s, now) {
		return nil, forward.SkipStale
	}
	trial := *q
	trial.tentative, trial.tried = true, s.withWarming(q.service.Name, q.tried, now)
	cs, c := trial.choose(s, left, now)
	if trial.held != nil {
		return nil, forward.SkipHeld
	}
	if !forward.SuitsSecondAttempt(c, cs, q.call.Prompt, q.route.LatencyTarget, left) {
		return nil, forward.SkipNoEndpoint
	}
	s.secondAttempts.Spend(q.service.Name, retries, now)
	c.RecordTransfers(&cs[c.Index], q.call.Prompt, now)
	p := q.assign(s, cs, c, now)
	p.second = true
	return p, ""
}

// withWarming returns the endpoints that a request was tried on and those that are warming up, which
// get no second attempts.
func (s *state) withWarming(service string, tried map[string]bool, now time.Duration) map[string]bool {
	out := maps.Clone(tried)
	for _, e := range s.listedEndpoints(now) {
		if e.Service == service && (e.WarmUpRemaining > 0 || s.endpointState(e.ID).warmUp.Bounded(s.serviceWarmUpBounds(service), now)) {
			out[e.ID] = true
		}
	}
	return out
}
