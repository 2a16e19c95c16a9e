package inflight

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against work that starts while a process drains: it must be refused, or
// be waited for when it continues accepted work.
func TestGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		require.True(t, g.Enter())
		g.Close()
		require.False(t, g.Enter())
		ended := false
		go func() {
			require.NoError(t, g.Wait(t.Context()))
			ended = true
		}()
		synctest.Wait()
		g.Continue()
		g.Leave()
		synctest.Wait()
		require.False(t, ended, "one piece of work still runs")
		g.Leave()
		synctest.Wait()
		require.True(t, ended)

		cause := errors.New("second signal")
		g.Continue()
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		require.ErrorIs(t, g.Wait(ctx), cause)
		require.Equal(t, 1, g.Count())
	})
}
