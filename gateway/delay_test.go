package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an entry that counts as short of processor time after one late sample, as after a
// suspension, or changes its state with each sample.
func TestProcessorStateChangesAfterSeveralSamples(t *testing.T) {
	p := processorState{}
	for i, c := range []struct {
		delay  time.Duration
		change bool
		short  bool
	}{{time.Millisecond, false, false}, {time.Second, false, false}, {time.Millisecond, false, false}, {time.Second, false, false}, {shortDelay, true, true}, {time.Second, false, true}, {0, false, true}, {time.Second, false, true}, {0, false, true}, {0, true, false}} {
		require.Equal(t, c.change, p.observe(c.delay), i)
		require.Equal(t, c.short, p.short, i)
	}
}
