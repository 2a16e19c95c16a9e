package forward

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Evidence against a part of a prompt. See docs/decisions/0012-parts-that-crash-endpoints.md.
const (
	strongTrialWeight = 2 // the head of the response had arrived
	weakTrialWeight   = 1 // the endpoint may not have begun to work on the request
	holdWeight        = 4 // two strong trials
	maxTrials         = 8 // of a part; weak ones reach holdWeight with four
	// trialOrderMargin is the error of times that entries tell each other: a request that one sent
	// right after it had noticed an end counts as sent after it.
	trialOrderMargin = 5 * time.Millisecond
)

// SuspectKey returns the key of a part of a prompt among those that may crash endpoints. The same
// part of another group of customers or another model has another key.
func SuspectKey(group, model, part string) uint64 { return hashStrings(group, model, part) }

// WholeRequestKey returns the key of a request among those that may crash endpoints. It doesn't
// depend on the query: one that holds a page or a number would make each request another.
func WholeRequestKey(method, host, path, caller string, prompt *Prompt, body []byte) uint64 {
	list := []string{"request", method, host, path, caller, strconv.FormatUint(xxhash.Sum64(body), 16)}
	if prompt != nil {
		for _, p := range prompt.Parts {
			list = append(list, p.ID)
		}
	}
	return hashStrings(list...)
}

// EndpointStart is one start of an endpoint, which ends once.
type EndpointStart struct {
	Endpoint      string
	StartedUnixMs int64
}

// Place is what the effect of a part may depend on.
type Place struct {
	Version int64  // of the weights, 0 if unknown
	Build   uint64 // see BuildKey
}

// CrashTrial is a request without a complete event at an endpoint that ended. Of several requests
// with a part at the same endpoint one counts.
type CrashTrial struct {
	On      EndpointStart
	Place   Place
	Strong  bool // the head of the response had arrived
	Cleared bool // a later request with the part brought an event, or the endpoint had not ended
	SentAt  time.Duration
	EndedAt time.Duration
	Witness string // entry whose request it was
}

// weightOf returns the weight of a trial. Two ends in a row under the very same request are rare
// otherwise, and the answer to a plain call has no head before it is made; so each counts in full.
func (p *SuspectPart) weightOf(t *CrashTrial) int {
	switch {
	case t.Cleared:
		return 0
	case t.Strong || p.Whole:
		return strongTrialWeight
	}
	return weakTrialWeight
}

// SuspectPart is what is known of a part of a prompt, or a whole request, that may crash endpoints.
type SuspectPart struct {
	Key     uint64
	Name    string // the part's ID, or the route of a whole request
	Whole   bool   // it is a whole request
	Trials  []CrashTrial
	Sound   []Place       // where requests with the part brought events since it was first suspected
	LastUse time.Duration // when the last request with the part came
}

// clone returns a copy that shares nothing.
func (p SuspectPart) clone() SuspectPart {
	p.Trials, p.Sound = slices.Clone(p.Trials), slices.Clone(p.Sound)
	return p
}

// Shift returns the part with its times on another clock.
func (p SuspectPart) Shift(by time.Duration) SuspectPart {
	p = p.clone()
	p.LastUse += by
	for i := range p.Trials {
		p.Trials[i].SentAt += by
		p.Trials[i].EndedAt += by
	}
	return p
}

