// Package wait holds a wait that ends with its context.
package wait

import (
	"context"
	"time"
)

// For waits for the duration and returns true, or false when ctx ends first.
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
