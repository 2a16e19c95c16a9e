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

func startStore(t *testing.T, o store.Options) (*store.Store, string, *Client) {
	t.Helper()
	s := store.New(o)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, h.Listener.Addr().String(), New(DefaultOptions())
}

// Promise P1 (docs/promises.md): a block that was truncated, corrupted, freed or only
// partly written is never returned, and the store works again after the fault.
func TestFaultsAreMisses(t *testing.T) {
	block := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	for name, tc := range map[string]struct {
		faults store.Faults
		want   error
	}{
		"dead":                       {store.Faults{Dead: true}, ErrUnavailable},
		"killed in mid-read":         {store.Faults{CrashReads: 1}, ErrUnavailable},
		"flipped bit":                {store.Faults{FlipBits: 1}, ErrBlockChanged},
		"freed and reused in a read": {store.Faults{ReuseInReads: 1}, ErrBlockChanged},
	} {
		t.Run(name, func(t *testing.T) {
			s, addr, client := startStore(t, store.Options{MemoryBytes: 1 << 20})
			put := func() { _, err := client.Put(t.Context(), addr, prefix.Hash{1}, tier, block); require.NoError(t, err) }
			put()
			s.SetFaults(tc.faults)
			_, err := client.Get(t.Context(), addr, prefix.Hash{1})
			require.ErrorIs(t, err, tc.want)
			s.SetFaults(store.Faults{})
			put()
			got, err := client.Get(t.Context(), addr, prefix.Hash{1})
			require.NoError(t, err)
			require.Equal(t, block, got)
		})
	}
}

// Promise P1 (docs/promises.md): a block whose writer or store failed during the write
// never becomes visible, and its slot is freed. A full store rejects writes.
func TestWritesThatFailLeaveNothing(t *testing.T) {
	s, addr, c := startStore(t, store.Options{MemoryBytes: 64})
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
	require.Equal(t, []int{slot.Index}, []int{list[0].Index})
	u, err := c.Usage(t.Context(), addr)
	require.NoError(t, err)
	require.EqualValues(t, 64, u.MemoryUsed)
	stale := slot
	stale.Generation++
	require.ErrorIs(t, c.Free(t.Context(), addr, stale), ErrBlockChanged)
	require.NoError(t, c.Free(t.Context(), addr, slot))
}

// Promise P1 (docs/promises.md): the store commits only data that matches the writer's
// checksum, and frees a slot that its writer never commits.
func TestCommitChecksAndExpires(t *testing.T) {
	fakeNow := time.Unix(0, 0)
	s, addr, c := startStore(t, store.Options{MemoryBytes: 64, UncommittedTTL: time.Minute, Now: func() time.Time { return fakeNow }})
	slot, err := s.Allocate("00", 64, store.Memory)
	require.NoError(t, err)
	require.Error(t, s.Commit(slot.Number, slot.Generation, sha256.Sum256([]byte("other"))))
	_, err = c.Put(t.Context(), addr, prefix.Hash{1}, tier, make([]byte, 64))
	require.ErrorIs(t, err, ErrFull)
	fakeNow = fakeNow.Add(2 * time.Minute)
	_, err = c.Put(t.Context(), addr, prefix.Hash{1}, tier, make([]byte, 64))
	require.NoError(t, err)
}

// Guards against waiting past the call timeout for a store that accepts connections but
// never answers.
func TestUnresponsiveStore(t *testing.T) {
	release := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer h.Close()
	defer close(release)
	o := DefaultOptions()
	o.CallTimeout = time.Millisecond
	_, err := New(o).Get(context.Background(), h.Listener.Addr().String(), prefix.Hash{})
	require.ErrorIs(t, err, ErrUnavailable)
}
