package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// holding returns an admitted reservation of n bytes that has waited without progress since a time.
func holding(t *testing.T, b *ByteBudget, n int64, since time.Duration) *ByteReservation {
	t.Helper()
	r := b.Add()
	fit, ended := b.Resize(r, n, since)
	require.Equal(t, BytesFit, fit)
	require.Empty(t, ended)
	r.BeginWait(since)
	return r
}

// Guards against ending a request that makes progress, or one that frees less than another.
func TestStalledRequestToEndIsChosenByBytesAndTime(t *testing.T) {
	type request struct {
		bytes int64
		since time.Duration // start of its wait
		waits bool
	}
	const now = 10 * time.Second
	for name, c := range map[string]struct {
		requests []request
		growth   int64
		want     []int // requests that are ended
		fit      ByteFit
	}{
		"room left":                       {[]request{{20, 0, true}}, 20, nil, BytesFit},
		"largest of the same time":        {[]request{{24, 0, true}, {25, 0, true}, {24, 0, true}, {20, 0, true}}, 10, []int{1}, BytesAwaited},
		"longest of the same size":        {[]request{{24, 5 * time.Second, true}, {24, time.Second, true}, {24, 3 * time.Second, true}, {20, 0, false}}, 10, []int{1}, BytesAwaited},
		"small one for long":              {[]request{{24, 8 * time.Second, true}, {12, 0, true}, {24, 9 * time.Second, true}, {24, 0, false}, {10, 0, false}}, 10, []int{1}, BytesAwaited},
		"as many as are needed":           {[]request{{10, 0, true}, {9, 0, true}, {8, 0, true}, {24, 0, false}, {24, 0, false}, {24, 0, false}}, 20, []int{0, 1}, BytesAwaited},
		"progress just under the bound":   {[]request{{25, now - MinStall + 1, true}, {25, now, true}, {25, 0, false}, {20, 0, false}}, 10, nil, BytesFull},
		"progress at the bound":           {[]request{{25, now - MinStall, true}, {25, now, true}, {25, 0, false}, {20, 0, false}}, 10, []int{0}, BytesAwaited},
		"waits for its endpoint":          {[]request{{25, 0, false}, {25, 0, false}, {25, 0, false}, {25, 0, false}}, 10, nil, BytesFull},
		"larger than a connection's part": {nil, 26, nil, BytesTooMany},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewByteBudget(100)
			index := map[*ByteReservation]int{}
			for i, q := range c.requests {
				r := holding(t, b, q.bytes, q.since)
				if !q.waits {
					r.EndWait(true, q.since)
				}
				index[r] = i
			}
			fit, ended := b.Resize(b.Add(), c.growth, now)
			require.Equal(t, c.fit, fit)
			var got []int
			for _, r := range ended {
				got = append(got, index[r])
			}
			require.Equal(t, c.want, got)
		})
	}
}

// Guards against requests that are ended for a new one that does not fit even then.
func TestNewRequestEndsOthersOnlyIfItThenFits(t *testing.T) {
	b := NewByteBudget(100)
	stalled := holding(t, b, 5, 0)
	for range 4 {
		holding(t, b, 23, 0).EndWait(true, 0)
	}
	fit, ended := b.Resize(b.Add(), 20, 5*time.Second)
	require.Equal(t, BytesFull, fit)
	require.Empty(t, ended)
	require.False(t, stalled.ended)

	fit, ended = b.Resize(b.Add(), 8, 5*time.Second)
	require.Equal(t, BytesAwaited, fit)
	require.Equal(t, []*ByteReservation{stalled}, ended)
	fit, ended = b.Resize(b.Add(), 8, 5*time.Second)
	require.Equal(t, BytesAwaited, fit, "it waits for the same release")
	require.Empty(t, ended)
	b.Remove(stalled)
	fit, _ = b.Resize(b.Add(), 8, 5*time.Second)
	require.Equal(t, BytesFit, fit)
	require.EqualValues(t, 100, b.Held())
}

// Guards against requests that wait for room while new ones take all that is freed, and against
// requests that wait for each other without end.
func TestGrowthComesBeforeNewRequests(t *testing.T) {
	b := NewByteBudget(100)
	var rs []*ByteReservation
	for range 5 {
		r := holding(t, b, 20, 0)
		r.EndWait(true, 0)
		rs = append(rs, r)
	}
	for _, r := range rs {
		fit, _ := b.Resize(r, 25, 0)
		require.Equal(t, BytesFull, fit)
		r.BeginWait(0)
	}
	b.Remove(rs[4])
	const leftForNew = 100 - 4*20 - 100/growthShare
	fit, ended := b.Resize(b.Add(), leftForNew+1, MinStall)
	require.Equal(t, BytesFull, fit, "the rest belongs to those that wait")
	require.Empty(t, ended, "requests that wait to grow are ended for a new one")
	fit, _ = b.Resize(b.Add(), leftForNew-1, MinStall)
	require.Equal(t, BytesFit, fit)
	for _, r := range rs[:2] {
		fit, _ = b.Resize(r, 25, 0)
		require.Equal(t, BytesFit, fit)
	}

	b = NewByteBudget(100)
	for i := range rs {
		rs[i] = holding(t, b, 20, 0)
	}
	fit, ended = b.Resize(rs[0], 25, MinStall)
	require.NotEmpty(t, ended)
	require.Contains(t, []ByteFit{BytesAwaited, BytesWithheld}, fit)
}

// Guards against bytes that stay counted after their request, or a total beyond the budget, in drawn
// sequences of calls.
func TestByteBudgetIsNeverExceeded(t *testing.T) {
	const limit, steps = 1 << 20, 4_000
	rng := rand.New(rand.NewPCG(3, 4))
	b, now := NewByteBudget(limit), time.Duration(0)
	var open []*ByteReservation
	for range steps {
		now += time.Duration(rng.IntN(100)) * time.Millisecond
		switch i := rng.IntN(len(open) + 1); {
		case i == len(open):
			r := b.Add()
			open = append(open, r)
			b.Resize(r, rng.Int64N(limit/3), now)
		case rng.IntN(4) == 0 || open[i].ended:
			b.Remove(open[i])
			b.Remove(open[i])
			open = append(open[:i], open[i+1:]...)
		case open[i].waiting > 0:
			open[i].EndWait(rng.IntN(2) == 0, now)
		case rng.IntN(2) == 0:
			open[i].BeginWait(now)
		default:
			_, ended := b.Resize(open[i], rng.Int64N(limit/3), now)
			for _, r := range ended {
				require.GreaterOrEqual(t, r.Stalled(now), MinStall)
			}
		}
		total, ending := int64(0), int64(0)
		for _, r := range open {
			total += r.bytes
			require.LessOrEqual(t, r.bytes, b.MaxPerConnection())
			if r.ended {
				ending += r.bytes
			}
		}
		require.Equal(t, total, b.Held())
		require.Equal(t, ending, b.ending)
		require.LessOrEqual(t, b.Held(), int64(limit))
	}
	for _, r := range open {
		b.Remove(r)
	}
	require.Zero(t, b.Held())
	require.Zero(t, b.ending)
	require.Zero(t, b.wanted)
	require.Empty(t, b.open)
}
