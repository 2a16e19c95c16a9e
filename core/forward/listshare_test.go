package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Simulation of a group of entries that share their reads of the endpoint list.
const (
	listSimEntries   = 15
	listSimEndpoints = 6
	listSimTick      = 10 * time.Millisecond
	listSimMaxAge    = 1200 * time.Millisecond // 0.4 of the bound
	listSimBound     = 3 * time.Second
	listReadTimeout  = 800 * time.Millisecond
	listSimRetry     = 100 * time.Millisecond
)

// listSim is the state of a run. All times are on one clock, but entries only compare their own.
type listSim struct {
	rng       *rand.Rand
	now       time.Duration
	log       []EndpointChange
	newest    map[string]*Endpoint
	starts    map[string]int64
	goneSince map[string]time.Duration // of endpoints that drain or are gone
	entries   []*listSimEntry
	members   []string
	readers   []string
	quiet     int // average number of ticks between two records
	domains   map[string]string
	messages  []listSimMessage
	// date returns the time of the question that an answer is taken to answer. The product takes
	// what the answer repeats.
	date  func(e *listSimEntry, from string, a ListAnswer) time.Duration
	slow  time.Duration // end of a phase in which datagrams take seconds
	calls int
	sent  int
	late  []string
	used  int // answers
}

type listSimEntry struct {
	name       string
	share      *ListShare
	list       *EndpointList
	frozen     time.Duration // until then
	resumedAt  time.Duration
	cut        time.Duration // from the log, until then
	able       time.Duration // since when it is neither frozen nor cut off
	read       *listSimRead
	retryAt    time.Duration
	lastSentAt time.Duration
}

type listSimRead struct {
	started, answered, ends time.Duration
	from, next              int64
	fails, snapshot         bool
}

type listSimMessage struct {
	at       time.Duration
	from, to int
	question *ListQuestion
	answer   *ListAnswer
}

func newListSim(seed uint64) *listSim {
	s := &listSim{rng: rand.New(rand.NewPCG(seed, 21)), now: time.Hour, domains: map[string]string{}, newest: map[string]*Endpoint{}, starts: map[string]int64{}, goneSince: map[string]time.Duration{}}
	s.date = func(_ *listSimEntry, _ string, a ListAnswer) time.Duration { return a.AskedAt }
	for i := range listSimEntries {
		name := fmt.Sprintf("10.0.0.%d:1", i)
		s.members, s.domains[name] = append(s.members, name), string(rune('a'+i%3))
		s.entries = append(s.entries, &listSimEntry{name: name, share: NewListShare(listSimMaxAge), list: NewEndpointList(), able: s.now})
	}
	s.readers, s.quiet = ListReaders(s.members, s.domains), 10
	if seed%2 == 0 { // an old answer may then still continue what is known
		s.quiet = 200
	}
	for i := range listSimEndpoints {
		s.write(i, 1, 1, false)
	}
	return s
}

func (s *listSim) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

func (s *listSim) write(endpoint int, started, heartbeat int64, draining bool) {
	id := fmt.Sprintf("e%d", endpoint)
	s.append(EndpointChange{ID: id, Endpoint: &Endpoint{ID: id, Service: "s", StartedUnixMs: started, Heartbeat: heartbeat, Draining: draining}})
}

func (s *listSim) append(c EndpointChange) {
	s.log, s.newest[c.ID] = append(s.log, c), c.Endpoint
	if c.Endpoint != nil {
		s.starts[c.ID] = c.Endpoint.StartedUnixMs
	}
	_, gone := s.goneSince[c.ID]
	if c.Endpoint != nil && !c.Endpoint.Draining {
		delete(s.goneSince, c.ID)
	} else if !gone {
		s.goneSince[c.ID] = s.now
	}
}

// writeRecords writes a heartbeat, a start, a record of an endpoint that drains, or a removal.
func (s *listSim) writeRecords() {
	if s.rng.IntN(s.quiet) > 0 {
		return
	}
	i := s.rng.IntN(listSimEndpoints)
	id := fmt.Sprintf("e%d", i)
	last, starts := s.newest[id], s.starts[id]
	switch {
	case last == nil:
		s.write(i, starts+1, 1, false)
	case s.rng.IntN(12) == 0 && !last.Draining:
		s.write(i, starts, last.Heartbeat+1, true)
	case s.rng.IntN(12) == 0:
		s.append(EndpointChange{ID: id})
	default:
		s.write(i, starts, last.Heartbeat+1, last.Draining)
	}
}

