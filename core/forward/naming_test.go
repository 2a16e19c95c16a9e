package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against older weights that are used past their bound, because a naming time is
// taken for later than it can be, and against losing them early when the time is known.
func TestElapsedSinceIsAnUpperBound(t *testing.T) {
	stamp := func(clockMs float64, unixMs int64) Stamp { return Stamp{clockMs, unixMs} }
	for name, c := range map[string]struct {
		now, then Stamp
		want      time.Duration
	}{
		"endpoint clock":                  {stamp(9000, 50_400), stamp(4000, 45_000), 5 * time.Second},
		"time of day only":                {stamp(0, 50_000), stamp(4000, 45_000), 5*time.Second + maxWallClockError},
		"time of day went back":           {stamp(0, 40_000), stamp(0, 45_000), 0},
		"endpoint clock began anew":       {stamp(100, 50_000), stamp(4000, 45_000), 5*time.Second + maxWallClockError},
		"endpoint clock of another store": {stamp(990_000, 50_000), stamp(4000, 45_000), 5*time.Second + maxWallClockError},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.now.ElapsedSince(c.then)) })
	}
	require.Equal(t, 5*time.Second, stamp(9000, 50_400).MinElapsedSince(stamp(4000, 45_000)))
	require.Zero(t, stamp(0, 48_000).MinElapsedSince(stamp(4000, 45_000)))
	require.Equal(t, 2*time.Second, stamp(0, 52_000).MinElapsedSince(stamp(4000, 45_000)))
	require.Equal(t, stamp(3000, 44_000), stamp(4000, 45_000).Before(time.Second))
	require.Equal(t, stamp(0, 44_000), stamp(0, 45_000).Before(time.Second))
}

// Guards against a full outage of the endpoints after a restart during a rollout: what
// peers or the log know of the naming must replace the assumption that the version was
// named long ago, for each version with its own bound.
func TestRecordNamingRestoresTheBounds(t *testing.T) {
	now := time.Minute
	r := NewRollout()
	require.True(t, r.AddTarget(WeightVersion{"m", 3}, UnknownNamingTime, now))
	since, _ := r.RetiredSince("m", 2)
	require.Equal(t, UnknownNamingTime, since)
	require.True(t, r.NamingsUnknown())
	require.Empty(t, r.Namings(0))

	require.False(t, r.RecordNaming(Naming{WeightVersion{"m", 3}, 2, now - 4*time.Second, now - 3*time.Second}, now))
	require.False(t, r.NamingsUnknown())
	since, _ = r.RetiredSince("m", 2)
	require.Equal(t, now-4*time.Second, since)
	since, _ = r.RetiredSince("m", 1)
	require.Equal(t, UnknownNamingTime, since, "version 2 was named at an unknown time")
	require.False(t, r.RecordNaming(Naming{WeightVersion{"m", 2}, 0, now - 9*time.Second, now - 8*time.Second}, now))
	since, _ = r.RetiredSince("m", 1)
	require.Equal(t, now-9*time.Second, since)

	require.False(t, r.RecordNaming(Naming{WeightVersion{"m", 3}, 2, now - 5*time.Second, now}, now), "an earlier lower bound")
	since, _ = r.RetiredSince("m", 2)
	require.Equal(t, now-4*time.Second, since)
	require.True(t, r.RecordNaming(Naming{WeightVersion{"m", 4}, 3, now - time.Second, now}, now), "a version that only a peer has read")
	require.EqualValues(t, 4, r.NewestTargets()["m"])
	require.Len(t, r.Namings(now-5*time.Second), 2)
	require.False(t, r.AddTarget(WeightVersion{"m", 4}, now, now))
}

// Guards against stores that stay full of parts of older weights after all processes have
// restarted, so that no part of the newer ones can be saved. Load pattern: all processes are
// lost during a rollout, and all prompts come with the newer weights.
func TestRestartDoesNotPostponeTheDeletionOfRetiredParts(t *testing.T) {
	now := time.Minute
	r := NewRollout()
	r.AddTarget(WeightVersion{"m", 2}, UnknownNamingTime, now)
	deletable := func(after time.Duration) bool { return r.Deletable("m", 1, now+after) }
	wait := r.RetireDelay + deleteMargin
	require.False(t, deletable(wait-1))
	require.True(t, deletable(wait))
	r.RecordNaming(Naming{WeightVersion{"m", 2}, 0, now - 7*time.Second, now - 6*time.Second}, now)
	require.False(t, deletable(wait-6*time.Second-1))
	require.True(t, deletable(wait-6*time.Second))
	r.RecordNaming(Naming{WeightVersion{"m", 2}, 0, now - 7*time.Second, now}, now)
	require.True(t, deletable(wait-6*time.Second), "a later upper bound adds nothing")
}
