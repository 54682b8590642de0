package relay

import (
	"context"
	"testing"
	"time"
)

// Guards against a VM that was frozen taking its own streams for stalled when it resumes.
func TestLateCheckReadsEventsFirst(t *testing.T) {
	for name, c := range map[string]struct {
		late  time.Duration
		begun bool
	}{
		"in time":                  {0, true},
		"within the allowed delay": {maxTimerDelay / 2, true},
		"after a freeze":           {time.Second, false},
	} {
		now := time.Now()
		w := &stallWatch{ctx: context.Background(), lastEvent: now.Add(-time.Second - c.late), due: now.Add(-c.late)}
		w.timer = time.AfterFunc(time.Hour, func() {})
		if _, begun := w.beginCheck(); begun != c.begun {
			t.Errorf("%s: check begun: %t", name, begun)
		}
		w.timer.Stop()
	}
}
