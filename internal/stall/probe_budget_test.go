package stall

import "testing"

// Guards against probing slow paths without limit.
func TestProbesAreBoundedBySends(t *testing.T) {
	budget := NewProbeBudget()
	const sends = 500
	taken := 0
	for range sends {
		budget.Sent()
		for range 3 {
			if budget.Take() {
				taken++
			}
		}
	}
	if most := int(sends*probesPerSend + maxProbes); taken > most || float64(taken) < sends*probesPerSend {
		t.Errorf("%d probes for %d sends, want at most %d", taken, sends, most)
	}
}
