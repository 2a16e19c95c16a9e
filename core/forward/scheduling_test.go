package forward

import (
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"
)

// replayDigest returns a digest of all decisions of a replay.
func replayDigest(all []*replayRequest) uint64 {
	h := fnv.New64a()
	for _, r := range all {
		_, _ = h.Write([]byte{byte(r.engine), byte(r.priority), byte(boolInt(r.refused)), byte(boolInt(r.late))}) // never returns an error
	}
	return h.Sum64()
}

// Guards against decisions that change although no setting of scheduling is on.
func TestDecisionsWithoutSchedulingAreAsBefore(t *testing.T) {
	all := replayScheduling(replayClasses(replayBeyondCapacity), 1, decideBefore)
	everyone := func(*replayRequest) bool { return true }
	t.Logf("short %v", countReplay(all, "short", everyone))
	t.Logf("long %v", countReplay(all, "long", everyone))
	const onCommit464182b = uint64(0x6c157a9b03e8cb90) // before the first setting of scheduling was added
	require.Equal(t, onCommit464182b, replayDigest(all))

	off := func(p *schedulingReplay, r *replayRequest, t PlacementRequest) replayDecision {
		c := Choose(t, p.cs)
		if c, outcome, _ := Schedule(c, r.class.route.LatencyTarget, r.class.deadline, false, nil); outcome == OnTime && c.ExpectedWait <= r.class.deadline {
			return replayDecision{engine: c.Index, priority: r.class.route.Priority, load: c.Load}
		}
		return replayDecision{engine: -1}
	}
	require.Equal(t, onCommit464182b, replayDigest(replayScheduling(replayClasses(replayBeyondCapacity), 1, off)))
}

// Guards against short urgent prompts that are refused in a burst of long patient ones, against long
// ones that are refused although engines have capacity before their deadline, and against one customer
// that makes the others late. The load is beyond what the engines prefill, so that the refusals of
// before show.
func TestBurstOfPatientPromptsBesideUrgentOnes(t *testing.T) {
	for name, c := range map[string]struct {
		longPerSecond           float64
		refusedBefore           float64 // least share of short prompts refused without the settings
		refusedByRank           float64 // least share of long prompts refused with ranks only
		refusedLate             float64 // most with late placement too
		othersLate, othersShare float64 // most of the others' long prompts placed late, without and with shares
	}{
		"3.0 M tokens a second": {replayBeyondCapacity, 0.25, 0.01, 0, 0.04, 0.03},
		"3.7 M tokens a second": {replayFarBeyondCapacity, 0.80, 0.15, 0.01, 0.25, 0.18},
	} {
		t.Run(name, func(t *testing.T) {
			classes := replayClasses(c.longPerSecond)
			count := func(name string, decide replayDecider) (short, long, others replayResult) {
				all := replayScheduling(classes, 1, decide)
				everyone := func(*replayRequest) bool { return true }
				short, long = countReplay(all, "short", everyone), countReplay(all, "long", everyone)
				others = countReplay(all, "long", func(r *replayRequest) bool { return r.customer != 0 })
				t.Logf("%s: short %v", name, short)
				t.Logf("%s: long %v", name, long)
				t.Logf("%s: long, others %v", name, others)
				return short, long, others
			}
			shortBefore, _, _ := count("before", decideBefore)
			require.GreaterOrEqual(t, shortBefore.share(shortBefore.refused), c.refusedBefore)
			shortRanks, longRanks, _ := count("ranks", newScheduler(classes, false, false).decide)
			require.GreaterOrEqual(t, longRanks.share(longRanks.refused), c.refusedByRank)
			shortLate, longLate, othersLate := count("late", newScheduler(classes, true, false).decide)
			require.LessOrEqual(t, longLate.share(longLate.refused), c.refusedLate)
			require.LessOrEqual(t, othersLate.share(othersLate.late), c.othersLate)
			shortShare, longShare, othersShare := count("shares", newScheduler(classes, true, true).decide)
			require.LessOrEqual(t, longShare.share(longShare.refused), c.refusedLate)
			require.LessOrEqual(t, othersShare.share(othersShare.late), c.othersShare)
			require.Less(t, othersShare.late, othersLate.late)
			require.Greater(t, othersShare.inTarget, othersLate.inTarget)
			require.LessOrEqual(t, longShare.share(longShare.overdue), 0.002)
			for _, r := range []replayResult{shortRanks, shortLate, shortShare} {
				require.GreaterOrEqual(t, r.share(r.inTarget), 0.995)
			}
		})
	}
}

// Guards against settings that cost something while the engines have room: 2.2 M tokens a second.
func TestBurstWithinTheCapacityIsServedInTime(t *testing.T) {
	classes := replayClasses(replayWithinCapacity)
	all := replayScheduling(classes, 1, newScheduler(classes, true, true).decide)
	for _, class := range []string{"short", "long"} {
		r := countReplay(all, class, func(*replayRequest) bool { return true })
		require.Equal(t, r.all, r.inTarget, class)
		require.Zero(t, r.late, class)
	}
}
