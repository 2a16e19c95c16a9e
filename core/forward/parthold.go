package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Times and bounds of held parts.
const (
	// suspectLifetime is how long a part without requests is remembered. Callers come back to a
	// part for minutes to hours; one that is forgotten too soon costs two endpoints again.
	suspectLifetime = time.Hour
	// requestLifetime is the same for a whole request that isn't held: most of those that an end
	// breaks off never come again, and each one that is remembered costs time with every report.
	requestLifetime = 10 * time.Minute
	// clearedLifetime is longer than entries go on telling each other the evidence that was cleared.
	clearedLifetime = time.Minute
	maxSuspectParts = 4096

	// maxProbeCrashes is the number of ended endpoints from which a part isn't tried again: the
	// fifth would be the one from which the users count.
	maxProbeCrashes = 4
	firstProbePause = 4 * time.Second // after the second crash; a part that was held wrongly is used again after it
	laterProbePause = 5 * time.Minute // after the third: the first probe ended an endpoint
	probeTimeout    = time.Minute     // a probe whose end isn't recorded by then counts as lost
	proberStep      = 2 * time.Second // in which the entries that may send a probe double
	maxProberSteps  = 16

	// Pauses before the probes of a part whose evidence is in doubt. It may be sound and in all
	// prompts of a service, so it is never held for good. The first three probes fit into the
	// requests that may still come after the fifth end.
	firstDoubtfulPause   = 10 * time.Second
	doubtfulPauseGrowth  = 3 // a pause by the one before
	longestDoubtfulPause = time.Hour

	togetherMargin = 50 * time.Millisecond // between endpoints that end together
)

// PartHolds decides which parts of prompts are held because endpoints ended under requests with
// them. Only parts with evidence are stored.
type PartHolds struct {
	parts     map[uint64]*suspectState
	byStart   map[EndpointStart]map[uint64]bool // parts with a trial at it
	weight    int                               // from which a part is held
	explained map[uint64]bool                   // result of explanation, nil if it is out of date
	doubts    map[uint64]bool                   // results of inDoubt since the last change
	answered  map[Place]time.Duration           // when the latest request that brought an event was sent
}

type suspectState struct {
	SuspectPart
	since    time.Duration // when it was first suspected or last cleared whole
	weight   int           // of the evidence; kept up to date by update
	strong   bool          // the strong trials alone are enough to hold it; likewise
	others   bool          // requests without the part brought events between its trials; likewise
	probedAt time.Duration // when the probe that is under way began, 0 if none is
	told     partReport
	listed   []EndpointStart // where byStart has the part
}

// NewPartHolds returns a table without suspects.
func NewPartHolds() *PartHolds {
	return &PartHolds{parts: map[uint64]*suspectState{}, byStart: map[EndpointStart]map[uint64]bool{}, weight: holdWeight, doubts: map[uint64]bool{}, answered: map[Place]time.Duration{}}
}

// Len returns the number of parts with evidence.
func (h *PartHolds) Len() int { return len(h.parts) }

func (h *PartHolds) held(s *suspectState) bool { return s.weight >= h.weight }

// PartChange is a part that begins or ceases to be held.
type PartChange struct {
	Part SuspectPart
	Held bool
}

// AddTrial records a trial of a part and returns a change, if there is one.
func (h *PartHolds) AddTrial(key uint64, name string, t CrashTrial, now time.Duration) (PartChange, bool) {
	return h.Merge(SuspectPart{Key: key, Name: name, Trials: []CrashTrial{t}, LastUse: t.SentAt}, true, now)
}

// AddWholeTrial records a trial of a whole request.
func (h *PartHolds) AddWholeTrial(key uint64, name string, t CrashTrial, now time.Duration) (PartChange, bool) {
	return h.Merge(SuspectPart{Key: key, Name: name, Whole: true, Trials: []CrashTrial{t}, LastUse: t.SentAt}, true, now)
}

// Merge adds what another entry knows of a part, or what this one has found out itself.
func (h *PartHolds) Merge(p SuspectPart, own bool, now time.Duration) (PartChange, bool) {
	s := h.parts[p.Key]
	if s == nil {
		if now-p.LastUse >= suspectLifetime || !slices.ContainsFunc(p.Trials, func(t CrashTrial) bool { return !t.Cleared }) || !h.makeRoom(&p) {
			return PartChange{}, false
		}
		s = &suspectState{SuspectPart: SuspectPart{Key: p.Key, Name: p.Name, Whole: p.Whole, LastUse: p.LastUse}, since: now}
		h.parts[p.Key] = s
	}
	changed := s.merge(p)
	if !own {
		s.told.heard(p.LastUse, now)
	}
	if !changed {
		return PartChange{}, false
	}
	return h.update(s, own, now)
}

