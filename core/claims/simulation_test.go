package claims

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

const (
	simWindow    = 24 * time.Hour
	simPageLimit = 3 // entries per page, so that a read may end before the tail
)

// simAttempt is one attempt of an executor.
type simAttempt struct {
	Attempt
	claim   Claim
	crashed bool
	notRun  bool // not_run was returned to the client
}

// simNode is a Keeper with its unfinished commands.
type simNode struct {
	*Keeper
	append       *Append
	read         *Read
	outcomeReads []Position // outcomes to read
	pageAtStart  Page       // the result of the read as of its start
}

// sim consists of a log, two Keepers of one partition and their executors.
// rapid draws every step.
type sim struct {
	t              *rapid.T
	now            time.Time
	log            []Entry // all entries, trimmed ones included; the index is the offset
	trimmedTo      int64
	lateAppends    [][]Record // appends with an unknown result that may still reach the log
	nodes          [2]*simNode
	keyTimes       []int64 // timestamps of the keys, Unix milliseconds
	attempts       []*simAttempt
	effects        map[Hash]int                   // number of dispatches by key
	replies        []Reply                        // not delivered yet
	operations     map[ReqID]*porcupine.Operation // all requests
	history        []porcupine.Operation          // requests whose reply was delivered
	steps          int64
	trims          bool             // the clock may advance by hours and the log may be trimmed
	shownVersion   uint64           // highest version returned to a client
	shownAtRequest map[ReqID]uint64 // shownVersion when the request was sent
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.UnixMilli(1e12), effects: map[Hash]int{}, operations: map[ReqID]*porcupine.Operation{}, shownAtRequest: map[ReqID]uint64{}}
	s.trims = rapid.Bool().Draw(t, "trims")
	for i := range s.nodes {
		s.nodes[i] = s.newNode()
	}
	return s
}

func (s *sim) newNode() *simNode {
	return &simNode{Keeper: NewKeeper(Options{GroupInterval: 40 * time.Millisecond, PollInterval: 200 * time.Millisecond, KeyWindow: simWindow})}
}

// draw returns a random number from 0 to n-1.
func (s *sim) draw(label string, n int) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

func (s *sim) node() *simNode { return s.nodes[s.draw("keeper", len(s.nodes))] }

func (s *sim) advanceClock(*rapid.T) {
	s.steps++
	s.now = s.now.Add(10 * time.Millisecond)
}

func (s *sim) execute(m *simNode, c Commands) {
	if c.Append != nil {
		m.append = c.Append
	}
	if c.Read != nil {
		m.read, m.pageAtStart = c.Read, s.page(c.Read.From)
	}
	m.outcomeReads = append(m.outcomeReads, c.OutcomeReads...)
	for _, r := range c.Replies {
		if h := r.Holder; h.Settled && !(s.everHeldKey(h.Claim.Attempt) && s.hasOutcome(h.Claim.Attempt)) {
			s.t.Fatalf("reply is settled, but its attempt never held the key or has no outcome in the log: %+v", h)
		}
		if r.Result == ResultGranted && !s.everHeldKey(s.operations[r.RequestID].Input.(input).claim.Attempt) {
			s.t.Fatalf("granted a claim that never held the key: %+v", s.operations[r.RequestID].Input)
		}
	}
	s.replies = append(s.replies, c.Replies...)
}

// page returns the result of a read of the log from the offset.
func (s *sim) page(from int64) Page {
	p := Page{FirstOffset: s.trimmedTo, NextOffset: int64(len(s.log))}
	from = max(from, s.trimmedTo)
	p.Entries = s.log[min(from, p.NextOffset):min(from+simPageLimit, p.NextOffset)]
	return p
}

func (s *sim) appendEntry(rs []Record) int64 {
	o := int64(len(s.log))
	s.log = append(s.log, Entry{Offset: o, TimeMs: s.now.UnixMilli(), Records: rs})
	return o
}

// everHeldKey reports whether the attempt's claim ever held its key, according to the
// whole log including trimmed entries.
func (s *sim) everHeldKey(attempt string) bool {
	holder, decided, settled := map[Hash]string{}, map[string]bool{}, map[string]bool{}
	for _, e := range s.log {
		for _, r := range e.Records {
			switch c := r.Claim; {
			case r.Kind == KindClaim:
				if decided[r.Attempt] || e.TimeMs > c.ExpiresMs || c.KeyTimeMs > e.TimeMs+MaxKeyTimeAhead.Milliseconds() {
					continue
				}
				decided[r.Attempt] = true
				if holder[c.Key] == "" {
					if holder[c.Key] = r.Attempt; r.Attempt == attempt {
						return true
					}
				}
			case r.Kind == KindOutcome:
				settled[r.Attempt] = true
			case r.Kind == KindVoid || r.Kind == KindRelease:
				decided[r.Attempt] = true
				for k, a := range holder {
					if a == r.Attempt && r.Kind == KindRelease && !settled[a] {
						holder[k] = ""
					}
				}
			}
		}
	}
	return false
}

