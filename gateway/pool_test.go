package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that is used again as its endpoint closes it.
func TestIdleTimeOfAConnectionIsTheEndpoints(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5": 4 * time.Second, "max=3, timeout=15": 14 * time.Second, "": defaultEndpointIdleTimeout, "timeout=soon": defaultEndpointIdleTimeout,
		"timeout=0": -time.Second,
	} {
		require.Equal(t, want, keepAliveTimeout(value), value)
	}
}
