package forward

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/galenaweir/galenaweir/core/rendezvous"
)

// Sharing of reads of the endpoint list. Load pattern: a group of dozens of entries, each of which
// reads the list from the log more often than once in two seconds.
//
// A few entries read the list from the log, and the others ask them. A question states the time on
// the asking entry's own clock, and the answer repeats it and holds what was read from the log after
// the question arrived. So nothing that was written before the question was sent is missing, however
// late the answer arrives. An entry that has had no such proof for some time reads the log itself.
const (
	minSharingMembers  = 13                    // smaller groups cost the log little
	readersPerDomain   = 2                     // failure domains are asked first for their own readers
	minListReaders     = 3                     // in all domains together
	listReaderKey      = "endpoint list"       // rendezvous key of the readers
	askShare           = 0.65                  // time from an answer to the next question, as a share of the longest age of a proof
	repeatShare        = 0.15                  // time without an answer after which another reader is asked, as a share of that age
	maxListAsks        = 2                     // questions before this entry reads the log itself
	silentReaderPause  = 5 * time.Second       // a reader that did not answer is asked last for so long
	questionWindow     = 60 * time.Millisecond // questions that arrive within it are answered from one read
	minListReadSpacing = 250 * time.Millisecond
	listWindowChanges  = 1024 // changes that are kept for answers
	maxListQuestions   = 512  // that wait for a read; the entries behind further ones read the log themselves
)

// SharesList reports whether a group of this size shares its reads of the endpoint list.
func SharesList(members int) bool { return members >= minSharingMembers }

// ListReaders returns the members that read the endpoint list for the others, given the failure
// domains as far as they are known.
func ListReaders(members []string, domains map[string]string) []string {
	key := rendezvous.Key([]byte(listReaderKey))
	byDomain := map[string][]string{}
	for _, m := range members {
		if d := domains[m]; d != "" {
			byDomain[d] = append(byDomain[d], m)
		}
	}
	var out []string
	for _, d := range slices.Sorted(maps.Keys(byDomain)) {
		out = append(out, rendezvous.Top(key, byDomain[d], readersPerDomain)...)
	}
	if missing := minListReaders - len(out); missing > 0 {
		rest := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return slices.Contains(out, m) })
		out = append(out, rendezvous.Top(key, rest, missing)...)
	}
	return out
}

// ListQuestion asks a reader for the changes of the endpoint list from a position on.
type ListQuestion struct {
	AskedAt  time.Duration // on the clock of the asking entry
	Era      Era
	Position int64
}

// ListAnswer holds all changes of the endpoint list from From to before Next; of heartbeats that
// change nothing else, the last one. They were read after the question arrived.
type ListAnswer struct {
	AskedAt time.Duration // of the question
	Era     Era
	From    int64
	Next    int64
	Changes []ListChange
	AskIn   time.Duration // until the next question suits the reader, so that it answers many from one read
}

// ListChange is a change at an offset of the log. If Heartbeat isn't 0, the record differs from the
// listed entry in that number only, and Endpoint is nil.
type ListChange struct {
	Offset int64
	EndpointChange
	Started   int64 // StartedUnixMs of the endpoint of a heartbeat
	Heartbeat int64
}

// ListShare decides when this entry reads the endpoint list from the log and whom it asks, and keeps
// what it answers.
type ListShare struct {
	MaxAge time.Duration // age of the proof from which this entry reads the log itself

	era        Era
	position   int64
	positioned bool          // the list has been read in this era
	proof      time.Duration // time before which no change is missing
	ownRead    time.Duration // start of the last completed read by this entry
	readBegan  time.Duration // start of the last read, completed or not
	reading    bool          // a read's records have arrived and are not applied yet
	readNow    bool          // a reader knows a newer era
	newest     Era           // newest era of the log\'s answers, of whatever records

	nextAsk time.Duration
	asked   []askedReader // since the last answer or read
	silent  map[string]time.Duration

	questions []waitingQuestion // in the order of their arrival
	window    []ListChange
	from      int64 // position from which window has all changes
}

type askedReader struct {
	reader string
	at     time.Duration
}

type waitingQuestion struct {
	ListQuestion
	member    string
	arrivedAt time.Duration
}

// NewListShare returns a ListShare of an entry that has read nothing.
func NewListShare(maxAge time.Duration) *ListShare {
	return &ListShare{MaxAge: maxAge, silent: map[string]time.Duration{}}
}

// Position returns the position up to which the changes are known.
func (l *ListShare) Position() int64 { return l.position }

// Proof returns a time before which no change is missing.
func (l *ListShare) Proof() time.Duration { return l.proof }

func (l *ListShare) share(f float64) time.Duration { return time.Duration(f * float64(l.MaxAge)) }