// disturb freezes entries, cuts them off from the log, and slows the network down. The readers are hit
// more often than the others.
func (s *listSim) disturb() {
	if s.rng.IntN(150) > 0 {
		return
	}
	e := s.entries[s.rng.IntN(len(s.entries))]
	if s.rng.IntN(2) == 0 {
		e = s.entries[slices.Index(s.members, s.readers[s.rng.IntN(len(s.readers))])]
	}
	until := s.now + s.between(100*time.Millisecond, 5*time.Second)
	switch s.rng.IntN(3) {
	case 0:
		e.frozen = until
	case 1:
		e.cut = until
	case 2:
		s.slow = until + s.between(0, 10*time.Second)
	}
}

func (s *listSim) send(m listSimMessage) {
	s.sent++
	copies := 1
	switch s.rng.IntN(20) {
	case 0:
		return // lost
	case 1:
		copies = 2
	}
	for range copies {
		m.at = s.now + s.between(0, 30*time.Millisecond)
		switch {
		case s.now < s.slow:
			m.at = s.now + s.between(3*time.Second, 6*time.Second)
		case s.rng.IntN(30) == 0:
			m.at = s.now + s.between(0, 6*time.Second)
		}
		s.messages = append(s.messages, m)
	}
}

func (s *listSim) deliver() {
	var later []listSimMessage
	for _, m := range s.messages {
		to := s.entries[m.to]
		if m.at > s.now || s.now < to.frozen {
			later = append(later, m)
			continue
		}
		if m.question != nil {
			to.share.RecordQuestion(s.members[m.from], *m.question, s.now)
			continue
		}
		a := *m.answer
		a.AskedAt = s.date(to, s.members[m.from], a)
		if records, ok := to.share.Accept(to.list, s.members[m.from], a, to.resumedAt, s.now); ok {
			to.list.Apply(records, s.now)
			s.used++
		}
	}
	s.messages = later
}

// step lets an entry read, ask and answer.
func (s *listSim) step(i int) {
	e := s.entries[i]
	if s.now < e.frozen {
		e.able = s.now
		return
	}
	if e.lastSentAt != 0 && s.now-e.lastSentAt > 500*time.Millisecond {
		e.resumedAt = s.now
	}
	e.lastSentAt = s.now
	if s.now < e.cut {
		e.able = s.now
	}
	follows := !slices.Contains(s.readers, e.name)
	if r := e.read; r != nil {
		if r.answered == 0 && s.now >= r.started+r.ends/2 { // the log answers
			r.answered, r.next = s.now, int64(len(s.log))
		}
		if s.now >= r.started+r.ends {
			e.read = nil
			s.finishRead(i, r)
		}
		return
	}
	if at, may := e.share.AskDue(); follows && may && s.now >= at {
		if reader, q, ok := e.share.Ask(e.name, s.readers, s.domains, s.now); ok {
			s.send(listSimMessage{from: i, to: slices.Index(s.members, reader), question: &q})
		}
	}
	if s.now >= e.share.ReadDue(e.resumedAt) && s.now >= e.retryAt {
		s.calls++
		e.share.BeginRead(s.now)
		e.read = &listSimRead{started: s.now, ends: s.between(20*time.Millisecond, 80*time.Millisecond), from: e.share.Position(), snapshot: e.share.Position() == 0}
		if s.now < e.cut {
			e.read.fails, e.read.ends = true, listReadTimeout
		}
	}
}

func (s *listSim) finishRead(i int, r *listSimRead) {
	e := s.entries[i]
	if r.fails {
		e.share.EndRead()
		e.retryAt = s.now + listSimRetry
		return
	}
	if r.snapshot {
		e.list.Apply(s.log[:r.next], s.now)
		e.share.RecordSnapshot(r.next, 1, r.started, s.now)
		e.share.EndRead()
		return
	}
	if !e.share.Arrived(r.from) {
		e.share.EndRead()
		return
	}
	var offsets []int64
	for o := r.from; o < r.next; o++ {
		offsets = append(offsets, o)
	}
	records := s.log[r.from:r.next]
	answers := e.share.RecordRead(e.list, records, offsets, r.next, false, r.started, s.now)
	e.list.Apply(records, s.now)
	e.share.EndRead()
	for to := range s.members { // not over the map, whose order is random
		if a, ok := answers[s.members[to]]; ok {
			s.send(listSimMessage{from: i, to: to, answer: &a})
		}
	}
}

