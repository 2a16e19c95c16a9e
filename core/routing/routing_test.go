package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against own choices that are forgotten before the endpoint has worked
// on them, that are counted for ever, or that survive the report that has them.
func TestOwnChoicesDecay(t *testing.T) {
	const rate = 1000.0
	var v EndpointView
	var c Candidate
	v.Fill(&c, 0, rate, 0)
	require.Negative(t, c.ReportAge)
	v.Chose(500, rate, 0)
	v.Chose(500, rate, 0)
	for at, want := range map[time.Duration]int{0: 1000, 400 * time.Millisecond: 600, 2 * time.Second: 0} {
		v.Fill(&c, 0, rate, at)
		require.Equal(t, want, c.OwnTokens, "after %v", at)
		require.Equal(t, 2, c.OwnInFlight)
	}
	v.Report(Report{Running: 3, AheadTokens: [Classes]int{7, 8, 9}}, 3*time.Second)
	v.Fill(&c, 1, rate, 4*time.Second)
	require.Equal(t, Candidate{Running: 3, AheadTokens: 8, ReportAge: time.Second}, c)
}
