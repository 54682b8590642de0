package procload

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against connections that are turned away because of a single pause, and against saturation that goes
// unnoticed because some timers are in time, or that outlasts its cause.
func TestOnlyLastingDelaysAreSaturation(t *testing.T) {
	const limit, second = 0.25, int(time.Second / sampleInterval)
	inTime := slices.Repeat([]time.Duration{0}, second)
	alternating := slices.Repeat([]time.Duration{0, 0, 100 * time.Millisecond}, 10)
	for name, c := range map[string]struct {
		delays []time.Duration
		want   bool
	}{
		"none":            {inTime, false},
		"a single pause":  {append(slices.Clone(inTime), 100*time.Millisecond), false},
		"slightly late":   {slices.Repeat([]time.Duration{5 * time.Millisecond}, second), false},
		"all late":        {slices.Repeat([]time.Duration{30 * time.Millisecond}, second), true},
		"some very late":  {alternating, true},
		"over":            {append(slices.Clone(alternating), inTime...), false},
		"timers too soon": {slices.Repeat([]time.Duration{-time.Millisecond}, second), false},
	} {
		m := NewMonitor(limit)
		for _, d := range c.delays {
			m.observe(d)
		}
		if got := m.Saturated(); got != c.want {
			t.Errorf("%s: saturated %t, pressure %.2f", name, got, m.Pressure())
		}
	}
}

// Guards against a monitor that finds saturation where timers are in time, or that measures without a limit.
func TestTimersInTimeAreNoSaturation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		monitored, off := NewMonitor(0.01), NewMonitor(0)
		go monitored.Run(ctx)
		off.Run(ctx) // returns at once
		time.Sleep(time.Minute)
		off.observe(time.Minute)
		if monitored.Saturated() || off.Saturated() {
			t.Error("saturated without a delay, or without a limit")
		}
		stop()
		synctest.Wait()
	})
}
