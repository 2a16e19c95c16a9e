package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a memory of peers' updates that grows without bound, and against one that forgets
// an update within the handover pause once it is full.
func TestPeerUpdatesAreBounded(t *testing.T) {
	p, pause := NewPeerUpdates(), 3*time.Second
	_, heard := p.Last(1)
	require.False(t, heard)
	now := time.Hour
	for i := range uint32(maxPeerUpdates) {
		p.Record(i, pause, now)
	}
	p.Record(maxPeerUpdates, pause, now+time.Second)
	require.Len(t, p.reported, maxPeerUpdates)
	for _, endpoint := range []uint32{0, maxPeerUpdates, maxPeerUpdates + 1} {
		at, heard := p.Last(endpoint)
		require.True(t, heard)
		require.Equal(t, now+time.Second, at, "what found no room counts for every endpoint")
	}
	p.Record(0, pause, now+2*time.Second)
	at, _ := p.Last(0)
	require.Equal(t, now+2*time.Second, at)

	now += time.Minute
	p.Record(maxPeerUpdates, pause, now)
	require.Len(t, p.reported, 1, "old updates make room")
	at, _ = p.Last(maxPeerUpdates)
	require.Equal(t, now, at)
}
