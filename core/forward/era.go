package forward

// Era counts how often the platform's log has returned from an older copy of its
// records. Offsets, group generations and the absence of records can be compared only
// within one era. It is 0 at a log that does not number its eras.
type Era int64

// MaxEra is the highest era that is accepted. It leaves room for the generation in a
// fencing token that readers of JSON numbers can represent exactly.
const MaxEra Era = 1 << 20

// EraOrder is the result of comparing the era of an answer with the newest known one.
type EraOrder int

// Results of EraTracker.Observe.
const (
	EraCurrent EraOrder = iota
	EraRisen            // the log has returned from an older copy since the last answer
	EraStale            // the answer must not change what is known
)

// EraTracker holds the newest era seen in the log's answers, which may arrive out of
// order.
type EraTracker struct {
	newest      Era
	known       bool
	unconfirmed Era // an era that skips others and has been seen once, 0 if none
}

// Newest returns the newest era, 0 if the log numbers none.
func (t *EraTracker) Newest() Era { return t.newest }

// Observe compares the era of an answer with the newest one. An era that skips others
// counts only when a second answer has it: one damaged value would otherwise make every
// later answer stale.
func (t *EraTracker) Observe(e Era) EraOrder {
	switch {
	case !t.known:
		t.newest, t.known = e, true
		return EraCurrent
	case e == t.newest:
		return EraCurrent
	case e < t.newest:
		return EraStale
	case t.newest == 0 || e == t.newest+1 || e == t.unconfirmed:
		t.newest, t.unconfirmed = e, 0
		return EraRisen
	}
	t.unconfirmed = e
	return EraStale
}
