package gateway

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

const (
	listProtocol = "galenaweir-list-1"
	maxAskInMs   = 10_000                 // longer values are cut, and would be by forward.ListShare
	maxListWait  = 250 * time.Millisecond // until it is looked again what is due, as members may change and suspensions end
)

// listChange is a change of the endpoint list; see forward.ListChange.
type listChange struct {
	Offset    int64
	ID        string
	Endpoint  *forward.Endpoint // without its models
	Models    boundedList[forward.ModelState]
	Invalid   bool
	Started   int64
	Heartbeat int64
}

// listMessage is a question for changes of the endpoint list, or an answer to one.
type listMessage struct {
	Protocol string
	Member   string
	Answer   bool
	AskedAt  int64 // of the question, on its sender's clock in ns
	Era      int64
	From     int64 // position of the sender of a question
	Next     int64
	Changes  boundedList[listChange]
	AskInMs  int64
}

var errInvalidListEntry = errors.New("the entry is not valid, as its reader found")

// sharedList reads the endpoint list from the log and from peers. It implements Feed for the reads
// from the log; see forward.ListShare. Its fields are guarded by the state's mutex.
type sharedList struct {
	*Gateway
	share *forward.ListShare
	wake  chan struct{} // a question or an answer has arrived
	used  bool          // the group is large enough
	reads bool          // this process is a reader
	batch Batch[forward.EndpointChange]
	began time.Duration // start of the read that gave batch
	send  func(data []byte, member string)
}

func newSharedList(g *Gateway) *sharedList {
	return &sharedList{Gateway: g, share: forward.NewListShare(endpointPollPause(g.settings)), wake: make(chan struct{}, 1), send: g.sendDatagram}
}

func (l *sharedList) begin() {
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	l.began = l.clock()
	l.share.BeginRead(l.began)
	l.countList("read", 1)
}

// Newest implements Feed.
func (l *sharedList) Newest(ctx context.Context) (Batch[forward.EndpointChange], error) {
	l.begin()
	b, err := l.endpoints.Newest(ctx)
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	if l.batch = b; err == nil {
		l.share.Arrived(l.share.Position())
	}
	return b, err
}

// Read implements Feed. It reads from the position that answers have reached, and returns no records
// if an answer arrives meanwhile: those of the log may then be older.
func (l *sharedList) Read(ctx context.Context, _ int64, pollWait time.Duration) (Batch[forward.EndpointChange], error) {
	l.begin()
	l.state.mu.Lock()
	from := l.share.Position()
	l.state.mu.Unlock()
	b, err := l.endpoints.Read(ctx, from, pollWait)
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	if err == nil && !l.share.Arrived(from) {
		b.Records, b.Offsets, b.Next, b.Partial = nil, nil, l.share.Position(), true
	}
	l.batch = b
	return b, err
}

// apply records and applies what was read from the log, and answers questions.
func (l *sharedList) apply(records []forward.EndpointChange, proof time.Duration, snapshot bool) {
	s := l.state
	s.mu.Lock()
	now := s.clock()
	var answers map[string]forward.ListAnswer
	if snapshot {
		l.share.RecordSnapshot(l.batch.Next, l.batch.Era, l.began, now)
	} else {
		answers = l.share.RecordRead(s.endpointList, records, l.batch.Offsets, l.batch.Next, l.batch.Partial, l.began, now)
	}
	proof = max(proof, l.share.Proof())
	s.mu.Unlock()
	l.applyEndpoints(records, proof, snapshot)
	s.mu.Lock()
	l.share.EndRead()
	s.mu.Unlock()
	for member, a := range answers {
		l.sendAnswer(member, a)
	}
}

// await waits until this process has to read the log, and asks readers meanwhile.
func (l *sharedList) await(ctx context.Context) {
	for ctx.Err() == nil {
		step := l.next()
		switch {
		case !step.used:
			wait.For(ctx, endpointPollPause(l.settings)) // as without sharing
			return
		case step.reader != "":
			l.countList("asked", 1)
			l.sendQuestion(step.reader, step.question)
			continue
		case step.pause <= 0:
			return
		}
		due := time.NewTimer(min(step.pause, maxListWait))
		select {
		case <-ctx.Done():
		case <-due.C:
		case <-l.wake:
		}
		due.Stop()
	}
}

// listStep is what is due next.
type listStep struct {
	used     bool          // reads are shared
	pause    time.Duration // until the next read or question, 0 if the log is to be read now
	reader   string        // to ask now, "" for none
	question forward.ListQuestion
}

func (l *sharedList) next() listStep {
	s := l.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.recordActivity(now)
	l.share.ObserveEra(s.eras.Newest())
	members := s.peerLoads.members
	domains := s.memberDomains(now)
	domains[l.memberID] = l.settings.FailureDomain
	readers := forward.ListReaders(members, domains)
	l.logRole(forward.SharesList(len(members)) && slices.Contains(members, l.memberID), slices.Contains(readers, l.memberID))
	due := l.share.ReadDue(s.resumedAt)
	step := listStep{used: l.used, pause: max(due-now, 0)}
	at, may := l.share.AskDue()
	if !step.used || step.pause == 0 || l.reads || !may {
		return step
	}
	if at > now {
		step.pause = min(at, due) - now
	} else {
		step.reader, step.question, _ = l.share.Ask(l.memberID, readers, domains, now)
	}
	return step
}

