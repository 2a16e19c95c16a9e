package claims

import (
	"math"
	"time"
)

// Standing tells how the log has judged an attempt.
type Standing uint8

// The standings. All but Unseen are final, except that Valid may become Released.
const (
	Unseen   Standing = iota // neither its claim nor a void has been read
	Valid                    // its claim holds the key
	Invalid                  // its claim came when the key was held, or too late
	Voided                   // a void or release came before its claim
	Released                 // its claim held the key and gave it back
)

// Holding is the valid claim of a key that is in effect.
type Holding struct {
	Claim   Claim
	Settled bool     // its outcome is recorded
	At      Position // of the outcome's record, when Settled
	Outcome *Outcome // read again from the log for ResultSettled, else nil
}

// Position is the place of a record in the log.
type Position struct {
	Offset int64 // of its entry
	Index  int   // in its entry
}

// maxKeyWindow is the longest key window that a configuration may set.
const maxKeyWindow = 7 * 24 * time.Hour

// voidMark and floorMark remember where a void or a floor was read, until it may
// be forgotten.
type voidMark struct {
	offset, stampMs int64
	attempt         attemptID
}

type floorMark struct {
	offset   int64
	resource Hash
}

type floor struct {
	version uint64
	offset  int64
}

// State is what one reader knows of a claim partition. Every reader that has
// applied the same entries has judged every claim alike.
type State struct {
	began    bool                 // a page was read, if only an empty one
	next     int64                // offset of the next entry to apply
	start    int64                // offset of the first entry applied
	startMs  int64                // its stamp, zero before it is known
	logMs    int64                // the latest stamp
	holdings map[Hash]uint32      // numbers of kept claims
	attempts map[attemptID]uint32 // numbers of kept claims, or voided
	kept     arena
	names    names
	floors   map[Hash]floor
	voids    []voidMark
	shown    []floorMark
	// forgottenMs is the latest key time among the forgotten holdings. Claims of
	// keys up to it are invalid, so that a longer key window in a later
	// configuration can't revive a key that was forgotten under a shorter one.
	forgottenMs int64
}

// voided stands for an attempt whose void or release came before its claim.
const voided = math.MaxUint32

// NewState returns a state that has read nothing.
func NewState() *State {
	return &State{holdings: map[Hash]uint32{}, attempts: map[attemptID]uint32{}, names: newNames(), floors: map[Hash]floor{}}
}

// Next returns the offset of the next entry to apply.
func (s *State) Next() int64 { return s.next }

// Size returns the number of keys that are held.
func (s *State) Size() int { return len(s.holdings) }

// Holding returns the claim that holds the key.
func (s *State) Holding(key Hash) (Holding, bool) {
	i, ok := s.holdings[key]
	if !ok {
		return Holding{}, false
	}
	k := s.kept.at(i)
	h := Holding{Settled: k.settled, Claim: Claim{
		Key: k.key, Body: k.body, Attempt: s.names.attemptText(k.attempt), Executor: s.names.list[k.executor].text,
		Incarnation: s.names.list[k.incarnation].text, KeyTimeMs: k.keyTimeMs, ExpiresMs: k.expiresMs,
	}}
	if k.settled {
		h.At = Position{k.outcomeOffset, int(k.outcomeIndex)}
	}
	return h, true
}

// Standing returns how the log has judged the attempt.
func (s *State) Standing(attempt string) Standing {
	_, standing := s.judged(attempt)
	return standing
}

// judged returns the attempt's claim, nil when it has none, and its standing.
func (s *State) judged(attempt string) (*kept, Standing) {
	id, ok := s.names.findAttempt(attempt)
	if !ok {
		return nil, Unseen
	}
	i, ok := s.attempts[id]
	switch {
	case !ok:
		return nil, Unseen
	case i == voided:
		return nil, Voided
	}
	k := s.kept.at(i)
	return k, k.standing
}

// Floor returns the resource's floor, zero when there is none.
func (s *State) Floor(resource Hash) uint64 { return s.floors[resource].version }

// Covers reports whether a claim of a key with this time can't have been trimmed
// from the log before this reader started. A valid claim is stamped at most
// FutureLimit before its key's time.
func (s *State) Covers(keyTimeMs int64) bool {
	return s.start == 0 || s.startMs != 0 && keyTimeMs > s.startMs+FutureLimit.Milliseconds()
}

