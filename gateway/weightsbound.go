package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"
)

// withdrawMargin is the time before the version bound at which prompts that still wait are withdrawn
// from endpoints with older weights. It covers the time in which such an endpoint notices that the
// connection is closed.
const withdrawMargin = 250 * time.Millisecond

// errWeightsExpired is the error of an attempt whose prompt had not begun on older weights when the
// time ended within which it might.
var errWeightsExpired = errors.New("the prompt was withdrawn: it had not begun on the endpoint's older weights in time")

// waitingPrompt is an attempt that has not brought an event yet.
type waitingPrompt struct {
	model     string
	version   int64
	withdraw  context.CancelFunc
	begun     bool
	withdrawn bool
}

// awaitBeginning has the attempt withdrawn if it has not begun by the time until which prompts may
// begin on the weights of its endpoint: the wait there may be longer than expected.
func (q *request) awaitBeginning(ctx context.Context, p *placement) context.Context {
	if q.call.Prompt == nil || p.choice.Version <= 0 || q.g.settings.VersionMs <= 0 {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingPrompts[p] = &waitingPrompt{model: q.call.Prompt.Model, version: p.choice.Version, withdraw: cancel}
	return ctx
}

// recordBeginning records that the prompt of an attempt has begun, so that it isn't withdrawn any
// more and its endpoint saves the parts that it was ordered to. The caller holds the state's mutex.
func (s *state) recordBeginning(p *placement) {
	if w := s.waitingPrompts[p]; w != nil {
		w.begun = true
	}
	p.endSaves(s.clock())
}

// withdrawnError returns errWeightsExpired in place of the error with which an attempt ended that was
// withdrawn.
func (q *request) withdrawnError(p *placement, x *exchangeError) *exchangeError {
	s := q.g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waitingPrompts[p]; x == nil || !x.sent || x.notRun || w == nil || !w.withdrawn {
		return x
	}
	return &exchangeError{sent: true, err: errWeightsExpired}
}

// endWait forgets an attempt that has ended. The caller holds the state's mutex.
func (s *state) endWait(p *placement) {
	if w := s.waitingPrompts[p]; w != nil {
		w.withdraw()
		delete(s.waitingPrompts, p)
	}
}

// withdrawPrompts withdraws the prompts that wait for endpoints on whose weights prompts may not begin
// any more.
func (g *Gateway) withdrawPrompts() {
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now, n := s.clock(), 0
	for _, w := range s.waitingPrompts {
		since, outdated := s.rollout.RetiredSince(w.model, w.version)
		if w.begun || w.withdrawn || !outdated || now < since+milliseconds(s.settings.VersionMs)-withdrawMargin {
			continue
		}
		w.withdrawn = true
		w.withdraw()
		n++
	}
	if n > 0 {
		log.Warn().Str("event", "prompts_withdrawn").Int("prompts", n).Msg("prompts that waited for endpoints with older weights were withdrawn before the version bound")
	}
}
