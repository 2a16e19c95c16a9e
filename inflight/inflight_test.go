package inflight

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against new operations that start while a process drains, and against a
// drain that doesn't wait for the continuation of an accepted operation.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		require.True(t, g.TryAdd())
		g.Close()
		require.False(t, g.TryAdd())
		waitReturned := false
		go func() {
			require.NoError(t, g.Wait(t.Context()))
			waitReturned = true
		}()
		synctest.Wait()
		g.Add()
		g.Done()
		synctest.Wait()
		require.False(t, waitReturned, "one operation is still running")
		g.Done()
		synctest.Wait()
		require.True(t, waitReturned)

		cause := errors.New("second signal")
		g.Add()
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		require.ErrorIs(t, g.Wait(ctx), cause)
		require.Equal(t, 1, g.Count())
	})
}
