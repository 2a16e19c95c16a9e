package claims

// Phase is the phase of an attempt at its executor.
type Phase int

// The phases of an attempt.
const (
	Open       Phase = iota // not granted yet
	Granted                 // may be dispatched once
	Dispatched              // the service may have received the request
	Settled                 // the result is known
	Closed                  // was not dispatched and never will be
)

// Attempt is the state machine of one attempt to run a key, held by its executor.
// It is not safe for concurrent use.
type Attempt struct{ phase Phase }

// Phase returns the attempt's current phase.
func (a *Attempt) Phase() Phase { return a.phase }

// Grant moves an open attempt to Granted and reports whether it did. Later grants
// and grants of a closed attempt have no effect.
func (a *Attempt) Grant() bool { return a.transition(Open, Granted) }

// Dispatch consumes the grant and reports whether the caller may send the request
// to the service.
func (a *Attempt) Dispatch() bool { return a.transition(Granted, Dispatched) }

// Settle marks a dispatched attempt as settled and reports whether it did.
func (a *Attempt) Settle() bool { return a.transition(Dispatched, Settled) }

// Close abandons the attempt unless it was dispatched. It reports whether the
// attempt is closed, in which case not_run may be returned to the client.
func (a *Attempt) Close() bool {
	return a.phase == Closed || a.transition(Open, Closed) || a.transition(Granted, Closed)
}

func (a *Attempt) transition(from, to Phase) bool {
	if a.phase != from {
		return false
	}
	a.phase = to
	return true
}
