package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	for _, c := range []struct {
		name     string
		ctx      context.Context
		duration time.Duration
		slept    time.Duration
		holds    bool
	}{
		{"the whole time", context.Background(), time.Minute, time.Minute, true},
		{"no time", context.Background(), 0, 0, true},
		{"no time, with a context that has ended", ended, 0, 0, false},
		{"a time that the context cuts short", ended, time.Minute, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				if holds := For(c.ctx, c.duration); holds != c.holds {
					t.Errorf("holds: %t", holds)
				}
				if slept := time.Since(start); slept != c.slept {
					t.Errorf("slept %s of virtual time", slept)
				}
			})
		})
	}
}