// check records endpoints that an entry would still send requests to although they have drained or
// been gone for the bound. Entries that are frozen or cut off from the log, or were a moment ago, are
// left out: they would be late without sharing too.
func (s *listSim) check() {
	for name, since := range s.goneSince {
		if since > s.now-listSimBound {
			continue
		}
		for _, e := range s.entries {
			if _, usable := e.list.Get(name, s.now); usable && s.now >= e.frozen && s.now-e.able > time.Second {
				s.late = append(s.late, fmt.Sprintf("%v: %s uses %s", s.now, e.name, name))
			}
		}
	}
}

func (s *listSim) run(length time.Duration) {
	for end := s.now + length; s.now < end; s.now += listSimTick {
		s.writeRecords()
		s.disturb()
		s.deliver()
		for i := range s.entries {
			s.step(i)
		}
		s.check()
	}
}

// Guards against requests to an endpoint later than drainMs after its record, although readers freeze
// and are cut off from the log, and datagrams are late, lost and repeated. The mutant takes an answer
// to be as new as the reader would say by itself, which a delayed datagram makes wrong.
func TestSharedListKeepsTheDrainBound(t *testing.T) {
	const seeds, length = 24, 60 * time.Second
	used, calls := 0, 0
	for seed := range uint64(seeds) {
		s := newListSim(seed)
		s.run(length)
		require.Empty(t, s.late, "seed %d", seed)
		used, calls = used+s.used, calls+s.calls
	}
	t.Logf("%d seeds of %v: %d answers used, %d calls", seeds, length, used, calls)
	require.Greater(t, used, seeds*100, "the runs shared too little")
	caught := 0
	for seed := range uint64(seeds) {
		s := newListSim(seed)
		s.date = func(e *listSimEntry, from string, _ ListAnswer) time.Duration {
			e.share.asked = append(e.share.asked, askedReader{from, s.now})
			return s.now // as if it had been read just now
		}
		s.run(length)
		caught += min(len(s.late), 1)
	}
	t.Logf("the mutant is caught by %d seeds", caught)
	require.Positive(t, caught)
}

// Guards against entries whose lists differ from the log's records, in their heartbeat numbers or
// otherwise, after their reads and answers.
func TestSharedListHoldsWhatTheLogHolds(t *testing.T) {
	for seed := range uint64(20) {
		s := newListSim(seed)
		s.run(20 * time.Second)
		for _, e := range s.entries {
			want := NewEndpointList()
			want.Apply(s.log[:e.share.Position()], s.now)
			for id := range listSimEndpoints {
				name := fmt.Sprintf("e%d", id)
				got, usable := e.list.Get(name, s.now)
				expected, expectedUsable := want.Get(name, s.now)
				require.Equal(t, expected, got, "seed %d %s", seed, e.name)
				require.Equal(t, expectedUsable, usable)
			}
		}
	}
}

