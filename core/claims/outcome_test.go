package claims

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settledKeeper returns a Keeper in whose state key 1 is settled, the page that it
// read, and the claim.
func settledKeeper(t *testing.T, now time.Time) (*Keeper, Page, Claim) {
	c := Claim{Key: keyOf(1), Attempt: "a", KeyTimeMs: now.UnixMilli(), ExpiresMs: now.Add(simWindow).UnixMilli()}
	early := outcomeRecord("a", "before the claim")
	rs := []Record{early, {Kind: KindClaim, Attempt: "a", Claim: c}, outcomeRecord("a", "x"), outcomeRecord("a", "second")}
	p := Page{NextOffset: 1, Entries: []Entry{{TimeMs: now.UnixMilli(), Records: rs}}}
	k := NewKeeper(Options{GroupInterval: time.Millisecond, PollInterval: time.Hour, KeyWindow: simWindow})
	k.ReadDone(now, k.Tick(now).Read.Seq, p)
	return k, p, c
}

// TestReadOutcome guards against a repeated request that gets another outcome than
// the recorded one, against several reads for concurrent repeats, and against an
// unavailable reply that hides that the request ran.
func TestReadOutcome(t *testing.T) {
	now := time.UnixMilli(1e12)
	at := Position{Offset: 0, Index: 2}
	ask := func(t *testing.T) (*Keeper, Page) {
		k, p, c := settledKeeper(t, now)
		first := k.Claim(now, 1, c)
		require.Empty(t, first.Replies)
		require.Equal(t, []Position{at}, first.OutcomeReads)
		second := k.Lookup(now, 2, c.Key)
		require.Empty(t, second.Replies)
		require.Empty(t, second.OutcomeReads, "both requests share one read")
		return k, p
	}
	requireBoth := func(t *testing.T, c Commands, want Result) []Reply {
		require.Len(t, c.Replies, 2)
		for i, r := range c.Replies {
			require.Equal(t, ReqID(i+1), r.RequestID)
			require.Equal(t, want, r.Result)
			require.True(t, r.Holder.Settled)
		}
		return c.Replies
	}
	t.Run("read", func(t *testing.T) {
		k, p := ask(t)
		for _, r := range requireBoth(t, k.OutcomeReadDone(now, at, p), ResultSettled) {
			require.Equal(t, "x", string(r.Holder.Outcome.Body))
		}
		require.Empty(t, k.OutcomeReadDone(now, at, p).Replies, "each request is answered once")
	})
	t.Run("failed", func(t *testing.T) {
		k, _ := ask(t)
		requireBoth(t, k.OutcomeReadFailed(now, at), ResultUnavailable)
		require.Equal(t, []Position{at}, k.Lookup(now, 3, keyOf(1)).OutcomeReads, "a new request starts a new read")
	})
	t.Run("trimmed", func(t *testing.T) {
		k, _ := ask(t)
		for _, r := range requireBoth(t, k.OutcomeReadDone(now, at, Page{FirstOffset: 1, NextOffset: 1}), ResultSettled) {
			require.Equal(t, &Outcome{}, r.Holder.Outcome, "the outcome is no longer in the log")
		}
	})
	t.Run("another record at the position", func(t *testing.T) {
		for _, rs := range [][]Record{nil, {attemptRecord(KindVoid, "v"), attemptRecord(KindVoid, "v"), outcomeRecord("b", "y")}, {attemptRecord(KindVoid, "v"), attemptRecord(KindVoid, "v"), attemptRecord(KindRelease, "a")}} {
			k, _ := ask(t)
			requireBoth(t, k.OutcomeReadDone(now, at, Page{NextOffset: 1, Entries: []Entry{{Records: rs}}}), ResultUnavailable)
		}
	})
	t.Run("log unavailable", func(t *testing.T) {
		k, _, c := settledKeeper(t, now)
		k.ReadFailed(now, k.Tick(now.Add(time.Hour)).Read.Seq)
		out := k.Claim(now, 1, c)
		require.Empty(t, out.OutcomeReads)
		require.Equal(t, ResultUnavailable, out.Replies[0].Result)
		require.True(t, out.Replies[0].Holder.Settled)
	})
}

// TestStringTable guards against two attempt IDs with one compact form, and against
// strings that are never removed.
func TestStringTable(t *testing.T) {
	n := newStringTable()
	texts := []string{"", "a", "018cc251-f400-7000-8000-00000000000a", "018CC251-F400-7000-8000-00000000000A", "018cc251f400700080000000000000000a",
		"{018cc251-f400-7000-8000-00000000000a}", "00000000-0000-0000-0000-000000000000", "00000000-0000-0000-0000-000000000001"}
	seen := map[attemptID]string{}
	for _, s := range texts {
		_, known := n.findAttempt(s)
		require.Equal(t, s == texts[2], known, s)
		id := n.internAttempt(s)
		require.NotContains(t, seen, id, s)
		seen[id] = s
		again, ok := n.findAttempt(s)
		require.True(t, ok)
		require.Equal(t, id, again)
		require.Equal(t, s, n.attemptText(id))
	}
	for id := range seen {
		n.releaseAttempt(id)
	}
	require.Empty(t, n.indexes)
	first, second := n.intern("executor"), n.intern("executor")
	require.Equal(t, first, second)
	n.release(first)
	require.Equal(t, "executor", n.entries[second].text, "still in use")
	n.release(second)
	require.Empty(t, n.indexes)
	require.Len(t, n.entries, len(texts)-1, "free indexes are reused")
}

// TestExpiredClaimsAreEvicted guards against claims, voids and strings that stay
// in memory after the key window, and against indexes that are not reused.
func TestExpiredClaimsAreEvicted(t *testing.T) {
	s := NewState()
	const rounds, window = 20, 25 * time.Hour
	for i := range int64(rounds) {
		hour := float64(i+1) * 8 * 24
		rs := []Record{claimRecord("a", "k", hour, hour+24), claimRecord("b", "k", hour, hour+24), attemptRecord(KindVoid, "v"), claimRecord("c", "l", hour, hour+24), attemptRecord(KindRelease, "c")}
		at := time.Duration(hour * float64(time.Hour)).Milliseconds()
		s.ApplyPage(Page{FirstOffset: 2 * i, NextOffset: 2*i + 1, Entries: []Entry{{Offset: 2 * i, TimeMs: at, Records: rs}}})
		require.Equal(t, Valid, s.ClaimStatus("a"))
		require.Equal(t, Invalid, s.ClaimStatus("b"))
		require.Equal(t, Released, s.ClaimStatus("c"))
		s.ApplyPage(Page{FirstOffset: 2*i + 1, NextOffset: 2*i + 2, Entries: []Entry{{Offset: 2*i + 1, TimeMs: at + (maxKeyWindow + window/4).Milliseconds()}}})
	}
	require.Empty(t, s.holders)
	require.Empty(t, s.attempts)
	require.Empty(t, s.strings.indexes)
	require.Empty(t, s.claims.expiry)
	require.EqualValues(t, 3, s.claims.used)
}

// TestStoredClaimSize guards against growth of the memory for each claim in the key
// window, and against pointers, which the garbage collector would have to follow.
func TestStoredClaimSize(t *testing.T) {
	const limit = 120
	storedType := reflect.TypeFor[storedClaim]()
	require.LessOrEqual(t, storedType.Size(), uintptr(limit))
	for i := range storedType.NumField() {
		switch f := storedType.Field(i); f.Type.Kind() {
		case reflect.Pointer, reflect.String, reflect.Slice, reflect.Map, reflect.Interface:
			t.Errorf("field %s holds a pointer", f.Name)
		}
	}
}