func (s *sim) hasOutcome(attempt string) bool {
	for _, e := range s.log {
		for _, r := range e.Records {
			if r.Kind == KindOutcome && r.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// finishOutcomeRead completes or fails one read of an outcome.
func (s *sim) finishOutcomeRead(t *rapid.T) {
	m := s.node()
	if len(m.outcomeReads) == 0 {
		t.Skip("no read of an outcome")
	}
	i := s.draw("outcome", len(m.outcomeReads))
	at := m.outcomeReads[i]
	m.outcomeReads = append(m.outcomeReads[:i:i], m.outcomeReads[i+1:]...)
	if s.draw("end", 4) == 0 {
		s.execute(m, m.OutcomeReadFailed(s.now, at))
		return
	}
	s.execute(m, m.OutcomeReadDone(s.now, at, s.page(at.Offset)))
}

// send sends a request and records it for the history.
func (s *sim) send(m *simNode, in input) {
	req := ReqID(len(s.operations) + 1)
	s.operations[req] = &porcupine.Operation{ClientId: int(req), Input: in, Call: s.steps}
	s.shownAtRequest[req] = s.shownVersion
	switch in.kind {
	case KindClaim:
		s.execute(m, m.Claim(s.now, req, in.claim))
	case KindOutcome:
		s.execute(m, m.Append(s.now, req, Record{Kind: KindOutcome, Attempt: in.claim.Attempt, Outcome: Outcome{Body: []byte(in.claim.Attempt)}}))
	case KindRelease:
		s.execute(m, m.Append(s.now, req, Record{Kind: KindRelease, Attempt: in.claim.Attempt}))
	case KindFloor:
		s.execute(m, m.ObserveVersion(s.now, req, Hash{9}, in.version))
	default:
		s.execute(m, m.Lookup(s.now, req, in.claim.Key))
	}
}

func keyOf(i int) Hash { return KeyHash("customer", fmt.Sprint(i)) }

// drawKey draws one of the last three keys or a new one, and returns its hash and its
// timestamp in Unix milliseconds.
func (s *sim) drawKey() (Hash, int64) {
	i := s.draw("key", min(len(s.keyTimes), 3)+1)
	if i < min(len(s.keyTimes), 3) {
		i = len(s.keyTimes) - 1 - i
	} else {
		i = len(s.keyTimes)
		s.keyTimes = append(s.keyTimes, s.now.UnixMilli()+rapid.Int64Range(-simWindow.Milliseconds(), MaxKeyTimeAhead.Milliseconds()).Draw(s.t, "age"))
	}
	return keyOf(i), s.keyTimes[i]
}

func (s *sim) startAttempt(*rapid.T) {
	key, ms := s.drawKey()
	c := Claim{Key: key, Body: Hash{byte(s.draw("body", 2))}, Attempt: fmt.Sprintf("a%d", len(s.attempts)), KeyTimeMs: ms, ExpiresMs: ms + simWindow.Milliseconds()}
	s.attempts = append(s.attempts, &simAttempt{claim: c})
	s.send(s.node(), input{kind: KindClaim, claim: c})
}

// pick draws an attempt in one of the phases whose executor has not crashed.
// It skips the step if there is none.
func (s *sim) pick(phases ...Phase) *simAttempt {
	var matching []*simAttempt
	for _, x := range s.attempts {
		for _, p := range phases {
			if !x.crashed && x.Phase() == p {
				matching = append(matching, x)
			}
		}
	}
	if len(matching) == 0 {
		s.t.Skip("no such attempt")
	}
	return matching[s.draw("attempt", len(matching))]
}

func (s *sim) retry(*rapid.T) { s.send(s.node(), input{kind: KindClaim, claim: s.pick(Open).claim}) }

func (s *sim) dispatch(*rapid.T) {
	x := s.pick(Open, Granted, Dispatched, Closed)
	if !x.Dispatch() {
		return
	}
	s.effects[x.claim.Key]++
	if s.effects[x.claim.Key] > 1 || x.notRun {
		s.t.Fatalf("attempt %s: its key took effect %d times, not_run returned: %t", x.claim.Attempt, s.effects[x.claim.Key], x.notRun)
	}
}

func (s *sim) settle(*rapid.T) {
	s.send(s.node(), input{kind: KindOutcome, claim: s.pick(Dispatched).claim})
}

func (s *sim) close(*rapid.T) {
	x := s.pick(Open, Granted, Dispatched, Closed)
	sent := x.Phase() == Dispatched
	if x.Close() {
		if sent {
			s.t.Fatalf("attempt %s was closed after its dispatch", x.claim.Attempt)
		}
		x.notRun = true
		s.send(s.node(), input{kind: KindRelease, claim: x.claim})
	}
}

func (s *sim) lookup(*rapid.T) {
	if len(s.keyTimes) == 0 {
		return
	}
	s.send(s.node(), input{claim: Claim{Key: keyOf(s.draw("key", len(s.keyTimes)))}})
}

func (s *sim) observe(*rapid.T) {
	s.send(s.node(), input{kind: KindFloor, version: s.shownVersion + uint64(s.draw("version", 3))})
}

// deliverReply delivers or loses one of the undelivered replies.
func (s *sim) deliverReply(t *rapid.T) {
	if len(s.replies) == 0 {
		t.Skip("no reply")
	}
	i := s.draw("reply", len(s.replies))
	r := s.replies[i]
	s.replies = append(s.replies[:i:i], s.replies[i+1:]...)
	op := s.operations[r.RequestID]
	in := op.Input.(input)
	if rapid.IntRange(0, 9).Draw(t, "lose") == 0 {
		return
	}
	op.Return, op.Output = s.steps, output{r.Result, r.Holder}
	s.history = append(s.history, *op)
	delete(s.operations, r.RequestID)
	s.operations[r.RequestID] = op
	switch {
	case r.Result == ResultOK:
		if !s.trims && in.version < s.shownAtRequest[r.RequestID] {
			t.Fatalf("version %d was returned after version %d", in.version, s.shownAtRequest[r.RequestID])
		}
		s.shownVersion = max(s.shownVersion, in.version)
	case r.Result == ResultGranted:
		for _, x := range s.attempts {
			if x.claim.Attempt == in.claim.Attempt && !x.crashed {
				x.Grant()
			}
		}
	}
}

func (s *sim) crashExecutor(*rapid.T) { s.pick(Open, Granted, Dispatched, Closed).crashed = true }

func (s *sim) crashNode(*rapid.T) {
	i := s.draw("keeper", len(s.nodes))
	if a := s.nodes[i].append; a != nil {
		s.lateAppends = append(s.lateAppends, a.Records)
	}
	s.nodes[i] = s.newNode()
}

// completeLateAppend writes one of the late appends to the log. Unless "once" is drawn,
// it may be written again later.
func (s *sim) completeLateAppend(t *rapid.T) {
	if len(s.lateAppends) == 0 {
		t.Skip("no late append")
	}
	i := s.draw("late", len(s.lateAppends))
	s.appendEntry(s.lateAppends[i])
	if rapid.Bool().Draw(t, "once") {
		s.lateAppends = append(s.lateAppends[:i:i], s.lateAppends[i+1:]...)
	}
}

// finishAppend ends a Keeper's append with one of the possible results. An append with
// an unknown result is written at once, written later or lost.
func (s *sim) finishAppend(t *rapid.T) {
	m := s.node()
	if m.append == nil {
		t.Skip("no append")
	}
	a, result, offset := m.append, AppendUnknown, int64(0)
	m.append = nil
	switch s.draw("end", 6) {
	case 0, 1:
		result, offset = AppendSucceeded, s.appendEntry(a.Records)
	case 2:
		result = AppendRejected
	case 3:
		s.appendEntry(a.Records)
	case 4:
		s.lateAppends = append(s.lateAppends, a.Records)
	}
	s.execute(m, m.AppendDone(s.now, a.Seq, result, offset))
}

// finishRead ends a Keeper's read: it fails, or it returns the log as it was at its
// start, or as it is at its end.
func (s *sim) finishRead(t *rapid.T) {
	m := s.node()
	if m.read == nil {
		t.Skip("no read")
	}
	r := m.read
	m.read = nil
	switch s.draw("end", 6) {
	case 0:
		s.execute(m, m.ReadFailed(s.now, r.Seq))
	case 1:
		s.execute(m, m.ReadDone(s.now, r.Seq, m.pageAtStart))
	default:
		s.execute(m, m.ReadDone(s.now, r.Seq, s.page(r.From)))
	}
}

func (s *sim) tick(*rapid.T) {
	s.now = s.now.Add(50 * time.Millisecond)
	m := s.node()
	s.execute(m, m.Tick(s.now))
}

// ageAndTrim advances the clock by up to the key window and trims the log, possibly
// within the window.
func (s *sim) ageAndTrim(t *rapid.T) {
	if !s.trims {
		t.Skip("no trims")
	}
	s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(simWindow)).Draw(t, "passes")))
	s.trimmedTo = min(int64(len(s.log)), s.trimmedTo+int64(s.draw("trimmed", 4)))
}
