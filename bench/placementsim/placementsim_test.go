package placementsim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/kernel"
	"github.com/galenaweir/galenaweir/core/placement"
	_ "github.com/galenaweir/galenaweir/core/placement/baseline" // plug-ins
	_ "github.com/galenaweir/galenaweir/core/placement/value"
)

const contextCount = 4000

// BenchmarkPolicies produces the figures in docs/decisions/0005-placement.md.
func BenchmarkPolicies(b *testing.B) {
	for _, id := range kernel.IDs("placement") {
		b.Run(string(id), func(b *testing.B) {
			p, err := kernel.New[placement.Policy](id)
			require.NoError(b, err)
			var s *simulation
			for b.Loop() {
				s = newSimulation(p, 1)
				for i := range contextCount {
					s.step(i)
				}
			}
			b.ReportMetric((1-s.cachedTokens/s.requestedTokens)*100, "%recomputed")
			b.ReportMetric(s.sentBytes/1024/max(1, s.cachedTokens), "KiB-moved/token-saved")
		})
	}
}
