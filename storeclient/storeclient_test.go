package storeclient

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/prefix"
	"github.com/galenaweir/galenaweir/standin/store"
)

const tier = "memory"

func start(t *testing.T, o store.Options) (*store.Store, string, *Client) {
	t.Helper()
	s := store.New(o)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, h.Listener.Addr().String(), New(DefaultOptions())
}

// P1: a block that was cut, damaged, freed or only partly written is never
// returned, and works again when the fault is over.
func TestFaultsAreMisses(t *testing.T) {
	block := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	for name, c := range map[string]struct {
		faults store.Faults
		want   error
	}{
		"dead":                       {store.Faults{Dead: true}, ErrUnavailable},
		"killed in mid-read":         {store.Faults{CrashReads: 1}, ErrUnavailable},
		"flipped bit":                {store.Faults{FlipBits: 1}, ErrChanged},
		"freed and reused in a read": {store.Faults{ReuseInReads: 1}, ErrChanged},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr, c2 := start(t, store.Options{MemoryBytes: 1 << 20})
			put := func() { _, err := c2.Put(t.Context(), addr, prefix.Hash{1}, tier, block); require.NoError(t, err) }
			put()
			s.SetFaults(c.faults)
			_, err := c2.Get(t.Context(), addr, prefix.Hash{1})
			require.ErrorIs(t, err, c.want)
			s.SetFaults(store.Faults{})
			put()
			got, err := c2.Get(t.Context(), addr, prefix.Hash{1})
			require.NoError(t, err)
			require.Equal(t, block, got)
		})
	}
}

// P1: a block whose writer or store died in mid-write is never visible, and its
// place is given back; a full store refuses.
func TestWritesThatFailLeaveNothing(t *testing.T) {
	s, addr, c := start(t, store.Options{MemoryBytes: 64})
	block := make([]byte, 64)
	s.SetFaults(store.Faults{CrashWrites: 1})
	_, err := c.Put(t.Context(), addr, prefix.Hash{1}, tier, block)
	require.ErrorIs(t, err, ErrUnavailable)
	_, err = c.Get(t.Context(), addr, prefix.Hash{1})
	require.ErrorIs(t, err, ErrMiss)
	require.Zero(t, s.Usage().MemoryUsed)
	slot, err := c.Put(t.Context(), addr, prefix.Hash{1}, tier, block)
	require.NoError(t, err)
	_, err = c.Put(t.Context(), addr, prefix.Hash{2}, tier, block)
	require.ErrorIs(t, err, ErrFull)
	list, err := c.List(t.Context(), addr, "01")
	require.NoError(t, err)
	require.Equal(t, []int{slot.Slot}, []int{list[0].Slot})
	u, err := c.Usage(t.Context(), addr)
	require.NoError(t, err)
	require.EqualValues(t, 64, u.MemoryUsed)
	stale := slot
	stale.Generation++
	require.ErrorIs(t, c.Free(t.Context(), addr, stale), ErrChanged)
	require.NoError(t, c.Free(t.Context(), addr, slot))
}

// P1: the store commits only data with the writer's checksum, and frees a slot
// whose writer never came back.
func TestCommitChecksAndExpires(t *testing.T) {
	now := time.Unix(0, 0)
	s, addr, c := start(t, store.Options{MemoryBytes: 64, UncommittedTTL: time.Minute, Now: func() time.Time { return now }})
	x, err := s.Allocate("00", 64, store.Memory)
	require.NoError(t, err)
	require.Error(t, s.Commit(x.Slot, x.Generation, sha256.Sum256([]byte("other"))))
	_, err = c.Put(t.Context(), addr, prefix.Hash{1}, tier, make([]byte, 64))
	require.ErrorIs(t, err, ErrFull)
	now = now.Add(2 * time.Minute)
	_, err = c.Put(t.Context(), addr, prefix.Hash{1}, tier, make([]byte, 64))
	require.NoError(t, err)
}

// A store that accepts connections but never answers does not hold the caller
// beyond its deadline.
func TestSilentStore(t *testing.T) {
	release := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer h.Close()
	defer close(release)
	o := DefaultOptions()
	o.CallTimeout = time.Millisecond
	_, err := New(o).Get(context.Background(), h.Listener.Addr().String(), prefix.Hash{})
	require.ErrorIs(t, err, ErrUnavailable)
}
