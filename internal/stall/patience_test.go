package stall

import (
	"testing"
	"time"
)

// Guards against uneven paths whose stages are asked at each event.
func TestPatienceFollowsThePaceOfTheStream(t *testing.T) {
	const gap = 250 * time.Millisecond
	var pace Pace
	for range 50 {
		pace.Add(50 * time.Millisecond)
	}
	usual := PatienceOf(gap, pace)
	if usual.Ask >= usual.Report || usual.Report >= gap {
		t.Errorf("a usual stream: %+v leaves no time to go on within %s", usual, gap)
	}
	const slowGap = 300 * time.Millisecond
	for range 50 {
		pace.Add(slowGap)
	}
	if slow := PatienceOf(gap, pace); slow.Ask <= usual.Ask || slow.Ask > slow.Report || slow.Report != usual.Report {
		t.Errorf("a slow stream: %+v, a usual one: %+v", slow, usual)
	}
	if unknown := PatienceOf(0, Pace{}); unknown.Ask <= 0 || unknown.Report <= unknown.Ask {
		t.Errorf("nothing is known: %+v", unknown)
	}
}
