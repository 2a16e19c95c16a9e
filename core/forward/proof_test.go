package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// proofSim is a deployment whose hosts' times of day are wrong by up to 5 s, and whose
// processes may be suspended between any two steps.
type proofSim struct {
	t         *rapid.T
	now       time.Duration // true time
	namedAt   []time.Duration
	clockBase time.Duration // the endpoints' clock shows the time since then
}

func drawDuration(t *rapid.T, limit time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, limit.Microseconds()).Draw(t, label)) * time.Microsecond
}

// pass lets time pass, now and then as much as a suspension.
func (s *proofSim) pass(label string) {
	limit := 50 * time.Millisecond
	if rapid.IntRange(0, 3).Draw(s.t, label+" suspended") == 0 {
		limit = 8 * time.Second
	}
	s.now += drawDuration(s.t, limit, label)
}

// unixMs returns the time of day of a host, which may have jumped since the last call.
func (s *proofSim) unixMs() int64 {
	const epoch = 1_800_000_000_000
	return epoch + (s.now + drawDuration(s.t, maxWallClockError, "error of the time of day")).Milliseconds()
}

// instant reads the clocks of a process whose clock shows the time since it started.
func (s *proofSim) instant(started time.Duration) Instant {
	var clock EndpointClock
	if rapid.Bool().Draw(s.t, "endpoints' clock known") {
		asked := s.now
		s.pass("answer")
		stated := milliseconds(s.now - s.clockBase)
		s.pass("arrival")
		clock.Observe(stated, asked-started, s.now-started)
		s.pass("use")
	}
	i := Instant{Earliest: Stamp{UnixMs: s.unixMs()}}
	s.pass("after the first time of day")
	i.Time = s.now - started
	s.pass("after the process's clock")
	i.Latest.UnixMs = s.unixMs()
	if earliest, latest, known := clock.Bounds(i.Time); known {
		i.Earliest.EndpointClockMs, i.Latest.EndpointClockMs = earliest, latest
	}
	return i
}

// newest returns the newest version named by a time.
func (s *proofSim) newest(at time.Duration) int64 {
	version := int64(1)
	for i, t := range s.namedAt {
		if t <= at {
			version = int64(i) + 2
		}
	}
	return version
}

// Guards against older weights that are used past their bound: after a restart of all
// processes, no version may count as named later than it was, whatever the times of day,
// suspensions, lost proofs and versions that nobody read.
func TestProofsNeverPostponeANaming(t *testing.T) {
	bounded, unbounded := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := &proofSim{t: t, now: time.Hour, clockBase: time.Hour - drawDuration(t, time.Minute, "age of the endpoints' clock")}
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			last := time.Hour
			if n := len(s.namedAt); n > 0 {
				last = s.namedAt[n-1]
			}
			s.namedAt = append(s.namedAt, last+drawDuration(t, 8*time.Second, "until the next naming"))
		}
		stored := map[int64]NamingProof{}
		writer := time.Hour - drawDuration(t, time.Hour, "writer's start")
		for range rapid.IntRange(0, 4).Draw(t, "proofs") {
			asOf := s.now
			s.pass("read")
			r := NewRollout()
			r.AddTarget(WeightVersion{"m", s.newest(rapid.SampledFrom([]time.Duration{asOf, s.now}).Draw(t, "knows"))}, UnknownNamingTime, s.now-writer)
			now := s.instant(writer)
			for _, p := range r.Proofs(now, asOf-writer) {
				stored[p.Version] = p
			}
			s.pass("until the next proof")
		}
		if rapid.Bool().Draw(t, "endpoints' clock begins anew") {
			s.clockBase = s.now
		}
		s.now = max(s.now, s.namedAt[len(s.namedAt)-1]) + drawDuration(t, 10*time.Second, "outage")
		started := s.now - drawDuration(t, time.Hour, "reader's start")
		found := s.newest(s.now)
		records := &NamingRecords{}
		for _, p := range stored {
			records.Proofs = append(records.Proofs, p)
		}
		r := NewRollout()
		r.AddTarget(WeightVersion{"m", found}, UnknownNamingTime, s.now-started)
		for range 2 {
			now := s.instant(started)
			if n, ok := records.Bound(WeightVersion{"m", found}, now); ok {
				bounded++
				r.RecordNaming(n, now.Time)
			} else {
				unbounded++
			}
		}
		for version := int64(1); version < found; version++ {
			since, outdated := r.RetiredSince("m", version)
			require.True(t, outdated)
			require.LessOrEqual(t, since, s.namedAt[version-1]-started, "version %d", version+1)
		}
	})
	require.Positive(t, bounded)
	require.Positive(t, unbounded)
}

