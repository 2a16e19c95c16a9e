package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/apierr"
)

// Guards against reporting not_run while an executor whose connection was lost may
// still run the call.
func TestResolveRan(t *testing.T) {
	passed, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancel()
	refused := apierr.NewRetryable(apierr.LogUnavailable, apierr.NotRun, time.Second, "refused", "")
	for name, c := range map[string]struct {
		ctx       context.Context
		uncertain bool
		kind      apierr.Kind
		ran       apierr.Ran
	}{
		"all closed":                  {context.Background(), false, apierr.LogUnavailable, apierr.NotRun},
		"one lost":                    {context.Background(), true, apierr.OutcomeUnknown, apierr.RanUnknown},
		"all closed, deadline passed": {passed, false, apierr.DeadlineExceeded, apierr.NotRun},
		"one lost, deadline passed":   {passed, true, apierr.OutcomeUnknown, apierr.RanUnknown},
	} {
		ae := apierr.From(resolveRan(c.ctx, refused, c.uncertain))
		require.Equal(t, c.kind, ae.Kind, name)
		require.Equal(t, c.ran, ae.Ran, name)
	}
}
