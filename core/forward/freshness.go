package forward

import "time"

// Freshness tells how old the operators' configuration may be. A read that
// started at t and completed proves that every record confirmed before t is known.
type Freshness struct {
	known    bool
	asOf     time.Duration
	KeyLimit time.Duration // age from which keys are no longer accepted
}

// Confirm records a completed read of all records confirmed before started.
func (f *Freshness) Confirm(started time.Duration) {
	if !f.known || started > f.asOf {
		f.known, f.asOf = true, started
	}
}

// Age returns the age of the belief; false when nothing was read yet.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - f.asOf, f.known
}

// ConfirmedSince tells whether a read that started at the time or later has
// completed.
func (f *Freshness) ConfirmedSince(t time.Duration) bool { return f.known && f.asOf >= t }

// KeysValid tells whether a key may be accepted now: a key that was taken away
// must be refused everywhere within a bound, also where the log can't be read.
func (f *Freshness) KeysValid(now time.Duration) bool {
	age, ok := f.Age(now)
	return ok && age < f.KeyLimit
}
