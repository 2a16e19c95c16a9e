package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against prompts that are refused although they would meet their deadline, and against late
// ones that wouldn't.
func TestSchedule(t *testing.T) {
	const target, left = 2 * time.Second, 12 * time.Second
	choice := func(wait time.Duration) Choice { return Choice{ExpectedWait: wait, QueueWait: wait} }
	inTime, missed := choice(100*time.Millisecond), choice(time.Second)
	for name, c := range map[string]struct {
		c         Choice
		overShare bool
		late      *Choice
		outcome   Outcome
		retry     time.Duration
	}{
		"in time":                   {inTime, false, &missed, OnTime, 0},
		"in time, over the share":   {inTime, true, &missed, LateByShare, 0},
		"over the share, too late":  {inTime, true, &Choice{ExpectedWait: 7 * time.Second}, OnTime, 0},
		"over the share, off":       {inTime, true, nil, OnTime, 0},
		"missed":                    {missed, false, &Choice{ExpectedWait: 6 * time.Second}, Late, 0},
		"missed, over the share":    {missed, true, &Choice{ExpectedWait: 6 * time.Second}, Late, 0},
		"missed, more than half":    {missed, false, &Choice{ExpectedWait: 7 * time.Second}, Refused, time.Second},
		"missed, only suspect ones": {missed, false, &Choice{ExpectedWait: time.Second, Suspect: true}, Refused, 0},
		"missed, no endpoint":       {missed, false, &Choice{Index: -1}, Refused, time.Second},
		"missed, off":               {missed, false, nil, Refused, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var behindAll func() Choice
			if c.late != nil {
				behindAll = func() Choice { return *c.late }
			}
			chosen, outcome, retry := Schedule(c.c, target, left, c.overShare, behindAll)
			require.Equal(t, c.outcome, outcome)
			require.Equal(t, c.retry, retry)
			if outcome.Late() {
				require.Equal(t, *c.late, chosen)
			} else {
				require.Equal(t, c.c, chosen)
			}
		})
	}
}

// Guards against a customer that keeps more than its share, against shares kept for idle customers, and
// against urgent prompts that make room for less urgent ones.
func TestFairShare(t *testing.T) {
	const rank = 2
	for name, c := range map[string]struct {
		heavy, light int           // tokens placed
		shortRank    int           // of the prompt that was refused
		outcome      Outcome       // of that prompt
		later        time.Duration // after that prompt
		want         bool
	}{
		"over the share":       {3000, 1000, rank, Refused, 0, true},
		"late ones":            {3000, 1000, rank, Late, 0, true},
		"late by share only":   {3000, 1000, rank, LateByShare, 0, false},
		"more urgent ones":     {3000, 1000, 0, Refused, 0, true},
		"less urgent ones":     {3000, 1000, rank + 1, Refused, 0, false},
		"the same share":       {1000, 1000, rank, Refused, 0, false},
		"less than the share":  {500, 1000, rank, Refused, 0, false},
		"the shortage is over": {3000, 1000, rank, Refused, shortageTime, false},
	} {
		t.Run(name, func(t *testing.T) {
			var f FairShare
			now := time.Hour
			f.RecordPrompt("heavy", rank, c.heavy, OnTime, now)
			f.RecordPrompt("light", rank, c.light, OnTime, now)
			f.RecordPrompt("light", c.shortRank, 5000, c.outcome, now)
			require.Equal(t, c.want, f.Exceeds("heavy", rank, now+c.later))
		})
	}
	var f FairShare
	f.RecordPrompt("idle", rank, 1, OnTime, 0)
	f.RecordPrompt("heavy", rank, 3000, OnTime, 2*time.Second)
	f.RecordPrompt("heavy", rank, 3000, Refused, 2*time.Second)
	require.False(t, f.Exceeds("heavy", rank, 2*time.Second), "the only active customer has no smaller share than all")
	require.Len(t, f.customers, 1)
}
