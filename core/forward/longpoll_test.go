package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a proof of freshness that is later than what the log's answer shows: a removed key
// would be accepted after its bound.
func TestLongPollProof(t *testing.T) {
	const started, wait = time.Hour, 2 * time.Second
	empty := LongPoll{Started: started, Ended: started + wait + 30*time.Millisecond, Wait: wait, Empty: true}
	for name, c := range map[string]struct {
		change func(*LongPoll)
		want   time.Duration
	}{
		"empty after the wait":       {func(*LongPoll) {}, started + wait},
		"exactly the wait":           {func(p *LongPoll) { p.Ended = started + wait }, started + wait},
		"late answer":                {func(p *LongPoll) { p.Ended += time.Minute }, started + wait},
		"records":                    {func(p *LongPoll) { p.Empty = false }, started},
		"sooner than the wait":       {func(p *LongPoll) { p.Ended = started + wait - 1 }, started},
		"further records at the log": {func(p *LongPoll) { p.Partial = true }, started},
		"suspended meanwhile":        {func(p *LongPoll) { p.Suspended = true }, started},
		"no wait":                    {func(p *LongPoll) { p.Wait = 0 }, started},
		"negative wait":              {func(p *LongPoll) { p.Wait = -wait }, started},
	} {
		p := empty
		c.change(&p)
		require.Equal(t, c.want, p.Proof(), name)
	}
}

// Guards against an age that reaches two waits after a read that records ended, and against a wait
// that is proved but was not stated to the log in full.
func TestNextPollWait(t *testing.T) {
	const wait = 2 * time.Second
	for name, c := range map[string]struct{ age, want time.Duration }{
		"fresh":               {0, wait},
		"transfer":            {30 * time.Millisecond, 1970 * time.Millisecond},
		"records at the end":  {1999500 * time.Microsecond, 0},
		"part of millisecond": {300 * time.Microsecond, 1999 * time.Millisecond},
		"older than the wait": {time.Minute, 0},
		"proof in the future": {-time.Second, wait},
	} {
		require.Equal(t, c.want, NextPollWait(wait, c.age), name)
	}
}
