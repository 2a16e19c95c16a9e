package claims

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKeeperReplies guards against replies based on a read that began before the
// request, on a state that was reset, or on a key outside its window.
func TestKeeperReplies(t *testing.T) {
	now := time.UnixMilli(1e12)
	r := Hash{1}
	floors := func(o int64, v ...uint64) (es []Entry) {
		for i, x := range v {
			es = append(es, Entry{Offset: o + int64(i), TimeMs: now.UnixMilli(), Records: []Record{{Kind: KindFloor, Resource: r, Version: x}}})
		}
		return es
	}
	start := func(es ...Entry) *Keeper {
		k := NewKeeper(Options{GroupInterval: time.Millisecond, PollInterval: time.Hour, KeyWindow: simWindow})
		k.ReadDone(now, k.Tick(now).Read.Seq, Page{NextOffset: int64(len(es)), Entries: es})
		return k
	}
	c := Claim{Key: keyOf(1), Attempt: "a", KeyTimeMs: now.UnixMilli(), ExpiresMs: now.Add(simWindow).UnixMilli()}
	t.Run("key outside its window", func(t *testing.T) {
		old := c
		old.KeyTimeMs -= simWindow.Milliseconds() + 1
		require.Equal(t, ResultExpired, start().Claim(now, 1, old).Replies[0].Result)
	})
	t.Run("read that began before the request", func(t *testing.T) {
		k := start()
		firstRead := k.Lookup(now, 1, keyOf(1)).Read
		require.Empty(t, k.Lookup(now, 2, keyOf(1)).Replies)
		require.Empty(t, k.ObserveVersion(now, 3, r, 0).Replies)
		done := k.ReadDone(now, firstRead.Seq, Page{})
		require.Equal(t, []Reply{{RequestID: 1, Result: ResultNotHeld}}, done.Replies)
		require.Len(t, k.ReadDone(now, done.Read.Seq, Page{}).Replies, 2)
	})
	t.Run("higher floor appended by another writer", func(t *testing.T) {
		k := start()
		read := k.ObserveVersion(now, 1, r, 5).Read
		a := k.ReadDone(now, read.Seq, Page{}).Append
		read = k.AppendDone(now, a.Seq, AppendSucceeded, 1).Read
		one := k.ReadDone(now, read.Seq, Page{NextOffset: 1, Entries: floors(0, 5)})
		require.Empty(t, one.Replies, "the request's own record has not been read yet")
		require.Equal(t, ResultStale, k.ReadDone(now, one.Read.Seq, Page{NextOffset: 3, Entries: floors(1, 5, 6)}).Replies[0].Result)
	})
	t.Run("floor in memory", func(t *testing.T) {
		k := start()
		read := k.ObserveVersion(now, 1, r, 5).Read
		require.Equal(t, ResultMemoryOnly, k.ReadFailed(now, read.Seq).Replies[0].Result)
		require.Equal(t, ResultStale, k.ObserveVersion(now, 2, r, 4).Replies[0].Result)
	})
	t.Run("position trimmed", func(t *testing.T) {
		k := start()
		a := k.Claim(now, 1, c).Append
		read := k.AppendDone(now, a.Seq, AppendSucceeded, 0).Read
		done := k.ReadDone(now, read.Seq, Page{FirstOffset: 4, NextOffset: 4})
		require.Equal(t, []Reply{{RequestID: 1, Result: ResultUnavailable}}, done.Replies)
		later := k.ReadDone(now, done.Read.Seq, Page{FirstOffset: 4, NextOffset: 4})
		require.Equal(t, KindVoid, k.Tick(now.Add(time.Second)).Append.Records[0].Kind, later)
	})
}
