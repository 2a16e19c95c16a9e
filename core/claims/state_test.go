package claims

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// group is one log entry of a test, at a stamp in hours.
type group struct {
	hour    float64
	records []Record
}

func claim(attempt, key string, keyHour, expiresHour float64) Record {
	ms := func(h float64) int64 { return int64(h * float64(time.Hour.Milliseconds())) }
	c := Claim{Key: KeyHash("c", key), Attempt: attempt, KeyTimeMs: ms(keyHour), ExpiresMs: ms(expiresHour)}
	return Record{Kind: KindClaim, Attempt: attempt, Claim: c}
}

func rec(k Kind, attempt string) Record { return Record{Kind: k, Attempt: attempt} }
func outcome(attempt, body string) Record {
	return Record{Kind: KindOutcome, Attempt: attempt, Outcome: Outcome{Body: []byte(body)}}
}

// TestRules guards against each rule of a valid claim being lost; holder is the
// attempt that holds key k at the end, body that of its outcome.
func TestRules(t *testing.T) {
	a, b := claim("a", "k", 1, 25), claim("b", "k", 1, 25)
	for name, c := range map[string]struct {
		log          []group
		holder, body string
	}{
		"first claim wins":                  {[]group{{1, []Record{a, b}}}, "a", ""},
		"void before claim":                 {[]group{{1, []Record{rec(KindVoid, "a"), a}}}, "", ""},
		"release before claim":              {[]group{{1, []Record{rec(KindRelease, "a"), a}}}, "", ""},
		"void after claim":                  {[]group{{1, []Record{a, rec(KindVoid, "a"), b, outcome("a", "x")}}}, "a", "x"},
		"release frees the key":             {[]group{{1, []Record{a, rec(KindRelease, "a"), b}}}, "b", ""},
		"copy of a released claim":          {[]group{{1, []Record{a, rec(KindRelease, "a")}}, {2, []Record{a}}}, "", ""},
		"copy of a refused claim":           {[]group{{1, []Record{a, b, rec(KindRelease, "a"), b}}}, "", ""},
		"release by another attempt":        {[]group{{1, []Record{a, b, rec(KindRelease, "b")}}}, "a", ""},
		"release after the outcome":         {[]group{{1, []Record{a, outcome("a", "x"), rec(KindRelease, "a"), b}}}, "a", "x"},
		"first outcome wins":                {[]group{{1, []Record{a, outcome("a", "x"), outcome("a", "y")}}}, "a", "x"},
		"outcome of a refused claim":        {[]group{{1, []Record{a, b, outcome("b", "y")}}}, "a", ""},
		"claim stamped after its expiry":    {[]group{{25.1, []Record{a}}}, "", ""},
		"claim stamped at its expiry":       {[]group{{25, []Record{a}}}, "a", ""},
		"key too far ahead of the stamp":    {[]group{{0.9, []Record{a}}}, "", ""},
		"forgotten key under longer window": {[]group{{1, []Record{a}}, {26, []Record{claim("b", "k", 1, 49)}}}, "", ""},
		"younger key after forgetting":      {[]group{{1, []Record{claim("o", "old", 1, 25)}}, {26, []Record{claim("b", "k", 2, 26)}}}, "b", ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			p := Page{Next: int64(len(c.log))}
			for i, g := range c.log {
				p.Entries = append(p.Entries, Entry{Offset: int64(i), TimeMs: int64(g.hour * float64(time.Hour.Milliseconds())), Records: g.records})
			}
			require.True(t, s.Read(p))
			h, held := s.Holding(KeyHash("c", "k"))
			require.Equal(t, c.holder, h.Claim.Attempt)
			require.Equal(t, c.holder != "", held)
			require.Equal(t, c.body != "", h.Settled)
			if c.body != "" {
				o, ok := p.outcome(h.At, c.holder)
				require.True(t, ok)
				require.Equal(t, c.body, string(o.Body))
			}
		})
	}
}

// TestPages guards against entries that are skipped, and against a floor or a
// void that outlives the log's retention or goes back.
func TestPages(t *testing.T) {
	r := Hash{1}
	floorAt := func(o int64, v uint64) Entry {
		return Entry{Offset: o, Records: []Record{{Kind: KindFloor, Resource: r, Version: v}, rec(KindVoid, "v")}}
	}
	s := NewState()
	require.True(t, s.Read(Page{Next: 9, Entries: []Entry{floorAt(0, 5), floorAt(1, 4), floorAt(3, 9)}}))
	require.EqualValues(t, 2, s.Next(), "offset 2 is missing")
	require.EqualValues(t, 5, s.Floor(r))
	require.Equal(t, Voided, s.Standing("v"))
	require.True(t, s.Read(Page{First: 2, Next: 2}))
	require.Zero(t, s.Floor(r))
	require.Equal(t, Voided, s.Standing("v"), "a claim of the attempt may still come")
	late := Entry{Offset: 2, TimeMs: (8 * 24 * time.Hour).Milliseconds()}
	require.True(t, s.Read(Page{First: 2, Next: 3, Entries: []Entry{late}}))
	require.Equal(t, Unseen, s.Standing("v"))
	require.False(t, s.Read(Page{First: 7, Next: 9, Entries: []Entry{floorAt(7, 9)}}), "offsets 2 to 6 were trimmed unread")
	require.EqualValues(t, 7, s.Next())
	require.Zero(t, s.Size())
	require.False(t, s.Covers(time.Now().UnixMilli()), "nothing was read since")
}
