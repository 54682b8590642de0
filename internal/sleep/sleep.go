// Package sleep provides a sleep that ends early when a context does.
package sleep

import (
	"context"
	"time"
)

// For waits for the duration or until ctx ends, and reports whether the wait was completed. If
// the duration is not positive, it returns immediately and reports whether ctx has not ended.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
