// Package wait provides a sleep that ends early when its context ends.
package wait

import (
	"context"
	"time"
)

// For waits for the duration or until ctx ends. It reports whether the full
// duration has elapsed.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
