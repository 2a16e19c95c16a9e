package claims

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settledKeeper returns a keeper whose key 1 has an outcome, the page that it read
// and the claim.
func settledKeeper(t *testing.T, now time.Time) (*Keeper, Page, Claim) {
	c := Claim{Key: keyOf(1), Attempt: "a", KeyTimeMs: now.UnixMilli(), ExpiresMs: now.Add(simWindow).UnixMilli()}
	early := outcome("a", "before the claim")
	rs := []Record{early, {Kind: KindClaim, Attempt: "a", Claim: c}, outcome("a", "x"), outcome("a", "second")}
	p := Page{Next: 1, Entries: []Entry{{TimeMs: now.UnixMilli(), Records: rs}}}
	k := NewKeeper(Options{GroupInterval: time.Millisecond, PollInterval: time.Hour, Window: simWindow})
	k.ReadDone(now, k.Tick(now).Read.Seq, p)
	return k, p, c
}

// TestReadOutcome guards against a repeat with another outcome than the recorded
// one, against more than one read for repeats that come together, and against a
// refusal that doesn't tell that the request ran.
func TestReadOutcome(t *testing.T) {
	now := time.UnixMilli(1e12)
	at := Position{Offset: 0, Index: 2}
	ask := func(t *testing.T) (*Keeper, Page) {
		k, p, c := settledKeeper(t, now)
		first := k.Claim(now, 1, c)
		require.Empty(t, first.Replies)
		require.Equal(t, []Position{at}, first.Outcomes)
		second := k.Lookup(now, 2, c.Key)
		require.Empty(t, second.Replies)
		require.Empty(t, second.Outcomes, "one read serves both")
		return k, p
	}
	requireBoth := func(t *testing.T, c Commands, want Result) []Reply {
		require.Len(t, c.Replies, 2)
		for i, r := range c.Replies {
			require.Equal(t, ReqID(i+1), r.Req)
			require.Equal(t, want, r.Result)
			require.True(t, r.Holding.Settled)
		}
		return c.Replies
	}
	t.Run("read", func(t *testing.T) {
		k, p := ask(t)
		for _, r := range requireBoth(t, k.OutcomeRead(now, at, p), ResultSettled) {
			require.Equal(t, "x", string(r.Holding.Outcome.Body))
		}
		require.Empty(t, k.OutcomeRead(now, at, p).Replies, "each request is answered once")
	})
	t.Run("failed", func(t *testing.T) {
		k, _ := ask(t)
		requireBoth(t, k.OutcomeFailed(now, at), ResultUnavailable)
		require.Equal(t, []Position{at}, k.Lookup(now, 3, keyOf(1)).Outcomes, "it is read again")
	})
	t.Run("trimmed", func(t *testing.T) {
		k, _ := ask(t)
		for _, r := range requireBoth(t, k.OutcomeRead(now, at, Page{First: 1, Next: 1}), ResultSettled) {
			require.Equal(t, &Outcome{}, r.Holding.Outcome, "its answer is not kept")
		}
	})
	t.Run("another record at the position", func(t *testing.T) {
		for _, rs := range [][]Record{nil, {rec(KindVoid, "v"), rec(KindVoid, "v"), outcome("b", "y")}, {rec(KindVoid, "v"), rec(KindVoid, "v"), rec(KindRelease, "a")}} {
			k, _ := ask(t)
			requireBoth(t, k.OutcomeRead(now, at, Page{Next: 1, Entries: []Entry{{Records: rs}}}), ResultUnavailable)
		}
	})
	t.Run("log unavailable", func(t *testing.T) {
		k, _, c := settledKeeper(t, now)
		k.ReadFailed(now, k.Tick(now.Add(time.Hour)).Read.Seq)
		out := k.Claim(now, 1, c)
		require.Empty(t, out.Outcomes)
		require.Equal(t, ResultUnavailable, out.Replies[0].Result)
		require.True(t, out.Replies[0].Holding.Settled)
	})
}

// TestNames guards against two attempt IDs that count as one, and against strings
// that are kept for ever.
func TestNames(t *testing.T) {
	n := newNames()
	texts := []string{"", "a", "018cc251-f400-7000-8000-00000000000a", "018CC251-F400-7000-8000-00000000000A", "018cc251f400700080000000000000000a",
		"{018cc251-f400-7000-8000-00000000000a}", "00000000-0000-0000-0000-000000000000", "00000000-0000-0000-0000-000000000001"}
	seen := map[attemptID]string{}
	for _, s := range texts {
		_, known := n.findAttempt(s)
		require.Equal(t, s == texts[2], known, s)
		id := n.addAttempt(s)
		require.NotContains(t, seen, id, s)
		seen[id] = s
		again, ok := n.findAttempt(s)
		require.True(t, ok)
		require.Equal(t, id, again)
		require.Equal(t, s, n.attemptText(id))
	}
	for id := range seen {
		n.dropAttempt(id)
	}
	require.Empty(t, n.byText)
	first, second := n.add("executor"), n.add("executor")
	require.Equal(t, first, second)
	n.drop(first)
	require.Equal(t, "executor", n.list[second].text, "still in use")
	n.drop(second)
	require.Empty(t, n.byText)
	require.Len(t, n.list, len(texts)-1, "numbers are used again")
}

// TestKeptClaimsAreForgotten guards against claims, voids and strings that stay
// in memory after the key window, and against numbers that are not used again.
func TestKeptClaimsAreForgotten(t *testing.T) {
	s := NewState()
	const rounds, window = 20, 25 * time.Hour
	for i := range int64(rounds) {
		hour := float64(i+1) * 8 * 24
		rs := []Record{claim("a", "k", hour, hour+24), claim("b", "k", hour, hour+24), rec(KindVoid, "v"), claim("c", "l", hour, hour+24), rec(KindRelease, "c")}
		at := time.Duration(hour * float64(time.Hour)).Milliseconds()
		s.Read(Page{First: 2 * i, Next: 2*i + 1, Entries: []Entry{{Offset: 2 * i, TimeMs: at, Records: rs}}})
		require.Equal(t, Valid, s.Standing("a"))
		require.Equal(t, Invalid, s.Standing("b"))
		require.Equal(t, Released, s.Standing("c"))
		s.Read(Page{First: 2*i + 1, Next: 2*i + 2, Entries: []Entry{{Offset: 2*i + 1, TimeMs: at + (maxKeyWindow + window/4).Milliseconds()}}})
	}
	require.Empty(t, s.holdings)
	require.Empty(t, s.attempts)
	require.Empty(t, s.names.byText)
	require.Empty(t, s.kept.expiry)
	require.EqualValues(t, 3, s.kept.used)
}

// TestKeptClaimIsSmall guards against growth of what a keeper holds of each claim
// of the key window, and against pointers, which the collector would follow.
func TestKeptClaimIsSmall(t *testing.T) {
	const limit = 120
	k := reflect.TypeFor[kept]()
	require.LessOrEqual(t, k.Size(), uintptr(limit))
	for i := range k.NumField() {
		switch f := k.Field(i); f.Type.Kind() {
		case reflect.Pointer, reflect.String, reflect.Slice, reflect.Map, reflect.Interface:
			t.Errorf("field %s holds a pointer", f.Name)
		}
	}
}