// Guards against an answer that is used although it proves nothing, or does not continue what this
// process knows.
func TestAcceptListAnswer(t *testing.T) {
	const asked, now = time.Hour + time.Second, time.Hour + 1100*time.Millisecond
	record := func(heartbeat int64) ListChange {
		return ListChange{Offset: 12, EndpointChange: EndpointChange{ID: "e", Endpoint: &Endpoint{ID: "e", StartedUnixMs: 3, Heartbeat: heartbeat}}}
	}
	beat := ListChange{Offset: 13, EndpointChange: EndpointChange{ID: "e"}, Started: 3, Heartbeat: 6}
	good := ListAnswer{AskedAt: asked, Era: 1, From: 10, Next: 20, Changes: []ListChange{record(5), beat}}
	for name, c := range map[string]struct {
		change  func(l *ListShare, a *ListAnswer)
		from    string
		resumed time.Duration
		now     time.Duration
		want    int // records, -1 if the answer is not used
	}{
		"good":                    {want: 2},
		"reaches further back":    {change: func(_ *ListShare, a *ListAnswer) { a.From = 4 }, want: 2},
		"known in part":           {change: func(l *ListShare, _ *ListAnswer) { l.position = 13 }, want: -1}, // the heartbeat's entry is not listed
		"known in full":           {change: func(l *ListShare, _ *ListAnswer) { l.position = 20 }, want: 0},
		"gap":                     {change: func(_ *ListShare, a *ListAnswer) { a.From = 11 }, want: -1},
		"behind":                  {change: func(l *ListShare, _ *ListAnswer) { l.position = 21 }, want: -1},
		"of another reader":       {from: "other", want: -1},
		"to another question":     {change: func(_ *ListShare, a *ListAnswer) { a.AskedAt++ }, want: -1},
		"older than the proof":    {change: func(l *ListShare, _ *ListAnswer) { l.proof = asked }, want: -1},
		"too late":                {now: asked + listSimMaxAge, want: -1},
		"older era":               {change: func(l *ListShare, _ *ListAnswer) { l.era = 2 }, want: -1},
		"newer era":               {change: func(_ *ListShare, a *ListAnswer) { a.Era = 2 }, want: -1},
		"the log has a newer era": {change: func(l *ListShare, _ *ListAnswer) { l.ObserveEra(2) }, want: -1},
		"suspended since":         {resumed: asked + 1, want: -1},
		"not read since":          {resumed: time.Hour + 1, want: -1},
		"own records not applied": {change: func(l *ListShare, _ *ListAnswer) { l.Arrived(10) }, want: -1},
		"own read is under way":   {change: func(l *ListShare, _ *ListAnswer) { l.BeginRead(asked) }, want: 2},
		"offset outside":          {change: func(_ *ListShare, a *ListAnswer) { a.Next = 13 }, want: -1},
		"not in order":            {change: func(_ *ListShare, a *ListAnswer) { a.Changes = []ListChange{beat, record(5)} }, want: -1},
		"heartbeat of a new start": {change: func(_ *ListShare, a *ListAnswer) {
			a.Changes = []ListChange{record(5), {Offset: 14, EndpointChange: EndpointChange{ID: "e"}, Started: 4, Heartbeat: 1}}
		}, want: -1},
	} {
		l, list := NewListShare(listSimMaxAge), NewEndpointList()
		l.RecordSnapshot(10, 1, time.Hour, time.Hour)
		l.EndRead()
		_, _, _ = l.Ask("self", []string{"reader"}, nil, asked)
		a := good
		if c.change != nil {
			c.change(l, &a)
		}
		from, at := c.from, c.now
		if from == "" {
			from = "reader"
		}
		if at == 0 {
			at = now
		}
		records, ok := l.Accept(list, from, a, c.resumed, at)
		require.Equal(t, c.want >= 0, ok, name)
		require.Len(t, records, max(c.want, 0), name)
		if ok {
			require.Equal(t, asked, l.Proof(), name)
			require.EqualValues(t, 20, l.Position(), name)
			require.Equal(t, asked+listSimMaxAge, l.ReadDue(c.resumed), name)
			_, again := l.Accept(list, from, a, c.resumed, at)
			require.False(t, again, "%s: a repeated answer is not used", name)
		}
	}
}

// Guards against an answer that was read before its question arrived, and against own records that are
// applied over newer ones of an answer.
func TestListReaderAnswersFromLaterReads(t *testing.T) {
	l, list := NewListShare(listSimMaxAge), NewEndpointList()
	l.RecordSnapshot(10, 1, time.Hour, time.Hour)
	l.EndRead()
	arrived := time.Hour + time.Second
	require.True(t, l.RecordQuestion("m", ListQuestion{AskedAt: 5, Era: 1, Position: 10}, arrived))
	require.Equal(t, arrived+questionWindow, l.ReadDue(0))
	require.Empty(t, l.RecordRead(list, nil, nil, 11, false, arrived-1, arrived+1), "the read started before the question arrived")
	require.Empty(t, l.RecordRead(list, nil, nil, 12, true, arrived, arrived+1), "a partial read proves nothing")
	answers := l.RecordRead(list, nil, nil, 14, false, arrived, arrived+1)
	require.Equal(t, ListAnswer{AskedAt: 5, Era: 1, From: 10, Next: 14, AskIn: answers["m"].AskIn}, answers["m"])
	require.Empty(t, l.RecordRead(list, nil, nil, 15, false, arrived+1, arrived+2), "answered once")
	require.False(t, l.Arrived(14), "an answer has moved the position")
}

// Guards against readers that all belong to one failure domain, and against too few of them.
func TestListReaders(t *testing.T) {
	domains, members := map[string]string{}, []string{}
	for i := range 39 {
		m := fmt.Sprintf("10.0.0.%d:1", i)
		members, domains[m] = append(members, m), string(rune('a'+i%3))
	}
	perDomain := map[string]int{}
	for _, m := range ListReaders(members, domains) {
		perDomain[domains[m]]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2}, perDomain)
	require.Len(t, ListReaders(members, nil), 3, "the domains are not known")
	require.Len(t, ListReaders(members, map[string]string{members[0]: "a"}), 3)
	require.Empty(t, ListReaders(nil, domains))
}
