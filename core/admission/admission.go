// Package admission defines the admission control of an agent: which queued request
// starts next at an endpoint, and which new request is rejected immediately because
// the queue is full or it would start after its deadline. Policies are plug-ins of
// the family "admission"; they get the current time as an argument.
package admission

import "time"

// Class is a priority class.
type Class struct {
	Rank          int     // classes with a higher rank are served first
	MinShare      float64 // minimum share of the tokens while the class has queued requests
	ReservedSlots int     // slots that only this class may use
}

// Options describes an endpoint.
type Options struct {
	Slots           int     // maximum number of running requests
	TokensPerSecond float64 // initial estimate of the rate of one slot, until it is measured
	MaxWaiting      int     // maximum number of queued requests; further ones are rejected
	Classes         map[string]Class
}

// Request is a request to start at an endpoint. A policy retains the pointer until
// Done or Cancel.
type Request struct {
	Customer string
	Weight   float64 // weight of the customer, normally 1
	Class    string
	Tokens   int       // prompt tokens and expected output tokens
	Deadline time.Time // latest start; zero for no deadline

	queued   time.Time
	started  time.Time
	startTag float64 // virtual start time, in tokens divided by weight
}

// Outcome states whether a new request was accepted or why it was rejected.
type Outcome int

// The outcomes of an admission decision.
const (
	Accepted          Outcome = iota // accepted: it is queued until Next returns it
	RejectedLate                     // rejected: it would start after its deadline
	RejectedQueueFull                // rejected: the queue is full
)

// Decision is the decision on a new request, with time estimates.
type Decision struct {
	Outcome       Outcome
	EstimatedWait time.Duration // estimated time until the request starts
	RetryAfter    time.Duration // for a rejected request, the time after which to retry
}

// Load is the number of running and queued requests, and the tokens of the queued
// ones.
type Load struct{ Running, Waiting, QueuedTokens int }

// Policy schedules the requests of one endpoint. It isn't safe for concurrent use.
type Policy interface {
	// Configure sets or changes the endpoint's options. Queued and running
	// requests are kept.
	Configure(o Options)
	// Enqueue queues a new request or rejects it. Rejecting a request doesn't change
	// the state of the policy.
	Enqueue(r *Request, now time.Time) Decision
	// Next starts the next queued request and returns it. It returns nil when none
	// may start.
	Next(now time.Time) *Request
	// ForceStart marks a request as started regardless of free slots, because it already
	// runs in the engine.
	ForceStart(r *Request, now time.Time)
	// Done ends a started request; tokens is the number that it actually used.
	Done(r *Request, tokens int, now time.Time)
	// Cancel removes a queued request. It returns false when the request is not
	// queued, for instance because it was already started.
	Cancel(r *Request) bool
	// Load returns the current load.
	Load() Load
}

// SetStarted records the time at which the request was started.
func (r *Request) SetStarted(now time.Time) { r.started = now }

// Started returns the time at which the request was started.
func (r *Request) Started() time.Time { return r.started }

// SetQueued records the time at which the request was queued.
func (r *Request) SetQueued(now time.Time) { r.queued = now }

// Queued returns the time at which the request was queued.
func (r *Request) Queued() time.Time { return r.queued }

// SetStartTag records the request's virtual start time.
func (r *Request) SetStartTag(v float64) { r.startTag = v }

// StartTag returns the request's virtual start time.
func (r *Request) StartTag() float64 { return r.startTag }