// Guards against a bound that is so early that older weights are excluded at once, although a
// proof of a few seconds ago exists.
func TestProofBoundsTheNaming(t *testing.T) {
	instant := func(at time.Duration, clockMs float64) Instant {
		s := Stamp{clockMs, at.Milliseconds()}
		return Instant{at, s, s}
	}
	r := NewRollout()
	require.Empty(t, r.Proofs(instant(time.Minute, 0), time.Minute), "no version was named")
	r.AddTarget(WeightVersion{"n", 7}, UnknownNamingTime, time.Minute)
	r.AddTarget(WeightVersion{"m", 2}, UnknownNamingTime, time.Minute)
	for name, c := range map[string]struct {
		clockMs float64
		want    time.Duration
	}{
		"endpoints' clock": {15_000, 59*time.Second - stampRounding},
		"young clock":      {13_000, 59*time.Second - stampRounding - maxWallClockError},
		"time of day only": {0, 59*time.Second - stampRounding - maxWallClockError},
	} {
		t.Run(name, func(t *testing.T) {
			proofs := r.Proofs(instant(time.Minute, c.clockMs), 59*time.Second)
			require.Equal(t, []string{"m", "n"}, []string{proofs[0].Model, proofs[1].Model})
			now := instant(time.Minute+4*time.Second, c.clockMs+4000)
			for _, order := range [][]int{{0, 1}, {1, 0}} {
				older := proofs[0]
				older.Version, older.At = 1, older.At.Before(time.Second)
				all := []NamingProof{proofs[0], older}
				records := NamingRecords{Proofs: []NamingProof{all[order[0]], all[order[1]]}}
				got, ok := records.Bound(WeightVersion{"m", 4}, now)
				require.True(t, ok)
				require.Equal(t, Naming{WeightVersion{"m", 4}, 2, c.want, now.Time}, got)
			}
		})
	}
}

// Guards against naming times that are guessed: without a usable proof the time stays unknown.
func TestUnusableProofGivesNoBound(t *testing.T) {
	at := Stamp{UnixMs: 60_000}
	now := Instant{Time: time.Minute, Earliest: Stamp{UnixMs: 62_000}, Latest: Stamp{UnixMs: 62_000}}
	proof := func(model string, version int64, at Stamp) []NamingProof {
		return []NamingProof{{WeightVersion{model, version}, at}}
	}
	named := []StoredNaming{{WeightVersion: WeightVersion{"m", 3}}}
	for name, c := range map[string]struct {
		records NamingRecords
		want    bool
	}{
		"usable":                         {NamingRecords{Proofs: proof("m", 2, at)}, true},
		"none":                           {NamingRecords{}, false},
		"of the version itself":          {NamingRecords{Proofs: proof("m", 3, at)}, false},
		"of a newer version":             {NamingRecords{Proofs: proof("m", 4, at)}, false},
		"of another model":               {NamingRecords{Proofs: proof("n", 2, at)}, false},
		"in the future":                  {NamingRecords{Proofs: proof("m", 2, Stamp{UnixMs: 67_001})}, false},
		"in the far future":              {NamingRecords{Proofs: proof("m", 2, Stamp{UnixMs: 1 << 62})}, false},
		"as far as times of day differ":  {NamingRecords{Proofs: proof("m", 2, Stamp{UnixMs: 67_000})}, true},
		"the naming itself was saved":    {NamingRecords{Namings: named, Proofs: proof("m", 2, at)}, false},
		"the naming of another is saved": {NamingRecords{Namings: []StoredNaming{{WeightVersion: WeightVersion{"n", 3}}}, Proofs: proof("m", 2, at)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := c.records.Bound(WeightVersion{"m", 3}, now)
			require.Equal(t, c.want, ok)
		})
	}
}

// Guards against a proof by a process that started after the log had returned from an older
// copy, and that doesn't know a version which the log lost.
func TestNoProofWhileTheLogMayLackVersions(t *testing.T) {
	firstRead := time.Minute
	for name, c := range map[string]struct {
		era     Era
		pending bool
		after   time.Duration
		want    bool
	}{
		"log that never returned":      {0, false, 0, true},
		"started after a return":       {3, false, rewriteLimit - 1, false},
		"long after a return":          {3, false, rewriteLimit, true},
		"records not yet read again":   {3, true, time.Hour, false},
		"first return, being repaired": {1, true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, MayProve(c.era, &CatchUp{pending: c.pending}, firstRead, firstRead+c.after))
		})
	}
}
