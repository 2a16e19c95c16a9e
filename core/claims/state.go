package claims

import (
	"math"
	"time"
)

// ClaimStatus is the status of an attempt's claim according to the log.
type ClaimStatus uint8

// The statuses of a claim. All but Unseen are final, except that Valid may become
// Released.
const (
	Unseen   ClaimStatus = iota // no void or release and no claim within the key window was applied
	Valid                       // the claim holds the key
	Invalid                     // another claim held the key when this one was applied
	Voided                      // a void or release was applied before the claim
	Released                    // the claim held the key and was released
)

// Holder is the valid claim that holds a key.
type Holder struct {
	Claim           Claim
	Settled         bool     // an outcome is recorded
	OutcomePosition Position // position of the outcome record if Settled
	Outcome         *Outcome // read from the log for ResultSettled, else nil
}

// Position is the position of a record in the log.
type Position struct {
	Offset int64 // offset of the entry
	Index  int   // index of the record in the entry
}

// maxKeyWindow is the longest key window that a configuration may set.
const maxKeyWindow = 7 * 24 * time.Hour

// appliedVoid is an applied void, kept until evictTrimmed may remove it.
type appliedVoid struct {
	offset, timeMs int64
	attempt        attemptID
}

// appliedFloor is an applied floor, kept until the log has trimmed its entry.
type appliedFloor struct {
	offset   int64
	resource Hash
}

type floor struct {
	version uint64
	offset  int64
}

// State is the state of a claim partition, built by applying its log. It is
// deterministic: readers that have applied the same entries agree on every claim.
type State struct {
	pageApplied   bool                 // a page was applied, possibly an empty one
	next          int64                // offset of the next entry to apply
	startOffset   int64                // offset of the first entry applied
	startTimeMs   int64                // append time of that entry, zero if unknown
	logTimeMs     int64                // latest append time applied
	holders       map[Hash]uint32      // claim index by key
	attempts      map[attemptID]uint32 // claim index by attempt, or voidedIndex
	claims        arena
	strings       stringTable
	floors        map[Hash]floor
	appliedVoids  []appliedVoid
	appliedFloors []appliedFloor
	// evictedKeyTimeMs is the latest key time among the evicted claims that held
	// their key. Claims with a key time up to it are ignored, so that a key evicted
	// under a short key window can't be claimed again when a later configuration
	// sets a longer window.
	evictedKeyTimeMs int64
}

// voidedIndex marks an attempt in State.attempts whose void or release was applied
// before its claim.
const voidedIndex = math.MaxUint32

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{holders: map[Hash]uint32{}, attempts: map[attemptID]uint32{}, strings: newStringTable(), floors: map[Hash]floor{}}
}

// NextOffset returns the offset of the next entry to apply.
func (s *State) NextOffset() int64 { return s.next }

// HeldKeyCount returns the number of held keys.
func (s *State) HeldKeyCount() int { return len(s.holders) }

// Holder returns the claim that holds the key, or false if no claim does.
func (s *State) Holder(key Hash) (Holder, bool) {
	i, ok := s.holders[key]
	if !ok {
		return Holder{}, false
	}
	sc := s.claims.at(i)
	h := Holder{Settled: sc.settled, Claim: Claim{
		Key: sc.key, Body: sc.body, Attempt: s.strings.attemptText(sc.attempt), Executor: s.strings.entries[sc.executor].text,
		Incarnation: s.strings.entries[sc.incarnation].text, KeyTimeMs: sc.keyTimeMs, ExpiresMs: sc.expiresMs,
	}}
	if sc.settled {
		h.OutcomePosition = Position{sc.outcomeOffset, int(sc.outcomeRecord)}
	}
	return h, true
}

// ClaimStatus returns the status of the attempt's claim.
func (s *State) ClaimStatus(attempt string) ClaimStatus {
	_, status := s.findClaim(attempt)
	return status
}

// findClaim returns the attempt's claim, or nil if there is none, and its status.
func (s *State) findClaim(attempt string) (*storedClaim, ClaimStatus) {
	id, ok := s.strings.findAttempt(attempt)
	if !ok {
		return nil, Unseen
	}
	i, ok := s.attempts[id]
	switch {
	case !ok:
		return nil, Unseen
	case i == voidedIndex:
		return nil, Voided
	}
	sc := s.claims.at(i)
	return sc, sc.status
}

// Floor returns the resource's floor, or zero if there is none.
func (s *State) Floor(resource Hash) uint64 { return s.floors[resource].version }

// CoversKeyTime reports whether no claim of a key with this timestamp can have been trimmed
// from the log before this reader started. The log appends a valid claim at most
// MaxKeyTimeAhead before the key's timestamp.
func (s *State) CoversKeyTime(keyTimeMs int64) bool {
	return s.startOffset == 0 || s.startTimeMs != 0 && keyTimeMs > s.startTimeMs+MaxKeyTimeAhead.Milliseconds()
}

