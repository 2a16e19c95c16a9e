package claims

import (
	"container/heap"
	"time"
)

// Standing tells how the log has judged an attempt.
type Standing int

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
	Outcome *Outcome // nil until it is recorded
}

// judged is the standing of one attempt.
type judged struct {
	standing Standing
	key      Hash
}

// maxKeyWindow is the longest key window that a configuration may set.
const maxKeyWindow = 7 * 24 * time.Hour

// voidMark and floorMark remember where a void or a floor was read, until it may
// be forgotten.
type voidMark struct {
	offset, stampMs int64
	attempt         string
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
	began    bool  // a page was read, if only an empty one
	next     int64 // offset of the next entry to apply
	start    int64 // offset of the first entry applied
	startMs  int64 // its stamp, zero before it is known
	logMs    int64 // the latest stamp
	holdings map[Hash]*Holding
	attempts map[string]judged
	floors   map[Hash]floor
	voids    []voidMark
	shown    []floorMark
	expiry   expiryHeap
	// forgottenMs is the latest key time among the forgotten holdings. Claims of
	// keys up to it are invalid, so that a longer key window in a later
	// configuration can't revive a key that was forgotten under a shorter one.
	forgottenMs int64
}

// NewState returns a state that has read nothing.
func NewState() *State {
	return &State{holdings: map[Hash]*Holding{}, attempts: map[string]judged{}, floors: map[Hash]floor{}}
}

// Next returns the offset of the next entry to apply.
func (s *State) Next() int64 { return s.next }

// Size returns the number of keys that are held.
func (s *State) Size() int { return len(s.holdings) }

// Holding returns the claim that holds the key.
func (s *State) Holding(key Hash) (Holding, bool) {
	h, ok := s.holdings[key]
	if !ok {
		return Holding{}, false
	}
	return *h, true
}

// Standing returns how the log has judged the attempt.
func (s *State) Standing(attempt string) Standing { return s.attempts[attempt].standing }

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
	for _, r := range e.Records {
		switch r.Kind {
		case KindClaim:
			s.claim(r.Claim, e.TimeMs)
		case KindVoid:
			s.void(r.Attempt, e)
		case KindRelease:
			s.release(r.Attempt, e)
		case KindOutcome:
			s.outcome(r.Attempt, r.Outcome)
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
	case s.attempts[c.Attempt].standing != Unseen:
		return
	case stampMs > c.ExpiresMs, c.KeyTimeMs <= s.forgottenMs, c.KeyTimeMs > stampMs+FutureLimit.Milliseconds():
		return // outside the window by the log's own clock
	}
	standing := Valid
	if _, held := s.holdings[c.Key]; held {
		standing = Invalid
	} else {
		s.holdings[c.Key] = &Holding{Claim: c}
	}
	s.attempts[c.Attempt] = judged{standing, c.Key}
	heap.Push(&s.expiry, expiry{c.ExpiresMs, c.Attempt})
}

func (s *State) void(attempt string, e Entry) {
	if s.attempts[attempt].standing == Unseen {
		s.attempts[attempt] = judged{standing: Voided}
		s.voids = append(s.voids, voidMark{e.Offset, e.TimeMs, attempt})
	}
}

func (s *State) release(attempt string, e Entry) {
	j := s.attempts[attempt]
	if j.standing == Unseen {
		s.void(attempt, e)
		return
	}
	h, ok := s.holdings[j.key]
	if j.standing != Valid || !ok || h.Outcome != nil {
		return // an outcome proves that the attempt ran
	}
	delete(s.holdings, j.key)
	s.attempts[attempt] = judged{Released, j.key}
}

func (s *State) outcome(attempt string, o Outcome) {
	j := s.attempts[attempt]
	if h, ok := s.holdings[j.key]; ok && j.standing == Valid && h.Outcome == nil {
		h.Outcome = &o
	}
}

// expire forgets the claims that no later entry can repeat validly.
func (s *State) expire() {
	for len(s.expiry) > 0 && s.expiry[0].expiresMs < s.logMs {
		e := heap.Pop(&s.expiry).(expiry)
		j := s.attempts[e.attempt]
		delete(s.attempts, e.attempt)
		if j.standing != Valid {
			continue
		}
		s.forgottenMs = max(s.forgottenMs, s.holdings[j.key].Claim.KeyTimeMs)
		delete(s.holdings, j.key)
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
		if a := s.voids[n].attempt; s.attempts[a].standing == Voided {
			delete(s.attempts, a)
		}
	}
	s.voids = s.voids[n:]
}

type expiry struct {
	expiresMs int64
	attempt   string
}

type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresMs < h[j].expiresMs }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *expiryHeap) Push(x any)        { *h = append(*h, x.(expiry)) }
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
