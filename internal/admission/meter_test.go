package admission

import (
	"testing"
	"time"
)

// Guards against requests that are refused for minutes after a long stall is over. The
// queue moves at the usual rate from the first start on, and the estimate must return to
// that rate soon.
func TestEstimateRecoversAfterStall(t *testing.T) {
	const usual = 10 * time.Millisecond
	var m meter
	now := time.Unix(0, 0)
	m.restart(now)
	for range 50 {
		now = now.Add(usual)
		m.observe(now, 1)
	}
	if got := m.wait(now, 1); got < usual*9/10 || got > usual*11/10 {
		t.Fatalf("estimated %s per start, want about %s", got, usual)
	}
	now = now.Add(time.Hour)
	m.observe(now, 1)
	if got := m.wait(now, 1); got > 2*usual {
		t.Errorf("estimated %s per start after the stall, want at most %s", got, 2*usual)
	}
}
