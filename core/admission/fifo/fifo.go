// Package fifo registers the baseline policy admission.fifo: first come, first
// served; a request is rejected only when the queue is full.
package fifo

import (
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/admission"
	"github.com/galenaweir/galenaweir/core/kernel"
)

// ID is the name under which the policy is registered.
const ID kernel.ID = "admission.fifo"

func init() { kernel.Register(kernel.Info{ID: ID, New: func() any { return &Policy{} }}) }

const retryAfter = time.Second

// Policy implements admission.Policy.
type Policy struct {
	opts    admission.Options
	waiting []*admission.Request
	running int
}

// Configure implements admission.Policy.
func (p *Policy) Configure(o admission.Options) { p.opts = o }

// Enqueue implements admission.Policy.
func (p *Policy) Enqueue(r *admission.Request, _ time.Time) admission.Decision {
	if len(p.waiting) >= p.opts.MaxWaiting {
		return admission.Decision{Outcome: admission.RejectedQueueFull, RetryAfter: retryAfter}
	}
	p.waiting = append(p.waiting, r)
	return admission.Decision{}
}

// Next implements admission.Policy.
func (p *Policy) Next(now time.Time) *admission.Request {
	if len(p.waiting) == 0 || p.running >= p.opts.Slots {
		return nil
	}
	r := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.ForceStart(r, now)
	return r
}

// ForceStart implements admission.Policy.
func (p *Policy) ForceStart(r *admission.Request, now time.Time) {
	r.SetStarted(now)
	p.running++
}

// Done implements admission.Policy.
func (p *Policy) Done(*admission.Request, int, time.Time) { p.running-- }

// Cancel implements admission.Policy.
func (p *Policy) Cancel(r *admission.Request) bool {
	i := slices.Index(p.waiting, r)
	if i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	return i >= 0
}

// Load implements admission.Policy.
func (p *Policy) Load() admission.Load {
	l := admission.Load{Running: p.running, Waiting: len(p.waiting)}
	for _, r := range p.waiting {
		l.QueuedTokens += r.Tokens
	}
	return l
}
