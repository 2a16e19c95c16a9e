package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a rate that doesn't reach that of steady events, or stays after they have ended.
func TestRateFollowsEvents(t *testing.T) {
	var r Rate
	require.Zero(t, r.PerSecond(time.Hour))
	now := time.Hour
	for range 500 {
		now += 20 * time.Millisecond
		r.Add(now)
	}
	require.InDelta(t, 50, r.PerSecond(now), 1)
	require.Less(t, r.PerSecond(now+5*time.Second), 1.0)
	r.Add(now - time.Second) // a time before the last one
	require.InDelta(t, 51, r.PerSecond(now), 1)
}
