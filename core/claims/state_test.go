package claims

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// logEntry is a log entry in a test; hour is its append time.
type logEntry struct {
	hour    float64
	records []Record
}

func claimRecord(attempt, key string, keyHour, expiresHour float64) Record {
	ms := func(h float64) int64 { return int64(h * float64(time.Hour.Milliseconds())) }
	c := Claim{Key: KeyHash("c", key), Attempt: attempt, KeyTimeMs: ms(keyHour), ExpiresMs: ms(expiresHour)}
	return Record{Kind: KindClaim, Attempt: attempt, Claim: c}
}

func attemptRecord(k RecordKind, attempt string) Record { return Record{Kind: k, Attempt: attempt} }
func outcomeRecord(attempt, body string) Record {
	return Record{Kind: KindOutcome, Attempt: attempt, Outcome: Outcome{Body: []byte(body)}}
}

// TestClaimRules guards against violations of the rules for valid claims. holder is
// the attempt that holds key k at the end, body the body of its outcome.
func TestClaimRules(t *testing.T) {
	a, b := claimRecord("a", "k", 1, 25), claimRecord("b", "k", 1, 25)
	for name, c := range map[string]struct {
		log          []logEntry
		holder, body string
	}{
		"first claim wins":                 {[]logEntry{{1, []Record{a, b}}}, "a", ""},
		"void before claim":                {[]logEntry{{1, []Record{attemptRecord(KindVoid, "a"), a}}}, "", ""},
		"release before claim":             {[]logEntry{{1, []Record{attemptRecord(KindRelease, "a"), a}}}, "", ""},
		"void after claim":                 {[]logEntry{{1, []Record{a, attemptRecord(KindVoid, "a"), b, outcomeRecord("a", "x")}}}, "a", "x"},
		"release frees the key":            {[]logEntry{{1, []Record{a, attemptRecord(KindRelease, "a"), b}}}, "b", ""},
		"copy of a released claim":         {[]logEntry{{1, []Record{a, attemptRecord(KindRelease, "a")}}, {2, []Record{a}}}, "", ""},
		"copy of an invalid claim":         {[]logEntry{{1, []Record{a, b, attemptRecord(KindRelease, "a"), b}}}, "", ""},
		"release by another attempt":       {[]logEntry{{1, []Record{a, b, attemptRecord(KindRelease, "b")}}}, "a", ""},
		"release after the outcome":        {[]logEntry{{1, []Record{a, outcomeRecord("a", "x"), attemptRecord(KindRelease, "a"), b}}}, "a", "x"},
		"first outcome wins":               {[]logEntry{{1, []Record{a, outcomeRecord("a", "x"), outcomeRecord("a", "y")}}}, "a", "x"},
		"outcome of an invalid claim":      {[]logEntry{{1, []Record{a, b, outcomeRecord("b", "y")}}}, "a", ""},
		"claim appended after its expiry":  {[]logEntry{{25.1, []Record{a}}}, "", ""},
		"claim appended at its expiry":     {[]logEntry{{25, []Record{a}}}, "a", ""},
		"key time too far in the future":   {[]logEntry{{0.9, []Record{a}}}, "", ""},
		"evicted key with a longer window": {[]logEntry{{1, []Record{a}}, {26, []Record{claimRecord("b", "k", 1, 49)}}}, "", ""},
		"newer key after an eviction":      {[]logEntry{{1, []Record{claimRecord("o", "old", 1, 25)}}, {26, []Record{claimRecord("b", "k", 2, 26)}}}, "b", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			p := Page{NextOffset: int64(len(c.log))}
			for i, g := range c.log {
				p.Entries = append(p.Entries, Entry{Offset: int64(i), TimeMs: int64(g.hour * float64(time.Hour.Milliseconds())), Records: g.records})
			}
			require.True(t, s.ApplyPage(p))
			h, held := s.Holder(KeyHash("c", "k"))
			require.Equal(t, c.holder, h.Claim.Attempt)
			require.Equal(t, c.holder != "", held)
			require.Equal(t, c.body != "", h.Settled)
			if c.body != "" {
				o, ok := p.outcomeAt(h.OutcomePosition, c.holder)
				require.True(t, ok)
				require.Equal(t, c.body, string(o.Body))
			}
		})
	}
}

// TestStateRead guards against entries that are skipped, against a floor that is
// lowered, and against floors and voids that are never evicted.
func TestStateRead(t *testing.T) {
	r := Hash{1}
	floorAt := func(o int64, v uint64) Entry {
		return Entry{Offset: o, Records: []Record{{Kind: KindFloor, Resource: r, Version: v}, attemptRecord(KindVoid, "v")}}
	}
	s := NewState()
	require.True(t, s.ApplyPage(Page{NextOffset: 9, Entries: []Entry{floorAt(0, 5), floorAt(1, 4), floorAt(3, 9)}}))
	require.EqualValues(t, 2, s.NextOffset(), "offset 2 is missing")
	require.EqualValues(t, 5, s.Floor(r))
	require.Equal(t, Voided, s.ClaimStatus("v"))
	require.True(t, s.ApplyPage(Page{FirstOffset: 2, NextOffset: 2}))
	require.Zero(t, s.Floor(r))
	require.Equal(t, Voided, s.ClaimStatus("v"), "a claim of the attempt may still be appended")
	// A claim appended at this time would be outside the longest key window.
	late := Entry{Offset: 2, TimeMs: (8 * 24 * time.Hour).Milliseconds()}
	require.True(t, s.ApplyPage(Page{FirstOffset: 2, NextOffset: 3, Entries: []Entry{late}}))
	require.Equal(t, Unseen, s.ClaimStatus("v"))
	require.False(t, s.ApplyPage(Page{FirstOffset: 7, NextOffset: 9, Entries: []Entry{floorAt(7, 9)}}), "offsets 2 to 6 were trimmed unread")
	require.EqualValues(t, 7, s.NextOffset())
	require.Zero(t, s.HeldKeyCount())
	require.False(t, s.CoversKeyTime(time.Now().UnixMilli()), "no entry was read since the reset")
}
