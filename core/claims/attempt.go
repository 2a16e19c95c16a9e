package claims

// Phase is the phase of an executor's attempt.
type Phase int

// The phases of an attempt.
const (
	Open       Phase = iota // no grant yet
	Granted                 // may be dispatched once
	Dispatched              // the service may have received it
	Settled                 // its result is known
	Closed                  // never dispatched and never will be
)

// Attempt is one attempt of a key at its executor. The caller serializes the
// calls; each method is one atomic step.
type Attempt struct{ phase Phase }

// Phase returns the phase.
func (a *Attempt) Phase() Phase { return a.phase }

// Grant takes the keeper's grant. Only the first grant of an open attempt counts.
func (a *Attempt) Grant() bool { return a.move(Open, Granted) }

// Dispatch uses up the grant. The caller may send the request to the service
// only when it returns true.
func (a *Attempt) Dispatch() bool { return a.move(Granted, Dispatched) }

// Settle ends a dispatched attempt.
func (a *Attempt) Settle() bool { return a.move(Dispatched, Settled) }

// Close gives the attempt up. When it returns true the attempt was not
// dispatched and never will be, so that not_run is true.
func (a *Attempt) Close() bool {
	return a.phase == Closed || a.move(Open, Closed) || a.move(Granted, Closed)
}

func (a *Attempt) move(from, to Phase) bool {
	if a.phase != from {
		return false
	}
	a.phase = to
	return true
}