// logRole logs when this process begins or ends to rely on readers, or to be one.
func (l *sharedList) logRole(used, reads bool) {
	reads = used && reads
	if used != l.used || reads != l.reads {
		log.Info().Str("event", "list_sharing").Bool("shares", used).Bool("reads", reads).Int("members", len(l.state.peerLoads.members)).Msg("this entry begins or ends to ask its peers for the endpoint list, or to read it for them")
	}
	l.used, l.reads = used, reads
}

// memberDomains returns the failure domains that the peers have stated.
func (s *state) memberDomains(now time.Duration) map[string]string {
	out := map[string]string{}
	for m, f := range s.peerFacts {
		if now < f.receivedAt+factsTTL {
			out[m] = f.domain
		}
	}
	return out
}

func (g *Gateway) countList(label string, n int64) { g.listShares.Add(label, n) }

func (l *sharedList) sendQuestion(reader string, q forward.ListQuestion) {
	l.sendList(reader, &listMessage{Protocol: listProtocol, Member: l.memberID, AskedAt: int64(q.AskedAt), Era: int64(q.Era), From: q.Position})
}

func (l *sharedList) sendAnswer(member string, a forward.ListAnswer) {
	m := &listMessage{Protocol: listProtocol, Member: l.memberID, Answer: true, AskedAt: int64(a.AskedAt), Era: int64(a.Era), From: a.From, Next: a.Next, Changes: encodeListChanges(a.Changes), AskInMs: a.AskIn.Milliseconds()}
	if l.sendList(member, m) {
		l.countList("answered", 1)
	}
}

// sendList sends a message and reports whether it fits in a datagram. A member whose answer does not
// reads the log itself.
func (l *sharedList) sendList(member string, m *listMessage) bool {
	data, err := encodeMessage(m)
	if err != nil {
		log.Error().Str("event", "list_message_failed").Err(err).Msg("cannot encode a message about the endpoint list")
		return false
	}
	if len(data) > maxDatagram {
		l.countList("too_long", 1)
		return false
	}
	l.send(data, member)
	return true
}

func encodeListChanges(changes []forward.ListChange) boundedList[listChange] {
	out := make(boundedList[listChange], 0, len(changes))
	for _, c := range changes {
		m := listChange{Offset: c.Offset, ID: c.ID, Invalid: c.Err != nil, Started: c.Started, Heartbeat: c.Heartbeat}
		if c.Endpoint != nil {
			e := *c.Endpoint
			m.Endpoint, m.Models, e.Models = &e, e.Models, nil
		}
		out = append(out, m)
	}
	return out
}

// decode returns the answer, and false if it is invalid.
func (m *listMessage) decode() (forward.ListAnswer, bool) {
	a := forward.ListAnswer{AskedAt: time.Duration(m.AskedAt), Era: forward.Era(m.Era), From: m.From, Next: m.Next, AskIn: milliseconds(max(0, min(m.AskInMs, maxAskInMs)))}
	for _, c := range m.Changes {
		change := forward.ListChange{Offset: c.Offset, EndpointChange: forward.EndpointChange{ID: c.ID, Endpoint: c.Endpoint}, Started: c.Started, Heartbeat: c.Heartbeat}
		switch {
		case c.ID == "" || c.Heartbeat < 0 || c.Endpoint != nil && (c.Invalid || c.Heartbeat != 0 || c.Endpoint.ID != c.ID):
			return a, false
		case c.Endpoint != nil:
			if change.Endpoint.Models = c.Models; c.Endpoint.Validate() != nil {
				return a, false
			}
		case c.Invalid:
			change.Err = errInvalidListEntry
		}
		a.Changes = append(a.Changes, change)
	}
	return a, m.Era >= 0 && m.Era <= int64(forward.MaxEra)
}

// isListMessage reports whether a datagram is a listMessage.
func isListMessage(data []byte) bool {
	return bytes.Contains(data[:min(len(data), 2*len(listProtocol))], []byte(listProtocol))
}

// receiveList records a question or applies an answer. It reports whether the message is valid.
func (g *Gateway) receiveList(data []byte) bool {
	l := g.list
	if l == nil {
		return true // a peer shares its reads, this process doesn't
	}
	var m listMessage
	if msgpack.Unmarshal(data, &m) != nil || m.Protocol != listProtocol || m.Member == g.memberID {
		return false
	}
	a, valid := m.decode()
	if !valid {
		return false
	}
	s := g.state
	s.mu.Lock()
	now := s.clock()
	s.recordActivity(now)
	l.share.ObserveEra(s.eras.Newest())
	if !slices.Contains(s.peerLoads.members, m.Member) {
		s.mu.Unlock()
		return true // not known as a member, or not any more
	}
	if !m.Answer {
		taken := l.share.RecordQuestion(m.Member, forward.ListQuestion{AskedAt: a.AskedAt, Era: a.Era, Position: a.From}, now)
		s.mu.Unlock()
		g.countList("questions", int64(boolInt(taken)))
		l.signal()
		return true
	}
	records, ok := l.share.Accept(s.endpointList, m.Member, a, s.resumedAt, now)
	if !ok {
		s.mu.Unlock()
		g.countList("unused", 1)
		l.signal()
		return true
	}
	g.applyEndpointsLocked(records, l.share.Proof(), false)
	alive := s.pruneEndpoints(now)
	s.mu.Unlock()
	g.pool.prune(alive)
	g.countList("used", 1)
	l.signal()
	return true
}

func (l *sharedList) signal() {
	select {
	case l.wake <- struct{}{}:
	default: // already requested
	}
}
