package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// What entries tell each other of suspect parts.
const (
	partRepeats       = 5                // reports with a change; datagrams are lost
	requestRepeats    = 2                // the same for a whole request that isn't held: each that an end breaks off is one
	OwnerRepeatPause  = time.Second      // the owner of a held part repeats it, for entries that start, stood still or were cut off
	othersRepeatPause = 10 * time.Second // others do if they haven't heard of it for so long
	useReportPause    = 5 * time.Minute  // well within suspectLifetime
)

// partReport says when a part is told to the peers.
type partReport struct {
	repeats int           // reports that are still due for a change
	at      time.Duration // last time that it was told or heard of
	use     time.Duration // last use that was told or heard of
}

func (r *partReport) heard(use, now time.Duration) { r.at, r.use = now, max(r.use, use) }

// due reports whether a part is told now.
func (h *PartHolds) due(s *suspectState, self string, members []string, now time.Duration) bool {
	if s.told.repeats > 0 {
		return true
	}
	if !h.held(s) {
		return false
	}
	if s.LastUse > s.told.use+useReportPause {
		return true
	}
	pause := othersRepeatPause
	if now >= s.told.at+OwnerRepeatPause && rendezvous.Owner(s.Key, members) == self {
		pause = OwnerRepeatPause
	}
	return now >= s.told.at+pause
}

// repeats returns in how many reports a change of a part is told.
func (h *PartHolds) repeats(s *suspectState) int {
	if s.Whole && !h.held(s) {
		return requestRepeats
	}
	return partRepeats
}

// ToReport returns at most n parts to tell the peers: changes first, and of these held parts first.
// Whole requests that aren't held come last, as there are many when an endpoint ends.
func (h *PartHolds) ToReport(self string, members []string, n int, now time.Duration) []SuspectPart {
	var due []*suspectState
	for _, s := range h.parts {
		if h.due(s, self, members, now) {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *suspectState) int {
		return cmp.Or(cmp.Compare(boolInt(a.Whole && !h.held(a)), boolInt(b.Whole && !h.held(b))), cmp.Compare(b.told.repeats, a.told.repeats), cmp.Compare(b.weight, a.weight), cmp.Compare(a.told.at, b.told.at), cmp.Compare(a.Key, b.Key))
	})
	var out []SuspectPart
	for _, s := range due[:min(len(due), n)] {
		s.told.repeats = max(s.told.repeats-1, 0)
		s.told.heard(s.LastUse, now)
		out = append(out, s.clone())
	}
	return out
}

// HasChanges reports whether a change waits to be told.
func (h *PartHolds) HasChanges() bool {
	for _, s := range h.parts {
		if s.told.repeats > 0 {
			return true
		}
	}
	return false
}

// OwnsHeld reports whether this entry repeats a held part.
func (h *PartHolds) OwnsHeld(self string, members []string) bool {
	for _, s := range h.parts {
		if h.held(s) && rendezvous.Owner(s.Key, members) == self {
			return true
		}
	}
	return false
}