// Read applies a page that was read from Next on. It returns false when entries
// in between were trimmed; the state is then empty and must be read again.
func (s *State) Read(p Page) bool {
	if p.First > s.next {
		began := s.began
		*s = *NewState()
		s.start, s.next = p.First, p.First
		if began {
			return false
		}
	}
	s.began = true
	for _, e := range p.Entries {
		if e.Offset != s.next {
			if e.Offset < s.next {
				continue
			}
			break // the page has a hole: read again from next on
		}
		s.apply(e)
	}
	s.trim(p.First)
	return true
}

func (s *State) apply(e Entry) {
	s.next = e.Offset + 1
	if e.Offset == s.start {
		s.startMs = e.TimeMs
	}
	s.logMs = max(s.logMs, e.TimeMs)
	s.expire()
	for i, r := range e.Records {
		switch r.Kind {
		case KindClaim:
			s.claim(r.Claim, e.TimeMs)
		case KindVoid:
			s.void(r.Attempt, e)
		case KindRelease:
			s.release(r.Attempt, e)
		case KindOutcome:
			s.outcome(r.Attempt, Position{e.Offset, i})
		case KindFloor:
			if r.Version > s.floors[r.Resource].version {
				s.floors[r.Resource] = floor{r.Version, e.Offset}
				s.shown = append(s.shown, floorMark{e.Offset, r.Resource})
			}
		}
	}
}

// claim judges a claim. An attempt is judged once: a later copy of its record
// changes nothing.
func (s *State) claim(c Claim, stampMs int64) {
	switch {
	case s.Standing(c.Attempt) != Unseen:
		return
	case stampMs > c.ExpiresMs, c.KeyTimeMs <= s.forgottenMs, c.KeyTimeMs > stampMs+FutureLimit.Milliseconds():
		return // outside the window by the log's own clock
	}
	_, held := s.holdings[c.Key]
	k := kept{
		key: c.Key, body: c.Body, attempt: s.names.addAttempt(c.Attempt), keyTimeMs: c.KeyTimeMs, expiresMs: c.ExpiresMs,
		executor: s.names.add(c.Executor), incarnation: s.names.add(c.Incarnation), standing: Valid,
	}
	if held {
		k.standing = Invalid
	}
	i := s.kept.add(k)
	s.attempts[k.attempt] = i
	if !held {
		s.holdings[c.Key] = i
	}
}

func (s *State) void(attempt string, e Entry) {
	if s.Standing(attempt) == Unseen {
		id := s.names.addAttempt(attempt)
		s.attempts[id] = voided
		s.voids = append(s.voids, voidMark{e.Offset, e.TimeMs, id})
	}
}

func (s *State) release(attempt string, e Entry) {
	k, standing := s.judged(attempt)
	if standing == Unseen {
		s.void(attempt, e)
		return
	}
	if standing != Valid || k.settled {
		return // an outcome proves that the attempt ran
	}
	delete(s.holdings, k.key)
	k.standing = Released
}

func (s *State) outcome(attempt string, at Position) {
	if k, standing := s.judged(attempt); standing == Valid && !k.settled {
		k.settled, k.outcomeOffset, k.outcomeIndex = true, at.Offset, uint32(at.Index)
	}
}

// expire forgets the claims that no later entry can repeat validly.
func (s *State) expire() {
	for {
		k, ok := s.kept.expired(s.logMs)
		if !ok {
			return
		}
		delete(s.attempts, k.attempt)
		s.names.dropAttempt(k.attempt)
		s.names.drop(k.executor)
		s.names.drop(k.incarnation)
		if k.standing == Valid {
			s.forgottenMs = max(s.forgottenMs, k.keyTimeMs)
			delete(s.holdings, k.key)
		}
	}
}

// trim forgets the floors that the log has dropped, and the voids that are so old
// that no claim after them can be within its window, even when the log's
// retention is shorter than the window.
func (s *State) trim(first int64) {
	n := 0
	for ; n < len(s.shown) && s.shown[n].offset < first; n++ {
		if m := s.shown[n]; s.floors[m.resource].offset == m.offset {
			delete(s.floors, m.resource)
		}
	}
	s.shown = s.shown[n:]
	old := s.logMs - (maxKeyWindow + FutureLimit).Milliseconds()
	for n = 0; n < len(s.voids) && s.voids[n].offset < first && s.voids[n].stampMs < old; n++ {
		delete(s.attempts, s.voids[n].attempt)
		s.names.dropAttempt(s.voids[n].attempt)
	}
	s.voids = s.voids[n:]
}
