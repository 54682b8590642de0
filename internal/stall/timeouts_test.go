package stall

import (
	"testing"
	"time"
)

// Guards against probing the stages of an uneven path at each event.
func TestTimeoutsAdaptToTheGapsOfTheStream(t *testing.T) {
	const maxGap = 250 * time.Millisecond
	var stats GapStats
	for range 50 {
		stats.Add(50 * time.Millisecond)
	}
	usual := TimeoutsFor(maxGap, stats)
	if usual.Probe >= usual.Report || usual.Report >= maxGap {
		t.Errorf("usual stream: %+v leaves no time to continue within %s", usual, maxGap)
	}
	const slowGap = 300 * time.Millisecond
	for range 50 {
		stats.Add(slowGap)
	}
	if slow := TimeoutsFor(maxGap, stats); slow.Probe <= usual.Probe || slow.Probe > slow.Report || slow.Report != usual.Report {
		t.Errorf("slow stream: %+v, usual stream: %+v", slow, usual)
	}
	if unknown := TimeoutsFor(0, GapStats{}); unknown.Probe <= 0 || unknown.Report <= unknown.Probe {
		t.Errorf("no gap known: %+v", unknown)
	}
}
