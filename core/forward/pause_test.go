package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an endpoint that leaves and gets requests again by a later heartbeat, a record
// without a start or an older copy of the log, and against one that gets none after a new start.
func TestStatementsHoldForOneStart(t *testing.T) {
	at := func(started int64) *Endpoint { return &Endpoint{ID: "e", StartedUnixMs: started} }
	for name, c := range map[string]struct {
		said, listed int64
		holds        bool
	}{
		"the same start":              {5, 5, true},
		"a later start":               {5, 6, false},
		"an earlier start":            {5, 4, true},
		"a record without a start":    {5, 0, true},
		"the start wasn't known":      {0, 5, true},
		"no start is ever known":      {0, 0, true},
		"a later one by one ms":       {5, 6, false},
		"a start before the Unix era": {-5, -6, true},
	} {
		var s Statements
		require.True(t, s.RecordLeaving(at(c.said), time.Second), name)
		require.False(t, s.RecordLeaving(at(c.said), time.Second), name)
		require.Equal(t, 3*time.Second, s.RecordPause(at(c.said), 2*time.Second, time.Second), name)
		require.Equal(t, c.holds, s.Leaving(at(c.listed)), name)
		require.Equal(t, c.holds, s.PausedUntil(at(c.listed), time.Second) == 3*time.Second, name)
		require.False(t, s.Leaving(&Endpoint{ID: "other", StartedUnixMs: c.said}), name)
	}
}

// Guards against a late answer of an earlier start that undoes what the present one has said, or
// counts for it.
func TestAnswerOfAnEarlierStart(t *testing.T) {
	var s Statements
	now, old := &Endpoint{ID: "e", StartedUnixMs: 6}, &Endpoint{ID: "e", StartedUnixMs: 5}
	s.RecordPause(now, time.Second, time.Second)
	require.False(t, s.RecordLeaving(old, time.Second))
	require.Zero(t, s.RecordPause(old, time.Minute, time.Second))
	require.False(t, s.Leaving(now))
	require.Equal(t, 2*time.Second, s.PausedUntil(now, time.Second))
	s = Statements{}
	s.RecordLeaving(old, 0)
	s.RecordPause(now, time.Second, 0)
	require.False(t, s.Leaving(now))
}

// Guards against a pause that a later answer shortens or that lasts for ever.
func TestPauseEnds(t *testing.T) {
	var s Statements
	e := &Endpoint{ID: "e", StartedUnixMs: 1}
	s.RecordPause(e, 5*time.Second, 0)
	require.Equal(t, 5*time.Second, s.RecordPause(e, time.Second, time.Second))
	require.NotZero(t, s.PausedUntil(e, 5*time.Second-1))
	require.Zero(t, s.PausedUntil(e, 5*time.Second))
	require.Equal(t, 6*time.Second+MaxPause, s.RecordPause(e, 1<<62, 6*time.Second))
	require.Zero(t, s.PausedUntil(e, 6*time.Second+MaxPause))
}

// Guards against statements that are kept without bound.
func TestStatementsAreBounded(t *testing.T) {
	var s Statements
	for i := range maxStatements + 10 {
		s.RecordLeaving(&Endpoint{ID: fmt.Sprint(i), StartedUnixMs: 1}, time.Duration(i))
	}
	require.Len(t, s.byID, maxStatements)
	require.False(t, s.Leaving(&Endpoint{ID: "9", StartedUnixMs: 1}))
	require.True(t, s.Leaving(&Endpoint{ID: "10", StartedUnixMs: 1}))
}

// Guards against a request that is placed on a paused endpoint as a last resort.
func TestPausedCandidateIsNotChosen(t *testing.T) {
	cs := []Candidate{{Endpoint: Endpoint{ID: "a"}, Usable: true, PausedUntil: 2 * time.Second}, {Endpoint: Endpoint{ID: "b"}}}
	require.Equal(t, 1, Choose(PlacementRequest{Now: time.Second}, cs).Index)
	require.Equal(t, -1, Choose(PlacementRequest{Now: time.Second}, cs[:1]).Index)
	require.Equal(t, 0, Choose(PlacementRequest{Now: 2 * time.Second}, cs).Index)
}

// Guards against callers that are told to wait for a pause though another endpoint can take their
// next request, or that are told to come back before the first pause ends.
func TestPauseEnd(t *testing.T) {
	paused := func(id string, until time.Duration) Candidate {
		return Candidate{Endpoint: Endpoint{ID: id, Slots: 4}, PausedUntil: until}
	}
	cs := []Candidate{paused("a", 5*time.Second), paused("b", 3*time.Second), paused("c", 9*time.Second)}
	end, slots, ok := PauseEnd(cs, nil, time.Second)
	require.True(t, ok)
	require.Equal(t, 3*time.Second, end)
	require.Equal(t, 8, slots)
	_, _, ok = PauseEnd(append(cs, Candidate{Endpoint: Endpoint{ID: "d"}}), nil, time.Second)
	require.False(t, ok)
	other := Candidate{Endpoint: Endpoint{ID: "d"}, Excluded: true}
	_, _, ok = PauseEnd(append(cs, other), nil, time.Second)
	require.True(t, ok, "the endpoint may not take the request")
	_, _, ok = PauseEnd(append(cs, other), map[string]bool{"d": true}, time.Second)
	require.False(t, ok, "the endpoint may take the caller's next request")
	_, _, ok = PauseEnd(nil, nil, time.Second)
	require.False(t, ok)
}

// Guards against refused callers that come back all at once, or too soon.
func TestRefusedCallersComeBackAtDifferentTimes(t *testing.T) {
	var q ReturnQueue
	rng := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	const now, earliest = 10 * time.Second, 40 * time.Second
	for range 1000 {
		d := q.Refuse(earliest, 4, now, rng)
		require.GreaterOrEqual(t, now+d, earliest)
		require.LessOrEqual(t, now+d, earliest+maxReturnSpread)
		require.False(t, seen[d], "%s is given twice", d)
		seen[d] = true
	}
}
