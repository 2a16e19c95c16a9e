package rpc

import (
	"time"

	"github.com/galenaweir/galenaweir/core/apierr"
)

var ranToWire = map[apierr.Ran]Ran{
	apierr.NotRun: Ran_RAN_NOT_RUN, apierr.DidRun: Ran_RAN_RAN, apierr.RanUnknown: Ran_RAN_UNKNOWN,
}

// EncodeError returns the protobuf form of err, or nil for a nil error.
func EncodeError(err error) *Error {
	e := apierr.From(err)
	if e == nil {
		return nil
	}
	return &Error{
		Kind: string(e.Kind), Ran: ranToWire[e.Ran], Retryable: e.Retryable,
		RetryAfterMs: e.RetryAfter.Milliseconds(), Message: e.Message, Remedy: e.Remedy,
	}
}

// DecodeError returns the error for its protobuf form, or nil for nil. If w doesn't say
// whether the request ran, Ran is apierr.RanUnknown.
func DecodeError(w *Error) error {
	if w == nil {
		return nil
	}
	ran := apierr.RanUnknown
	switch w.Ran {
	case Ran_RAN_NOT_RUN:
		ran = apierr.NotRun
	case Ran_RAN_RAN:
		ran = apierr.DidRun
	}
	return &apierr.Error{
		Kind: apierr.Kind(w.Kind), Ran: ran, Retryable: w.Retryable,
		RetryAfter: time.Duration(w.RetryAfterMs) * time.Millisecond, Message: w.Message, Remedy: w.Remedy,
	}
}
