package forward

// Streams that callers take up. Load pattern: a part of a build's endpoints end, and the callers of their
// streams come within a tenth of a second, while the rest of the endpoints have more new prompts than
// they read in time. The wait at which a new prompt is refused leaves them hardly any room, and they
// have no other build to go to.
const (
	// takeUpShare is how many streams may wait for longer than new prompts for each new prompt that is
	// placed: the others pay with their waits.
	takeUpShare = 1.0 / 32
	// maxTakeUpCredit is how many such streams an entry may place at once.
	maxTakeUpCredit = 2
)

// TakeUpCredit is how many streams may be taken up at a service although they wait for longer than a
// new prompt may. The zero value, of an entry that has just started, has none.
type TakeUpCredit struct{ credit float64 }

// RecordPlacement records that a new prompt was placed.
func (t *TakeUpCredit) RecordPlacement() { t.credit = min(t.credit+takeUpShare, maxTakeUpCredit) }

// Spend reports whether a stream with the given choice may be taken up although a new prompt would be
// refused, and spends the credit for it. Its next event is due within the whole target, of which a new
// prompt may use a part.
func (t *TakeUpCredit) Spend(c Choice, r *Route) bool {
	if t.credit < 1 || c.Suspect || c.ExpectedWait > r.LatencyTarget {
		return false
	}
	t.credit--
	return true
}