// update brings a part up to date after a change of its trials. The peers are told of changes that
// this entry has found out itself.
func (h *PartHolds) update(s *suspectState, own bool, now time.Duration) (PartChange, bool) {
	h.unlist(s)
	for _, t := range s.Trials {
		if h.byStart[t.On] == nil {
			h.byStart[t.On] = map[uint64]bool{}
		}
		h.byStart[t.On][s.Key] = true
		s.listed = append(s.listed, t.On)
	}
	before := h.held(s)
	h.evidenceChanged()
	s.weight, s.strong = s.SuspectPart.weight(), s.strongWeight() >= h.weight
	if own {
		s.told.repeats = h.repeats(s)
	}
	if s.weight == 0 {
		s.since = now
	}
	s.others = s.weight > 0 && (s.others || h.othersAnswered(&s.SuspectPart))
	return PartChange{s.clone(), h.held(s)}, h.held(s) != before
}

// othersAnswered reports whether a request that was sent after the first end under a part brought an
// event at that place. It was without the part: with it, it would have cleared the trial.
func (h *PartHolds) othersAnswered(p *SuspectPart) bool {
	return slices.ContainsFunc(p.Trials, func(t CrashTrial) bool {
		sentAt, answered := h.answered[t.Place]
		return !t.Cleared && answered && sentAt > t.EndedAt
	})
}

// inDoubt reports whether something else may have ended the endpoints under a held part: no request
// without it brought an event meanwhile, some of them ended together, or endpoints without it ended
// too. Strong trials leave no doubt, as nothing else ends many endpoints between the head of a
// response and its first event.
func (h *PartHolds) inDoubt(s *suspectState) bool {
	doubt, known := h.doubts[s.Key]
	if !known {
		doubt = !s.strong && (!s.others || s.endedTogether() || h.othersEnded(s))
		h.doubts[s.Key] = doubt
	}
	return doubt
}

// evidenceChanged discards what was derived from the evidence.
func (h *PartHolds) evidenceChanged() {
	h.explained = nil
	clear(h.doubts)
}

// othersEnded reports whether an endpoint that no request with the part had reached ended between
// the ends under it.
func (h *PartHolds) othersEnded(s *suspectState) bool {
	first, last := s.span()
	for start, keys := range h.byStart {
		if s.trialOn(start) != nil {
			continue
		}
		for k := range keys {
			t := h.parts[k].trialOn(start)
			if !t.Cleared && t.EndedAt >= first && t.EndedAt <= last && s.triedAt(t.Place) {
				return true
			}
		}
	}
	return false
}

// makeRoom returns false if the table is full of parts with more evidence than a new one.
func (h *PartHolds) makeRoom(p *SuspectPart) bool {
	if len(h.parts) < maxSuspectParts {
		return true
	}
	var least *suspectState
	for _, s := range h.parts {
		if least == nil || cmp.Or(cmp.Compare(s.weight, least.weight), cmp.Compare(s.LastUse, least.LastUse), cmp.Compare(s.Key, least.Key)) < 0 {
			least = s
		}
	}
	if least.weight > p.weight() {
		return false
	}
	h.remove(least)
	return true
}

func (h *PartHolds) remove(s *suspectState) {
	delete(h.parts, s.Key)
	h.evidenceChanged()
	h.unlist(s)
}

func (h *PartHolds) unlist(s *suspectState) {
	for _, on := range s.listed {
		if delete(h.byStart[on], s.Key); len(h.byStart[on]) == 0 {
			delete(h.byStart, on)
		}
	}
	s.listed = s.listed[:0]
}

// RecordEvent records that a request with the given parts, sent at the given time, brought an
// event. It returns the parts that aren't held any more.
func (h *PartHolds) RecordEvent(keys []uint64, at Place, sentAt, now time.Duration) (released []PartChange) {
	if before, answered := h.answered[at]; !answered || sentAt > before {
		h.answered[at] = sentAt
	}
	for _, k := range keys {
		if s := h.parts[k]; s != nil {
			if !s.clear(at, sentAt) {
				continue
			}
			if c, ok := h.update(s, true, now); ok {
				released = append(released, c)
			}
		}
	}
	return released
}

