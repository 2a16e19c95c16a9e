package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a percentile of too few samples, of samples that are no longer recent, or that
// loses the sign of negative ones.
func TestRecentPercentile(t *testing.T) {
	for name, c := range map[string]struct {
		samples int
		sample  func(i int) time.Duration
		want    time.Duration
		known   bool
	}{
		"too few":  {63, func(i int) time.Duration { return time.Second }, 0, false},
		"enough":   {64, func(i int) time.Duration { return time.Duration(i) }, 60, true},
		"negative": {64, func(i int) time.Duration { return time.Duration(i) - time.Second }, 60 - time.Second, true},
		"old samples are forgotten": {512, func(i int) time.Duration {
			if i < 256 {
				return time.Hour
			}
			return time.Duration(i - 256)
		}, 243, true},
	} {
		t.Run(name, func(t *testing.T) {
			var p RecentPercentile
			for i := range c.samples {
				p.Observe(c.sample(i))
			}
			got, known := p.Value()
			require.Equal(t, c.known, known)
			require.Equal(t, c.want, got)
		})
	}
}
