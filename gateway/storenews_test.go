package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/forward"
)

// newFollowedStore returns a gateway in a large group that follows a store, and the store's view.
func newFollowedStore(t *testing.T, g *Gateway) *forward.StoreView {
	t.Helper()
	v := forward.NewStoreView(forward.Service{Name: "s", StoreAddress: "10.0.0.9:1", CapacityTokens: 100_000, NoAutoEviction: true})
	v.ApplyList(forward.StoreList{Epoch: 1, Next: 5, ClockMs: 1e12}, g.clock(), g.clock())
	g.state.mu.Lock()
	defer g.state.mu.Unlock()
	g.state.stores = []*forward.StoreView{v}
	g.state.storeFollowers[endpointHash("s")] = &storeFollower{Gateway: g, view: v}
	g.state.peerLoads.members = []string{g.memberID, "10.0.0.2:7"}
	return v
}

func encodedNews(t *testing.T, member string, change func(*storeNews)) []byte {
	t.Helper()
	m := encodeNews(forward.StoreNews{Epoch: 1, From: 4, Next: 7, ClockMs: 1e12 + 900, Took: 10 * time.Millisecond, Events: []forward.StoreEvent{
		{Number: 6, Added: true, Part: forward.StoredPart{Salt: "g@m/1", ID: "a", Tokens: 100}},
		{Number: 7, Added: true, Part: forward.StoredPart{Salt: "g@m/1", ID: "b", Tokens: 200}},
	}}, member, "s")
	if change != nil {
		change(&m)
	}
	data, err := encodeMessage(&m)
	require.NoError(t, err)
	return data
}

// Guards against what a peer has read of a store that isn't used, or is used although the sender is no
// member, the message is malformed or the store isn't known.
func TestNewsOfAStoreIsApplied(t *testing.T) {
	for name, c := range map[string]struct {
		from        string
		change      func(*storeNews)
		valid, used bool
	}{
		"of a member":      {from: "10.0.0.2:7", valid: true, used: true},
		"of another":       {from: "10.0.0.3:7", valid: true},
		"of another store": {from: "10.0.0.2:7", change: func(m *storeNews) { m.Store++ }, valid: true},
		"another salt":     {from: "10.0.0.2:7", change: func(m *storeNews) { m.Events[0].Salt = 1 }},
		"negative salt":    {from: "10.0.0.2:7", change: func(m *storeNews) { m.Events[0].Salt = -1 }},
		"negative tokens":  {from: "10.0.0.2:7", change: func(m *storeNews) { m.Events[0].Tokens = -1 }},
		"another epoch":    {from: "10.0.0.2:7", change: func(m *storeNews) { m.Epoch = 2 }, valid: true},
	} {
		t.Run(name, func(t *testing.T) {
			g, clock := newGateway(t)
			v := newFollowedStore(t, g)
			clock.advance(time.Second)
			data := encodedNews(t, c.from, c.change)
			require.True(t, isStoreNews(data))
			require.Equal(t, c.valid, g.receiveStoreNews(data))
			next, _ := v.Cursor()
			require.Equal(t, c.used, next == 7)
			require.Equal(t, c.used, v.UsedTokens() > 0)
			require.Equal(t, c.used, v.ReadSince(clock.read()-200*time.Millisecond))
		})
	}
}

// Guards against a reader that keeps what it has read to itself, and against an entry that reads a store
// although another one passes on what it has read.
func TestReaderPassesOnWhatItReads(t *testing.T) {
	store := &fakeStore{next: 6, events: []forward.StoreEvent{{Number: 6, Added: true, Part: forward.StoredPart{Salt: "g@m/1", ID: "a", Tokens: 100}}}}
	g, _ := newStoreGateway(t, store)
	newFollowedStore(t, g)
	f := g.state.storeFollowers[endpointHash("s")]
	f.passOn = true
	var sent [][]byte
	g.peerConn = nil // a message to an address that can't be parsed is not sent
	g.state.peerLoads.members = []string{g.memberID, "peer"}
	require.NoError(t, f.poll(context.Background()))
	for _, n := range f.reading.RecordEvents(forward.StoreEvents{Epoch: 1, Next: 6, ClockMs: 1}, 6, 0) {
		m := encodeNews(n, "10.0.0.2:7", "s")
		data, err := encodeMessage(&m)
		require.NoError(t, err)
		sent = append(sent, data)
	}
	require.Len(t, sent, 1)
	receiver, _ := newGateway(t)
	v := newFollowedStore(t, receiver)
	require.True(t, receiver.receiveStoreNews(sent[0]))
	require.Equal(t, 112, v.UsedTokens(), "the part is passed on with the next message too")
}
