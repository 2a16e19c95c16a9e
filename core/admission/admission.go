// Package admission decides at the agent which waiting request starts next at an
// endpoint, and which is refused at once because it would start too late. Policies
// are plug-ins of the family "admission"; they take the time as an argument.
package admission

import "time"

// Class is a priority class.
type Class struct {
	Rank          int     // higher goes first
	MinShare      float64 // of the tokens, while the class has requests waiting
	ReservedSlots int     // that other classes leave free for it
}

// Options describes the endpoint.
type Options struct {
	Slots           int     // requests that run at once
	TokensPerSecond float64 // of one slot, until it is measured
	MaxWaiting      int     // requests; more are refused
	Classes         map[string]Class
}

// Request is one request. A policy keeps the pointer until Done or Cancel.
type Request struct {
	Customer string
	Weight   float64 // of the customer, 1 is usual
	Class    string
	Tokens   int       // prompt and expected output
	Deadline time.Time // zero for none

	queued   time.Time
	started  time.Time
	startTag float64 // virtual time, tokens by weight
}

// Verdict is the answer to a new request.
type Verdict int

// The verdicts.
const (
	Wait   Verdict = iota // until Next returns it
	Late                  // refused: it would start after its deadline
	Queued                // refused: too many requests are waiting
)

// Offer is a verdict with its reasons.
type Offer struct {
	Verdict    Verdict
	Start      time.Duration // estimated wait
	RetryAfter time.Duration // for a refusal
}

// Load is what waits and runs.
type Load struct{ Running, Waiting, QueuedTokens int }

// Policy orders the requests of one endpoint. It isn't safe for concurrent use.
type Policy interface {
	// Configure sets or changes the endpoint's description. Requests stay.
	Configure(o Options)
	// Offer takes a new request or refuses it. A request that is refused leaves no
	// trace.
	Offer(r *Request, now time.Time) Offer
	// Next returns the request to start now, nil if none may.
	Next(now time.Time) *Request
	// Force starts a request regardless of slots, one that already runs in the engine.
	Force(r *Request, now time.Time)
	// Done ends a request that was started, with the tokens that it really took.
	Done(r *Request, tokens int, now time.Time)
	// Cancel takes back a request that waits; false if it was already started.
	Cancel(r *Request) bool
	Load() Load
}

// SetStart notes when the request was started.
func (r *Request) SetStart(now time.Time) { r.started = now }

// Started returns when the request was started.
func (r *Request) Started() time.Time { return r.started }

// SetQueued notes when the request began to wait.
func (r *Request) SetQueued(now time.Time) { r.queued = now }

// Queued returns when the request began to wait.
func (r *Request) Queued() time.Time { return r.queued }

// SetTag notes the request's virtual start time.
func (r *Request) SetTag(v float64) { r.startTag = v }

// Tag returns the request's virtual start time.
func (r *Request) Tag() float64 { return r.startTag }