// weight returns the weight of the evidence: the heaviest sequence of trials each of which was
// sent after the one before had ended. Endpoints that end together count once.
func (p *SuspectPart) weight() int {
	trials := slices.Clone(p.Trials)
	slices.SortFunc(trials, func(a, b CrashTrial) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	best := 0
	upTo := make([]int, len(trials)) // weight of the heaviest sequence that ends with the trial
	for i := range trials {
		for j := range i {
			if trials[j].EndedAt <= trials[i].SentAt+trialOrderMargin {
				upTo[i] = max(upTo[i], upTo[j])
			}
		}
		upTo[i] += p.weightOf(&trials[i])
		best = max(best, upTo[i])
	}
	return best
}

// Crashes returns the number of endpoints that ended.
func (p *SuspectPart) Crashes() int {
	n, _ := p.crashes()
	return n
}

// crashes returns the number of endpoints that ended, and when the last one did. Times from before
// the host was started are negative.
func (p *SuspectPart) crashes() (n int, last time.Duration) {
	for _, t := range p.Trials {
		if t.Cleared {
			continue
		}
		if n++; n == 1 || t.EndedAt > last {
			last = t.EndedAt
		}
	}
	return n, last
}

// span returns when the first and the last of the endpoints ended.
func (p *SuspectPart) span() (first, last time.Duration) {
	_, last = p.crashes()
	first = last
	for _, t := range p.Trials {
		if !t.Cleared {
			first = min(first, t.EndedAt)
		}
	}
	return first, last
}

// endedTogether reports whether two of the endpoints ended at the same time under different requests.
// A part ends each one as that begins to answer it, so that this is rare.
func (p *SuspectPart) endedTogether() bool {
	for i, t := range p.Trials {
		for _, o := range p.Trials[:i] {
			apart := t.SentAt+trialOrderMargin >= o.EndedAt || o.SentAt+trialOrderMargin >= t.EndedAt
			if !t.Cleared && !o.Cleared && !apart && (t.EndedAt-o.EndedAt).Abs() <= togetherMargin {
				return true
			}
		}
	}
	return false
}

// strongWeight returns the weight of the strong trials alone. Weak ones come from any end of an
// endpoint, also of one that ends whatever it runs.
func (p *SuspectPart) strongWeight() int {
	strong := SuspectPart{Whole: p.Whole, Trials: slices.DeleteFunc(slices.Clone(p.Trials), func(t CrashTrial) bool {
		return p.weightOf(&t) < strongTrialWeight
	})}
	return strong.weight()
}

// lastPause returns the time from an end to the sending of the request that met the next one, for
// the last two ends in a row, 0 if there was only one.
func (p *SuspectPart) lastPause() time.Duration {
	var last *CrashTrial
	for i := range p.Trials {
		if t := &p.Trials[i]; !t.Cleared && (last == nil || t.EndedAt > last.EndedAt) {
			last = t
		}
	}
	if last == nil {
		return 0
	}
	pause, found := time.Duration(0), false
	for i := range p.Trials {
		if t := &p.Trials[i]; !t.Cleared && t.EndedAt <= last.SentAt+trialOrderMargin && (!found || last.SentAt-t.EndedAt < pause) {
			pause, found = max(last.SentAt-t.EndedAt, 0), true
		}
	}
	return pause
}

// trialOn returns the trial at a start of an endpoint, nil if there is none.
func (p *SuspectPart) trialOn(s EndpointStart) *CrashTrial {
	for i := range p.Trials {
		if p.Trials[i].On == s {
			return &p.Trials[i]
		}
	}
	return nil
}

// covers reports whether the part has trials at all endpoints at which the other one has.
func (p *SuspectPart) covers(o *SuspectPart) bool {
	for _, t := range o.Trials {
		if t.Cleared {
			continue
		}
		if own := p.trialOn(t.On); own == nil || own.Cleared {
			return false
		}
	}
	return true
}

// soundAt reports whether requests with the part brought events at a place, and no endpoint there
// has ended since.
func (p *SuspectPart) soundAt(at Place) bool {
	return slices.Contains(p.Sound, at) && !p.triedAt(at)
}

// triedAt reports whether endpoints at a place ended.
func (p *SuspectPart) triedAt(at Place) bool {
	return slices.ContainsFunc(p.Trials, func(t CrashTrial) bool { return !t.Cleared && t.Place == at })
}

// addTrial adds a trial and reports whether it changes anything. Its times may have come through
// several entries, each of which makes them later, so that the earliest ones are the closest.
func (p *SuspectPart) addTrial(t CrashTrial) bool {
	known := p.trialOn(t.On)
	if known == nil {
		if p.Trials = append(p.Trials, t); len(p.Trials) > maxTrials {
			p.dropTrial()
		}
		return p.trialOn(t.On) != nil
	}
	if known.Cleared {
		return false
	}
	before := *known
	switch {
	case t.Strong != known.Strong && t.Strong, t.Strong == known.Strong && t.Witness < known.Witness:
		known.Strong, known.Witness, known.SentAt, known.Place = t.Strong, t.Witness, t.SentAt, t.Place
	case t.Strong == known.Strong && t.Witness == known.Witness:
		known.SentAt = min(known.SentAt, t.SentAt)
	}
	known.EndedAt, known.Cleared = min(known.EndedAt, t.EndedAt), t.Cleared
	return known.Cleared != before.Cleared || known.Strong != before.Strong
}

// dropTrial removes the trial that matters least: one without which the weight stays the same, as
// of endpoints that ended together, or else one of the lowest weight; a cleared or old one first.
func (p *SuspectPart) dropTrial() {
	weight, worst, worstLoss := p.weight(), 0, 0
	for i := range p.Trials {
		without := SuspectPart{Whole: p.Whole, Trials: slices.Delete(slices.Clone(p.Trials), i, i+1)}
		loss := weight - without.weight()
		a, b := &p.Trials[i], &p.Trials[worst]
		if i == 0 || cmp.Or(cmp.Compare(loss, worstLoss), cmp.Compare(p.weightOf(a), p.weightOf(b)), cmp.Compare(a.EndedAt, b.EndedAt)) < 0 {
			worst, worstLoss = i, loss
		}
	}
	p.Trials = slices.Delete(p.Trials, worst, worst+1)
}

// clear records that a request with the part, sent at the given time, brought an event. It reports
// whether that changes anything.
func (p *SuspectPart) clear(at Place, sentAt time.Duration) bool {
	changed := p.addSound(at)
	for i := range p.Trials {
		if t := &p.Trials[i]; !t.Cleared && t.Place == at && t.EndedAt <= sentAt {
			t.Cleared, changed = true, true
		}
	}
	return changed
}

const maxSoundPlaces = 16 // two versions and builds, and those of the rollouts before

func (p *SuspectPart) addSound(at Place) bool {
	if slices.Contains(p.Sound, at) {
		return false
	}
	if len(p.Sound) >= maxSoundPlaces {
		p.Sound = slices.Delete(p.Sound, 0, 1)
	}
	p.Sound = append(p.Sound, at)
	return true
}

// merge adds what another entry knows and reports whether it changes anything.
func (p *SuspectPart) merge(o SuspectPart) bool {
	changed := false
	for _, t := range o.Trials {
		changed = p.addTrial(t) || changed
	}
	for _, at := range o.Sound {
		changed = p.addSound(at) || changed
	}
	p.LastUse = max(p.LastUse, o.LastUse)
	if p.Name == "" {
		p.Name = o.Name
	}
	return changed
}