// EndedAt returns when a start of an endpoint ended, and false if it isn't taken for ended.
func (h *PartHolds) EndedAt(start EndpointStart) (at time.Duration, ended bool) {
	for k := range h.byStart[start] {
		if t := h.parts[k].trialOn(start); t != nil && !t.Cleared && (!ended || t.EndedAt < at) {
			at, ended = t.EndedAt, true
		}
	}
	return at, ended
}

// TakeBack records that an endpoint had not ended: the trials at it are no evidence.
func (h *PartHolds) TakeBack(start EndpointStart, now time.Duration) (released []PartChange) {
	keys := make([]uint64, 0, len(h.byStart[start]))
	for k := range h.byStart[start] {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		s := h.parts[k]
		t := s.trialOn(start)
		if t == nil || t.Cleared {
			continue
		}
		t.Cleared = true
		if c, ok := h.update(s, true, now); ok {
			released = append(released, c)
		}
	}
	return released
}

// Release takes back all evidence against a part.
func (h *PartHolds) Release(key uint64, now time.Duration) (PartChange, bool) {
	s := h.parts[key]
	if s == nil {
		return PartChange{}, false
	}
	for i := range s.Trials {
		s.Trials[i].Cleared = true
	}
	s.probedAt = 0
	return h.update(s, true, now)
}

// HeldRequest says why and where a request isn't sent.
type HeldRequest struct {
	Parts    []SuspectPart // that it is held for
	states   []*suspectState
	anew     bool // this entry may send it as a probe to a place where no endpoint has ended
	tryAgain bool // and to one where endpoints have

	nextProbe time.Duration // from when on endpoints at such a place may be tried again
	forGood   bool          // they aren't any more
}

// Check returns why a request with the given parts is held, nil if it isn't, and counts it as a use
// of these parts.
func (h *PartHolds) Check(keys []uint64, self string, members []string, now time.Duration) *HeldRequest {
	if len(h.parts) == 0 {
		return nil
	}
	var r *HeldRequest
	for _, k := range keys {
		s := h.parts[k]
		if s == nil {
			continue
		}
		s.LastUse = max(s.LastUse, now)
		if !h.held(s) || !h.blames(s, keys) {
			continue
		}
		if r == nil {
			r = &HeldRequest{}
		}
		r.Parts = append(r.Parts, s.clone())
		r.states = append(r.states, s)
	}
	if r == nil {
		return nil
	}
	r.anew, r.tryAgain = h.probe(r, self, members, now)
	for _, s := range r.states {
		plan, ok := s.probePlan(h.inDoubt(s))
		r.nextProbe, r.forGood = max(r.nextProbe, plan.againFrom), r.forGood || !ok
	}
	return r
}

// blames reports whether a request with the given parts is refused because of a held one. It isn't
// if other held parts explain its crashes as well, or one with exactly the same crashes that the
// request doesn't contain. A whole request is blamed by its own crashes: no other request contains
// it.
func (h *PartHolds) blames(s *suspectState, keys []uint64) bool {
	if !h.explanation()[s.Key] {
		return false
	}
	if s.Whole {
		return true
	}
	for _, t := range s.Trials {
		if t.Cleared {
			continue
		}
		for k := range h.byStart[t.On] { // a part with the same crashes has a trial at this one
			o := h.parts[k]
			if o != s && !o.Whole && h.held(o) && o.covers(&s.SuspectPart) && s.covers(&o.SuspectPart) && !slices.Contains(keys, k) {
				return false
			}
		}
		break
	}
	return true
}

// SoundAt reports whether the parts that the request is held for are known to be sound at a place.
func (r *HeldRequest) SoundAt(at Place) bool {
	return r == nil || !slices.ContainsFunc(r.states, func(s *suspectState) bool { return !s.soundAt(at) })
}

// Allows reports whether the request may be sent to an endpoint at a place.
func (r *HeldRequest) Allows(at Place) bool {
	if r.SoundAt(at) {
		return true
	}
	if slices.ContainsFunc(r.states, func(s *suspectState) bool { return s.triedAt(at) }) {
		return r.tryAgain
	}
	return r.anew
}

