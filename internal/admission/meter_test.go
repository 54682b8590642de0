package admission

import (
	"testing"
	"time"
)

// The targets of a pool come back after a long standstill. The queue moves as before
// from the first start on; the estimate must say so soon, or the requests of the next
// minutes would be refused although they could be served.
func TestStandstillIsOverOnceSomethingStarts(t *testing.T) {
	const usual = 10 * time.Millisecond
	var m meter
	now := time.Unix(0, 0)
	m.restart(now)
	for range 50 {
		now = now.Add(usual)
		m.started(now, 1)
	}
	if got := m.wait(now, 1); got < usual*9/10 || got > usual*11/10 {
		t.Fatalf("%s a start, want about %s", got, usual)
	}
	now = now.Add(time.Hour)
	m.started(now, 1)
	if got := m.wait(now, 1); got > 2*usual {
		t.Errorf("%s a start after the standstill, want at most %s", got, 2*usual)
	}
}
