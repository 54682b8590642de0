package stall

import (
	"testing"
	"time"
)

// Guards against uneven paths whose stages are asked at each event.
func TestPatienceFollowsThePaceOfTheStream(t *testing.T) {
	const gap = 250 * time.Millisecond
	var pace GapStats
	for range 50 {
		pace.Add(50 * time.Millisecond)
	}
	usual := TimeoutsFor(gap, pace)
	if usual.Probe >= usual.Report || usual.Report >= gap {
		t.Errorf("a usual stream: %+v leaves no time to go on within %s", usual, gap)
	}
	const slowGap = 300 * time.Millisecond
	for range 50 {
		pace.Add(slowGap)
	}
	if slow := TimeoutsFor(gap, pace); slow.Probe <= usual.Probe || slow.Probe > slow.Report || slow.Report != usual.Report {
		t.Errorf("a slow stream: %+v, a usual one: %+v", slow, usual)
	}
	if unknown := TimeoutsFor(0, GapStats{}); unknown.Probe <= 0 || unknown.Report <= unknown.Probe {
		t.Errorf("nothing is known: %+v", unknown)
	}
}