// probe reports whether this entry may send the request although it is held: to a place where no
// endpoint has ended, and to one where endpoints have. Few entries may, each with one request at a
// time, and only so often that the part can't reach the fifth crash by it.
func (h *PartHolds) probe(r *HeldRequest, self string, members []string, now time.Duration) (anew, tryAgain bool) {
	first := r.states[0]
	for _, s := range r.states {
		if !s.covers(&first.SuspectPart) || !first.covers(&s.SuspectPart) {
			return false, false // held for more than one reason
		}
		if s.probedAt != 0 && now < s.probedAt+probeTimeout {
			return false, false
		}
		if s.Key < first.Key {
			first = s
		}
	}
	plan, ok := first.probePlan(h.inDoubt(first))
	if !ok {
		return false, false
	}
	mayProbe := func(since time.Duration) bool {
		return now >= since && slices.Contains(rendezvous.Top(first.Key, members, plan.probers(now-since)), self)
	}
	return mayProbe(plan.anewFrom), mayProbe(plan.againFrom)
}

// probePlan says from when on a held part may be probed.
type probePlan struct {
	anewFrom  time.Duration // at a place where no endpoint has ended
	againFrom time.Duration // and at one where endpoints have
	step      time.Duration // in which the entries that may send the probe double, 0 if they don't
}

// probePlan returns false if the part isn't probed any more: without doubt the fourth ended endpoint
// is the last.
func (s *suspectState) probePlan(inDoubt bool) (probePlan, bool) {
	n, last := s.crashes()
	if inDoubt {
		pause := min(max(doubtfulPauseGrowth*s.lastPause(), firstDoubtfulPause), longestDoubtfulPause)
		return probePlan{last + pause, last + pause, pause}, true
	}
	switch {
	case n >= maxProbeCrashes:
		return probePlan{}, false
	case n == maxProbeCrashes-1:
		return probePlan{last, last + laterProbePause, 0}, true
	}
	return probePlan{last, last + firstProbePause, proberStep}, true
}

// probers returns how many entries may send a probe, a time after the first one might. In a large
// group the first one may get no request with the part for long. After a probe that has failed it
// stays the only one where nothing is in doubt: two at the same time would be too many.
func (p probePlan) probers(elapsed time.Duration) int {
	if p.step == 0 {
		return 1
	}
	return 1 << min(elapsed/p.step, maxProberSteps)
}

// BeginProbe records that the request was sent to an endpoint at a place. It reports whether that
// is a probe.
func (r *HeldRequest) BeginProbe(at Place, now time.Duration) bool {
	if r.SoundAt(at) {
		return false
	}
	for _, s := range r.states {
		s.probedAt = now
	}
	return true
}

// EndProbe records that a probe has ended.
func (r *HeldRequest) EndProbe() {
	for _, s := range r.states {
		s.probedAt = 0
	}
}

// RetryAfter returns when the request may be sent: after the next probe, or else after a time in
// which the part may be let in by hand.
func (r *HeldRequest) RetryAfter(now time.Duration) time.Duration {
	if r.forGood {
		return laterProbePause
	}
	return min(max(r.nextProbe-now, minHeldRetry), laterProbePause)
}

// minHeldRetry covers a probe that is under way.
const minHeldRetry = 2 * time.Second

// Expire forgets parts without requests and those whose evidence was cleared. It returns the held
// ones among them.
func (h *PartHolds) Expire(now time.Duration) (released []PartChange) {
	for _, s := range h.parts {
		lifetime := suspectLifetime
		if s.Whole && !h.held(s) {
			lifetime = requestLifetime
		}
		if now < s.LastUse+lifetime && (s.weight > 0 || now < s.since+clearedLifetime) {
			continue
		}
		if h.held(s) {
			released = append(released, PartChange{s.clone(), false})
		}
		h.remove(s)
	}
	slices.SortFunc(released, func(a, b PartChange) int { return cmp.Compare(a.Part.Key, b.Part.Key) })
	maps.DeleteFunc(h.answered, func(_ Place, sentAt time.Duration) bool { return now >= sentAt+suspectLifetime })
	return released
}

// NextProbe returns from when on a held part may be tried again where endpoints have ended, and false
// if it isn't any more.
func (h *PartHolds) NextProbe(key uint64) (time.Duration, bool) {
	s := h.parts[key]
	if s == nil {
		return 0, false
	}
	plan, ok := s.probePlan(h.inDoubt(s))
	return plan.againFrom, ok
}

// Held returns the held parts, by key.
func (h *PartHolds) Held() []SuspectPart {
	var out []SuspectPart
	for _, s := range h.parts {
		if h.held(s) {
			out = append(out, s.clone())
		}
	}
	slices.SortFunc(out, func(a, b SuspectPart) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