// ApplyPage applies a page that was read from NextOffset on. It returns false if entries from
// there on were trimmed before they were read; the state is then reset and must be
// rebuilt from the first retained entry.
func (s *State) ApplyPage(p Page) bool {
	if p.FirstOffset > s.next {
		hadPage := s.pageApplied
		*s = *NewState()
		s.startOffset, s.next = p.FirstOffset, p.FirstOffset
		if hadPage {
			return false
		}
	}
	s.pageApplied = true
	for _, e := range p.Entries {
		if e.Offset != s.next {
			if e.Offset < s.next {
				continue
			}
			break // entries are missing; the next read starts at s.next
		}
		s.applyEntry(e)
	}
	s.evictTrimmed(p.FirstOffset)
	return true
}

func (s *State) applyEntry(e Entry) {
	s.next = e.Offset + 1
	if e.Offset == s.startOffset {
		s.startTimeMs = e.TimeMs
	}
	s.logTimeMs = max(s.logTimeMs, e.TimeMs)
	s.evictExpired()
	for i, r := range e.Records {
		switch r.Kind {
		case KindClaim:
			s.applyClaim(r.Claim, e.TimeMs)
		case KindVoid:
			s.applyVoid(r.Attempt, e)
		case KindRelease:
			s.applyRelease(r.Attempt, e)
		case KindOutcome:
			s.applyOutcome(r.Attempt, Position{e.Offset, i})
		case KindFloor:
			if r.Version > s.floors[r.Resource].version {
				s.floors[r.Resource] = floor{r.Version, e.Offset}
				s.appliedFloors = append(s.appliedFloors, appliedFloor{e.Offset, r.Resource})
			}
		}
	}
}

// applyClaim applies a claim record. Later copies of the record have no effect.
func (s *State) applyClaim(c Claim, appendedMs int64) {
	switch {
	case s.ClaimStatus(c.Attempt) != Unseen:
		return
	case appendedMs > c.ExpiresMs, c.KeyTimeMs <= s.evictedKeyTimeMs, c.KeyTimeMs > appendedMs+MaxKeyTimeAhead.Milliseconds():
		return // outside the key window according to the log's clock
	}
	_, held := s.holders[c.Key]
	sc := storedClaim{
		key: c.Key, body: c.Body, attempt: s.strings.internAttempt(c.Attempt), keyTimeMs: c.KeyTimeMs, expiresMs: c.ExpiresMs,
		executor: s.strings.intern(c.Executor), incarnation: s.strings.intern(c.Incarnation), status: Valid,
	}
	if held {
		sc.status = Invalid
	}
	i := s.claims.add(sc)
	s.attempts[sc.attempt] = i
	if !held {
		s.holders[c.Key] = i
	}
}

func (s *State) applyVoid(attempt string, e Entry) {
	if s.ClaimStatus(attempt) == Unseen {
		id := s.strings.internAttempt(attempt)
		s.attempts[id] = voidedIndex
		s.appliedVoids = append(s.appliedVoids, appliedVoid{e.Offset, e.TimeMs, id})
	}
}

func (s *State) applyRelease(attempt string, e Entry) {
	sc, status := s.findClaim(attempt)
	if status == Unseen {
		s.applyVoid(attempt, e)
		return
	}
	if status != Valid || sc.settled {
		return // a settled attempt ran, so its key stays held
	}
	delete(s.holders, sc.key)
	sc.status = Released
}

func (s *State) applyOutcome(attempt string, at Position) {
	if sc, status := s.findClaim(attempt); status == Valid && !sc.settled {
		sc.settled, sc.outcomeOffset, sc.outcomeRecord = true, at.Offset, uint32(at.Index)
	}
}

// evictExpired removes expired claims. Later copies of their records have no effect,
// because the log appends them after the claim's expiry.
func (s *State) evictExpired() {
	for {
		sc, ok := s.claims.popExpired(s.logTimeMs)
		if !ok {
			return
		}
		delete(s.attempts, sc.attempt)
		s.strings.releaseAttempt(sc.attempt)
		s.strings.release(sc.executor)
		s.strings.release(sc.incarnation)
		if sc.status == Valid {
			s.evictedKeyTimeMs = max(s.evictedKeyTimeMs, sc.keyTimeMs)
			delete(s.holders, sc.key)
		}
	}
}

// evictTrimmed removes the floors whose entries the log has trimmed. It removes a
// trimmed void only when it is so old that a claim appended now would be outside the
// longest key window, since the log's retention may be shorter than that window.
func (s *State) evictTrimmed(first int64) {
	n := 0
	for ; n < len(s.appliedFloors) && s.appliedFloors[n].offset < first; n++ {
		if m := s.appliedFloors[n]; s.floors[m.resource].offset == m.offset {
			delete(s.floors, m.resource)
		}
	}
	s.appliedFloors = s.appliedFloors[n:]
	voidCutoffMs := s.logTimeMs - (maxKeyWindow + MaxKeyTimeAhead).Milliseconds()
	for n = 0; n < len(s.appliedVoids) && s.appliedVoids[n].offset < first && s.appliedVoids[n].timeMs < voidCutoffMs; n++ {
		delete(s.attempts, s.appliedVoids[n].attempt)
		s.strings.releaseAttempt(s.appliedVoids[n].attempt)
	}
	s.appliedVoids = s.appliedVoids[n:]
}