// ReadDue returns when this entry should read the log, given the end of its last suspension. A read
// that failed is repeated after a pause that the caller knows.
func (l *ListShare) ReadDue(resumedAt time.Duration) time.Duration {
	if !l.positioned || l.readNow || l.newest > l.era || l.ownRead < resumedAt {
		return 0
	}
	due := l.proof + l.MaxAge
	if len(l.questions) > 0 {
		due = min(due, max(l.questions[0].arrivedAt+questionWindow, l.readBegan+minListReadSpacing))
	}
	return due
}

// AskDue returns when a reader should be asked, and false if none is to be asked before this entry
// reads the log itself.
func (l *ListShare) AskDue() (time.Duration, bool) {
	if !l.positioned || len(l.asked) >= maxListAsks {
		return 0, false
	}
	if n := len(l.asked); n > 0 {
		return l.asked[n-1].at + l.share(repeatShare), true
	}
	return l.nextAsk, true
}

// Ask returns the reader to ask now and the question, and false if there is no reader. The readers of
// the entry's own failure domain are preferred.
func (l *ListShare) Ask(self string, readers []string, domains map[string]string, now time.Duration) (string, ListQuestion, bool) {
	order := rendezvous.Top(rendezvous.Key([]byte(self)), readers, len(readers))
	rank := func(m string) int {
		r := 0
		if now < l.silent[m] {
			r += 2
		}
		if domains[m] != domains[self] {
			r++
		}
		return r
	}
	slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	order = slices.DeleteFunc(order, func(m string) bool {
		return m == self || slices.ContainsFunc(l.asked, func(a askedReader) bool { return a.reader == m })
	})
	if len(order) == 0 {
		return "", ListQuestion{}, false
	}
	l.asked = append(l.asked, askedReader{order[0], now})
	return order[0], ListQuestion{AskedAt: now, Era: l.era, Position: l.position}, true
}

// ObserveEra records the newest era that any answer of the log has stated. The list is then read from
// the log before answers of peers are used.
func (l *ListShare) ObserveEra(e Era) { l.newest = max(l.newest, e) }

// BeginRead records that this entry begins to read the log.
func (l *ListShare) BeginRead(now time.Duration) {
	l.readBegan, l.reading, l.readNow = now, false, false
}

// Arrived records that the records from a position on have arrived from the log. It returns false
// if an answer has moved the position meanwhile: the records must not be applied then, because they
// may be older than what is known. No answer is accepted until the records have been applied.
func (l *ListShare) Arrived(from int64) bool {
	l.reading = l.position == from
	return l.reading
}

// EndRead records that a read which arrived was applied, or that a read failed.
func (l *ListShare) EndRead() { l.reading = false }

// RecordSnapshot records a read of the newest record of each key.
func (l *ListShare) RecordSnapshot(next int64, era Era, started, now time.Duration) {
	l.era, l.position, l.from, l.positioned = era, next, next, true
	l.window, l.questions = nil, nil
	l.recordOwnRead(started, now)
}

// RecordRead records the changes of a read that started at the given time, before they are applied to
// the list, and returns the answers by member. Offsets are those of the records; without them,
// nothing can be passed on. A partial read proves nothing. EndRead follows.
func (l *ListShare) RecordRead(list *EndpointList, records []EndpointChange, offsets []int64, next int64, partial bool, started, now time.Duration) map[string]ListAnswer {
	if len(offsets) != len(records) {
		l.window, l.from, records = nil, next, nil
	}
	changed := map[string]bool{}
	for i, c := range records {
		change := ListChange{Offset: offsets[i], EndpointChange: c}
		if list.onlyHeartbeat(c) && !changed[c.ID] {
			change = ListChange{Offset: offsets[i], EndpointChange: EndpointChange{ID: c.ID}, Started: c.Endpoint.StartedUnixMs, Heartbeat: c.Endpoint.Heartbeat}
		} else {
			changed[c.ID] = true
		}
		l.keep(change)
	}
	l.position = next
	if partial {
		return nil
	}
	l.recordOwnRead(started, now)
	return l.answers(started, now)
}

// onlyHeartbeat reports whether a record differs from the listed entry in a higher heartbeat number
// only.
func (e *EndpointList) onlyHeartbeat(c EndpointChange) bool {
	entry, listed := e.current[c.ID]
	if !listed || c.Endpoint == nil || c.Endpoint.Heartbeat <= entry.Heartbeat {
		return false
	}
	known := entry.Endpoint
	known.Heartbeat = c.Endpoint.Heartbeat
	return reflect.DeepEqual(known, *c.Endpoint)
}

func (l *ListShare) recordOwnRead(started, now time.Duration) {
	l.ownRead, l.proof = started, max(l.proof, started)
	l.markSilent(now)
	l.asked, l.nextAsk = nil, now+l.share(askShare)
}

// markSilent records the readers that were asked in vain.
func (l *ListShare) markSilent(now time.Duration) {
	for _, a := range l.asked {
		if now-a.at >= l.share(repeatShare) {
			l.silent[a.reader] = now + silentReaderPause
		}
	}
	maps.DeleteFunc(l.silent, func(_ string, until time.Duration) bool { return now >= until })
}

