package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry's own requests being dropped before the endpoint has
// processed them, never expiring, or being counted twice after a report includes
// them.
func TestEndpointViewCountsOwnRequests(t *testing.T) {
	const rate = 1000.0
	var v EndpointView
	var c Candidate
	v.FillLoad(&c, 0, rate, 0)
	require.Negative(t, c.ReportAge)
	v.AddRequest(500, rate, 0)
	v.AddRequest(500, rate, 0)
	for at, want := range map[time.Duration]int{0: 1000, 400 * time.Millisecond: 600, 2 * time.Second: 0} {
		v.FillLoad(&c, 0, rate, at)
		require.Equal(t, want, c.OwnTokens, "after %v", at)
		require.Equal(t, 2, c.OwnInFlight)
	}
	v.ApplyReport(LoadReport{Running: 3, AheadTokens: [NumClasses]int{7, 8, 9}}, 3*time.Second)
	v.FillLoad(&c, 1, rate, 4*time.Second)
	require.Equal(t, Candidate{Running: 3, AheadTokens: 8, ReportAge: time.Second}, c)
}

// Guards against one customer's fetches delaying those of the others, a share
// limit that hits customers close to their share or never expires, unbounded
// growth of the per-customer state, and a nonzero rate while the link is down.
func TestLinkViewSharesLinkAmongCustomers(t *testing.T) {
	l := NewLinkView()
	_, rate := l.EstimateFetch("light", 0)
	require.Zero(t, rate, "no report")
	l.ApplyReport(0, 0, 1000, 0)
	for i := range 5 {
		for _, c := range []string{"a", "b", "c", "d"} {
			require.False(t, l.AddFetch(c, 10, 0), "fetch %d", i)
		}
	}
	require.False(t, l.AddFetch("heavy", 1000, 0), "no usage is recorded yet")
	require.True(t, l.AddFetch("heavy", 1000, 0))
	lightWait, _ := l.EstimateFetch("a", 0)
	heavyWait, _ := l.EstimateFetch("heavy", 0)
	require.Equal(t, 1200*time.Millisecond, lightWait)
	require.Equal(t, 2200*time.Millisecond, heavyWait)
	later := 10 * usageTimeConstant
	for _, c := range []string{"a", "b", "c", "d"} {
		l.AddFetch(c, 100, later)
	}
	require.False(t, l.AddFetch("heavy", 100, later), "its earlier usage has decayed")
	for i := range 1000 {
		l.AddFetch("once "+string(rune(i)), 1, later+time.Duration(i)*time.Second)
	}
	require.Less(t, len(l.shares.usageByCustomer), 50)
	l.ApplyReport(500, 100, 0, later)
	_, rate = l.EstimateFetch("new", later)
	require.Zero(t, rate, "the link is down")
}
