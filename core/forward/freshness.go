package forward

import "time"

// Freshness tracks the age of the operators' configuration as known to this process.
// A completed read that started at time t proves that all records committed before t
// are known; LongPoll.Proof is later for a read that waited in vain.
type Freshness struct {
	hasRead   bool
	asOf      time.Duration
	MaxKeyAge time.Duration // age of the configuration from which keys are no longer accepted
}

// RecordRead records a completed read that proves that all records committed before the given time
// are known.
func (f *Freshness) RecordRead(proof time.Duration) {
	if !f.hasRead || proof > f.asOf {
		f.hasRead, f.asOf = true, proof
	}
}

// Age returns the age of the known configuration, and false if nothing has been read
// yet.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	return now - f.asOf, f.hasRead
}

// ReadSince reports whether a read has proved that all records committed before t are known.
func (f *Freshness) ReadSince(t time.Duration) bool { return f.hasRead && f.asOf >= t }

// KeysValid reports whether keys may be accepted now. A revoked key must be refused
// everywhere within a bound, even by a process that can't read the log.
func (f *Freshness) KeysValid(now time.Duration) bool {
	age, ok := f.Age(now)
	return ok && age < f.MaxKeyAge
}
