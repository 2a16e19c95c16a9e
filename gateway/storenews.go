package gateway

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
	"github.com/galenaweir/galenaweir/wait"
)

const (
	storeNewsProtocol = "galenaweir-stores-1"
	maxReadWait       = time.Second // until it is looked again whether this process has to read a store, as the members may change
)

// newsEvent is an event of a store.
type newsEvent struct {
	Number int64
	Added  bool
	Salt   int // index in storeNews.Salts
	ID     string
	Tokens int
}

// storeNews is the message with what an entry has read of a store; see forward.StoreNews.
type storeNews struct {
	Protocol string
	Member   string
	Store    uint32 // hash of its name
	Epoch    int64
	From     int64
	Next     int64
	ClockMs  float64
	TookUs   int64
	Salts    boundedList[string]
	Events   boundedList[newsEvent]
}

// storeFollower reads one store and passes on what it has read.
type storeFollower struct {
	*Gateway
	view    *forward.StoreView
	reading forward.StoreReading // guarded by the state's mutex
	passOn  bool                 // used by the reading goroutine
	seq     int64                // of the messages
}

// awaitRead waits until this process has to read the store and returns false when ctx is done.
func (f *storeFollower) awaitRead(ctx context.Context) bool {
	for ctx.Err() == nil {
		s := f.state
		s.mu.Lock()
		now := s.clock()
		at, passOn := f.reading.NextRead(f.view, f.memberID, s.peerLoads.members, now)
		s.mu.Unlock()
		if passOn != f.passOn {
			log.Info().Str("event", "store_reader").Str("store", f.view.Name).Bool("reads", passOn).Msg("this entry begins or ends to pass on to its peers what it reads of the cache store")
		}
		f.passOn = passOn
		if at <= now {
			return true
		}
		wait.For(ctx, min(at-now, maxReadWait))
	}
	return false
}

func (f *storeFollower) recordReadEnd() {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.reading.RecordReadEnd(f.state.clock())
}

// poll reads the store's events, or its list if the position isn't known, and passes events on.
func (f *storeFollower) poll(ctx context.Context) error {
	s := f.state
	s.mu.Lock()
	since, known := f.view.Cursor()
	s.mu.Unlock()
	if !known {
		return f.listStore(ctx, f.view)
	}
	ctx, cancel := context.WithTimeout(ctx, forward.StorePollWait+storeTimeoutMargin)
	defer cancel()
	a, err := f.readEvents(ctx, f.view, since, forward.StorePollWait)
	if err != nil || !f.passOn {
		return err
	}
	s.mu.Lock()
	news := f.reading.RecordEvents(a.StoreEvents, since, a.took)
	peers := slices.DeleteFunc(slices.Clone(s.peerLoads.members), func(m string) bool { return m == f.memberID })
	s.mu.Unlock()
	for _, n := range news {
		f.send(n, peers)
	}
	return nil
}

// send passes news on to the peers.
func (f *storeFollower) send(n forward.StoreNews, peers []string) {
	m := encodeNews(n, f.memberID, f.view.Name)
	data, err := encodeMessage(&m)
	if err != nil || len(data) > maxDatagram {
		log.Error().Str("event", "store_news_failed").Str("store", f.view.Name).Int("bytes", len(data)).Err(err).Msg("cannot pass on the events of the cache store")
		return
	}
	f.seq++
	f.sendReport(data, peers, f.seq)
}

func encodeNews(n forward.StoreNews, member, store string) storeNews {
	m := storeNews{Protocol: storeNewsProtocol, Member: member, Store: endpointHash(store), Epoch: n.Epoch, From: n.From, Next: n.Next, ClockMs: n.ClockMs, TookUs: (n.Took + time.Microsecond - 1).Microseconds()}
	for _, e := range n.Events {
		salt := slices.Index(m.Salts, e.Part.Salt)
		if salt < 0 {
			salt, m.Salts = len(m.Salts), append(m.Salts, e.Part.Salt)
		}
		m.Events = append(m.Events, newsEvent{e.Number, e.Added, salt, e.Part.ID, e.Part.Tokens})
	}
	return m
}

// decode returns the news, and false if it is invalid.
func (m *storeNews) decode() (forward.StoreNews, bool) {
	n := forward.StoreNews{Epoch: m.Epoch, From: m.From, Next: m.Next, ClockMs: m.ClockMs, Took: time.Duration(m.TookUs) * time.Microsecond}
	for _, e := range m.Events {
		if e.Salt < 0 || e.Salt >= len(m.Salts) || e.Tokens < 0 {
			return n, false
		}
		n.Events = append(n.Events, forward.StoreEvent{Number: e.Number, Added: e.Added, Part: forward.StoredPart{Salt: m.Salts[e.Salt], ID: e.ID, Tokens: e.Tokens}})
	}
	return n, m.Protocol == storeNewsProtocol
}

// isStoreNews reports whether a datagram is a storeNews.
func isStoreNews(data []byte) bool {
	return bytes.Contains(data[:min(len(data), 2*len(storeNewsProtocol))], []byte(storeNewsProtocol))
}

// receiveStoreNews applies what a peer has read of a store. It reports whether the message is valid.
func (g *Gateway) receiveStoreNews(data []byte) bool {
	var m storeNews
	if msgpack.Unmarshal(data, &m) != nil || m.Member == g.memberID {
		return false
	}
	n, valid := m.decode()
	if !valid {
		return false
	}
	s := g.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.recordActivity(now)
	f := s.storeFollowers[m.Store]
	if f == nil || !slices.Contains(s.peerLoads.members, m.Member) {
		return true // the store or the sender isn't known yet, or not any more
	}
	f.reading.HearNews(f.view.Name, g.memberID, m.Member, s.peerLoads.members, now)
	if f.view.ApplyNews(n, now) {
		s.signalStoreRead()
	}
	return true
}
