package forward

import "time"

// Streams that callers take up. Load pattern: a part of a build's endpoints end, and the callers of their
// streams come within a tenth of a second, while the rest of the endpoints have more new prompts than
// they read in time. The streams have no other build to go to, and a caller may have no further try, so
// that a stream that is refused is often lost. They wait at the entry, and try from time to time to get
// the room that a new prompt would get. While the load stays, that is hardly ever enough for a stream;
// some may then wait for longer than a new prompt.
const (
	// takeUpShare is how many streams may wait for longer than new prompts for each new prompt that is
	// placed: the others pay with their waits.
	takeUpShare = 1.0 / 32
	// maxTakeUpCredit is how many such streams an entry may place at once.
	maxTakeUpCredit = 2
	// takeUpFloor is the share of the streams that should find room, by that of the new prompts.
	takeUpFloor = 0.6
	// placedShareLength is how many requests a share is taken over.
	placedShareLength = 64

	// maxTakeUpWaits is how many streams of one service may wait at an entry.
	maxTakeUpWaits = 32

	// Bounds on the time between two tries. With less, streams take most of the room there is.
	minTakeUpPause = 150 * time.Millisecond
	maxTakeUpPause = 250 * time.Millisecond

	// Callers leave after a time without an event: the longest of minPatience, patienceTargets times the
	// latency target, and one that depends on the pauses between events.
	minPatience     = 2 * time.Second
	patienceTargets = 4

	// takeUpWaitShare is the part of the time left for which a stream waits at an entry at the most, or
	// its caller before it comes back.
	takeUpWaitShare = 3
	maxTakeUpWait   = 5 * time.Second // of a caller
)

// TakeUpCredit is how many streams may be taken up at a service although they wait for longer than a
// new prompt may, while they find room less often than new prompts do. The zero value, of an entry that
// has just started, has none.
type TakeUpCredit struct {
	credit        float64
	news, takeUps placedShare
}

// RecordPlacement records that a new prompt was placed.
func (t *TakeUpCredit) RecordPlacement() {
	t.credit = min(t.credit+takeUpShare, maxTakeUpCredit)
	t.news.record(true)
}

// RecordRefusal records that a new prompt was refused for lack of room.
func (t *TakeUpCredit) RecordRefusal() { t.news.record(false) }

// RecordTakeUp records whether a stream found room.
func (t *TakeUpCredit) RecordTakeUp(placed bool) { t.takeUps.record(placed) }

// Spend reports whether a stream with the given choice may be taken up although a new prompt would be
// refused, and spends the credit for it. Its next event is due within the whole target, of which a new
// prompt may use a part.
func (t *TakeUpCredit) Spend(c Choice, r *Route) bool {
	if t.credit < 1 || c.Suspect || c.ExpectedWait > r.LatencyTarget {
		return false
	}
	if t.takeUps.withRefusal() >= takeUpFloor*t.news.share() {
		return false
	}
	t.credit--
	return true
}

// placedShare is the share of the latest requests of a kind that found room.
type placedShare struct{ placed, refused float64 }

func (p *placedShare) record(placed bool) {
	if p.placed+p.refused >= placedShareLength {
		p.placed, p.refused = p.placed/2, p.refused/2
	}
	if placed {
		p.placed++
	} else {
		p.refused++
	}
}

func (p *placedShare) share() float64 {
	if p.placed+p.refused == 0 {
		return 1
	}
	return p.placed / (p.placed + p.refused)
}

// withRefusal returns the share after one more refusal.
func (p *placedShare) withRefusal() float64 { return p.placed / (p.placed + p.refused + 1) }

// TakeUpWaits counts the streams of a service that wait at this entry. The zero value has none.
type TakeUpWaits struct{ waiting int }

// Full reports whether no further stream may wait.
func (t *TakeUpWaits) Full() bool { return t.waiting >= maxTakeUpWaits }

// Begin records that a stream waits, and reports whether it may.
func (t *TakeUpWaits) Begin() bool {
	if t.Full() {
		return false
	}
	t.waiting++
	return true
}

// End records that a stream no longer waits.
func (t *TakeUpWaits) End() { t.waiting-- }

// TakeUpWait returns for how long a stream may wait for room, by the latency target of its route and the
// time left to its deadline: its first event should come before its caller leaves.
func TakeUpWait(target, left time.Duration) time.Duration {
	return min(max(minPatience, patienceTargets*target)-target, left/takeUpWaitShare)
}

// TakeUpPause returns the time until a stream that waits tries again, by a random number from 0 to 1.
func TakeUpPause(random float64) time.Duration {
	return minTakeUpPause + time.Duration(random*float64(maxTakeUpPause-minTakeUpPause))
}

// TakeUpRetryAfter returns the time after which a caller comes back that could not take up its
// stream, by a random number from 0 to 1: at a time of its own between base and what callers wait.
// Streams that break off together are taken up together, by callers that try only a few times.
func TakeUpRetryAfter(base, left time.Duration, random float64) time.Duration {
	longest := min(left/takeUpWaitShare, maxTakeUpWait)
	return base + time.Duration(random*float64(max(longest-base, 0)))
}
