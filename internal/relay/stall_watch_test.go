package relay

import (
	"context"
	"testing"
	"time"
)

// Guards against a VM that was frozen and takes its own streams for stopped ones when it wakes.
func TestLateWatchReadsFirst(t *testing.T) {
	for name, c := range map[string]struct {
		late time.Duration
		asks bool
	}{
		"in time":            {0, true},
		"as a turn may take": {wakeLate / 2, true},
		"after a freeze":     {time.Second, false},
	} {
		now := time.Now()
		w := &stallWatch{ctx: context.Background(), last: now.Add(-time.Second - c.late), due: now.Add(-c.late)}
		w.timer = time.AfterFunc(time.Hour, func() {})
		if _, asks := w.begin(); asks != c.asks {
			t.Errorf("%s: asks is %t", name, asks)
		}
		w.timer.Stop()
	}
}
