// Package apierr defines the typed errors of galenaweir. Code that calls a library
// converts the library's errors to these kinds at that boundary; see docs/design.md,
// section 10.
package apierr

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether a failed request was executed.
type Ran string

// The values of Ran. NotRun also guarantees that the request will not be executed
// later.
const (
	NotRun     Ran = "not_run"
	DidRun     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Kind is the type of an error. Callers may switch on it.
type Kind string

// The kinds and their HTTP status codes.
const (
	InvalidRequest   Kind = "invalid_request"   // 400
	InvalidKey       Kind = "invalid_key"       // 400
	Unauthenticated  Kind = "unauthenticated"   // 401
	Forbidden        Kind = "forbidden"         // 403
	NotFound         Kind = "not_found"         // 404
	UnknownModel     Kind = "unknown_model"     // 404
	RequestTimeout   Kind = "request_timeout"   // 408
	KeyExpired       Kind = "key_expired"       // 409
	AnswerNotKept    Kind = "answer_not_kept"   // 409
	TooLarge         Kind = "too_large"         // 413
	KeyReused        Kind = "key_reused"        // 422
	RateLimited      Kind = "rate_limited"      // 429
	Cancelled        Kind = "cancelled"         // 499
	Internal         Kind = "internal"          // 500
	EndpointFailed   Kind = "endpoint_failed"   // 502
	OutcomeUnknown   Kind = "outcome_unknown"   // 502
	Overloaded       Kind = "overloaded"        // 503
	DeadlineUnmet    Kind = "deadline_unmet"    // 503
	Draining         Kind = "draining"          // 503
	NotReady         Kind = "not_ready"         // 503
	LogUnavailable   Kind = "log_unavailable"   // 503
	NoEndpoint       Kind = "no_endpoint"       // 503
	StaleReplica     Kind = "stale_replica"     // 503
	PromptPartHeld   Kind = "prompt_part_held"  // 503
	RequestHeld      Kind = "request_held"      // 503
	DeadlineExceeded Kind = "deadline_exceeded" // 504
)

var statuses = map[Kind]int{
	InvalidRequest: 400, InvalidKey: 400, Unauthenticated: 401, Forbidden: 403,
	NotFound: 404, UnknownModel: 404, RequestTimeout: 408, KeyExpired: 409, AnswerNotKept: 409,
	TooLarge: 413, KeyReused: 422, RateLimited: 429, Cancelled: 499,
	Internal: 500, EndpointFailed: 502, OutcomeUnknown: 502, Overloaded: 503,
	DeadlineUnmet: 503, Draining: 503, NotReady: 503, LogUnavailable: 503,
	NoEndpoint: 503, StaleReplica: 503, PromptPartHeld: 503, RequestHeld: 503, DeadlineExceeded: 504,
}

// Error is an error that is reported to a client or an operator.
type Error struct {
	Kind       Kind
	Ran        Ran
	Retryable  bool
	RetryAfter time.Duration // minimum delay before a retry; zero if Retryable is false
	RequestID  string
	Message    string // what failed and where
	Remedy     string // how to resolve it
	Cause      error
}

// New returns an error that must not be retried.
func New(k Kind, ran Ran, message, remedy string) *Error {
	return &Error{Kind: k, Ran: ran, Message: message, Remedy: remedy}
}

// NewRetryable returns an error that may be retried after the delay.
func NewRetryable(k Kind, ran Ran, after time.Duration, message, remedy string) *Error {
	return &Error{Kind: k, Ran: ran, Retryable: true, RetryAfter: after, Message: message, Remedy: remedy}
}

// Error returns the kind, the value of Ran, the message and the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s (%s): %s", e.Kind, e.Ran, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Ran, e.Message, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of e that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithRequest returns a copy of e with the request ID.
func (e *Error) WithRequest(id string) *Error {
	c := *e
	c.RequestID = id
	return &c
}

// Status returns the HTTP status code of the kind, or 500 if the kind is unknown.
func (k Kind) Status() int {
	if s, ok := statuses[k]; ok {
		return s
	}
	return 500
}

// From returns the first *Error in err's chain, nil if err is nil, or else an Internal
// error that wraps err and whose Ran is RanUnknown.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, RanUnknown, "unexpected error", "report the request's ID to the operators").WithCause(err)
}

// Is reports whether the first *Error in err's chain has the kind.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
