package stream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChecker guards against a client that receives text of another request, text
// twice, or a truncated answer that counts as complete.
func TestChecker(t *testing.T) {
	c := NewChecker("a1", "kutch")
	require.Equal(t, Accept, c.Frame("a1", "kutch", 0, 3))
	require.Equal(t, Foreign, c.Frame("a2", "kutch", 1, 3), "frame of another attempt")
	require.Equal(t, Foreign, c.Frame("a1", "rann", 1, 3), "frame of another customer")
	require.Equal(t, Duplicate, c.Frame("a1", "kutch", 0, 3))
	require.Equal(t, Gap, c.Frame("a1", "kutch", 2, 3))
	require.Equal(t, Accept, c.Frame("a1", "kutch", 1, 4))
	require.Equal(t, Gap, c.End("a1", "kutch", 2, 6), "an end frame with another length")
	require.False(t, c.Complete())
	require.Equal(t, Accept, c.End("a1", "kutch", 2, 7))
	require.True(t, c.Complete())
	require.Equal(t, Duplicate, c.Frame("a1", "kutch", 3, 1), "a frame after the end")
}
