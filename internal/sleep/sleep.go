// Package sleep waits for a time that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits that long and reports whether the context still holds. It returns at
// once when the time is not above 0.
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
