package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name      string
		ctx       context.Context
		duration  time.Duration
		slept     time.Duration
		completed bool
	}{
		{"the whole time", context.Background(), time.Minute, time.Minute, true},
		{"no time", context.Background(), 0, 0, true},
		{"no time, with a cancelled context", cancelled, 0, 0, false},
		{"a time, with a cancelled context", cancelled, time.Minute, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				if completed := For(c.ctx, c.duration); completed != c.completed {
					t.Errorf("completed: %t", completed)
				}
				if slept := time.Since(start); slept != c.slept {
					t.Errorf("slept %s of virtual time", slept)
				}
			})
		})
	}
}