// keep keeps a change for answers. A heartbeat replaces the one before.
func (l *ListShare) keep(c ListChange) {
	if c.Heartbeat != 0 {
		for i := len(l.window) - 1; i >= 0; i-- {
			if l.window[i].ID != c.ID {
				continue
			}
			if l.window[i].Heartbeat != 0 {
				l.window = slices.Delete(l.window, i, i+1)
			}
			break
		}
	}
	l.window = append(l.window, c)
	if extra := len(l.window) - listWindowChanges; extra > 0 {
		l.from = l.window[extra-1].Offset + 1
		l.window = slices.Delete(l.window, 0, extra)
	}
}

// RecordQuestion records that a member's question has arrived. It returns false if there are too
// many.
func (l *ListShare) RecordQuestion(member string, q ListQuestion, now time.Duration) bool {
	l.questions = slices.DeleteFunc(l.questions, func(w waitingQuestion) bool { return w.member == member })
	if len(l.questions) >= maxListQuestions {
		return false
	}
	l.questions = append(l.questions, waitingQuestion{q, member, now})
	return true
}

// answers returns the answers to the questions that arrived before a read started, and forgets them.
// A question from before the window, or of another era, gets none.
func (l *ListShare) answers(started, now time.Duration) map[string]ListAnswer {
	cycle := l.share(askShare)
	askIn := cycle - now%cycle // the same time for all that ask
	out := map[string]ListAnswer{}
	l.questions = slices.DeleteFunc(l.questions, func(w waitingQuestion) bool {
		if w.arrivedAt > started {
			return false
		}
		if w.Era == l.era && w.Position >= l.from && w.Position <= l.position {
			first, _ := slices.BinarySearchFunc(l.window, w.Position, func(c ListChange, at int64) int { return int(c.Offset - at) })
			out[w.member] = ListAnswer{AskedAt: w.AskedAt, Era: l.era, From: w.Position, Next: l.position, Changes: slices.Clone(l.window[first:]), AskIn: askIn}
		}
		return true
	})
	return out
}

// Accept returns the records of an answer that are new, in the order of the log, and whether the
// answer may be used: it answers a question that this entry sent to the member after its last
// suspension and not too long ago, is of the same era, and continues what is known. The proof is then
// the time of the question. The list must hold everything up to the position.
func (l *ListShare) Accept(list *EndpointList, from string, a ListAnswer, resumedAt, now time.Duration) ([]EndpointChange, bool) {
	wasAsked := slices.Contains(l.asked, askedReader{from, a.AskedAt})
	if wasAsked && a.Era > l.era {
		l.readNow = true // the log has returned from an older copy, as far as the reader knows
	}
	switch {
	case !l.positioned || l.reading || a.Era != l.era || l.newest > l.era || !wasAsked:
		return nil, false
	case a.AskedAt <= l.proof || a.AskedAt > now || now-a.AskedAt >= l.MaxAge:
		return nil, false
	case l.ownRead < resumedAt || a.AskedAt < resumedAt:
		return nil, false
	case a.From > l.position || a.Next < l.position || !a.ordered():
		return nil, false
	}
	changes := slices.DeleteFunc(slices.Clone(a.Changes), func(c ListChange) bool { return c.Offset < l.position })
	records, complete := list.resolve(changes)
	if !complete {
		return nil, false
	}
	for _, c := range changes {
		l.keep(c)
	}
	delete(l.silent, from)
	l.asked, l.nextAsk = nil, now+min(max(a.AskIn, questionWindow), l.share(askShare))
	l.position, l.proof = a.Next, a.AskedAt
	return records, true
}

// ordered reports whether the changes are in the order of the log and within the answer's positions.
func (a *ListAnswer) ordered() bool {
	at := a.From
	for _, c := range a.Changes {
		if c.Offset < at || c.Offset >= a.Next {
			return false
		}
		at = c.Offset + 1
	}
	return true
}

// resolve returns the records of changes. It returns false if a heartbeat belongs to an entry that is
// not listed, or has another start.
func (e *EndpointList) resolve(changes []ListChange) ([]EndpointChange, bool) {
	records := make([]EndpointChange, 0, len(changes))
	newest := map[string]*Endpoint{}
	for _, c := range changes {
		if c.Heartbeat == 0 {
			newest[c.ID] = c.Endpoint
			records = append(records, c.EndpointChange)
			continue
		}
		before, changed := newest[c.ID]
		if entry, listed := e.current[c.ID]; !changed && listed {
			before = &entry.Endpoint
		}
		if before == nil || before.StartedUnixMs != c.Started {
			return nil, false
		}
		p := *before
		p.Heartbeat = c.Heartbeat
		newest[c.ID] = &p
		records = append(records, EndpointChange{ID: c.ID, Endpoint: &p})
	}
	return records, true
}
