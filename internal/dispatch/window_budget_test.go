package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a budget that is released too slowly for a burst: a card fails after ten
// seconds without retries, and 20 streams of a VM must continue at once. They may use the
// whole budget of the window; a second burst gets none until the first has left the window.
func TestWindowsBudgetMayBeSpentAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewWindowBudget(0.2, 4, 10*time.Second)
		for range 100 {
			b.Credit()
			time.Sleep(100 * time.Millisecond)
		}
		take := func() int {
			n := 0
			for range 100 {
				if b.Take() {
					n++
				}
			}
			return n
		}
		if n := take(); n < 22 || n > 24 {
			t.Errorf("%d retries at once, want 22 to 24", n)
		}
		time.Sleep(5 * time.Second)
		if n := take(); n != 0 {
			t.Errorf("%d more retries within the window, want none", n)
		}
		time.Sleep(6 * time.Second)
		if n := take(); n < 3 || n > 4 {
			t.Errorf("%d retries after a window without requests, want 3 to 4", n)
		}
	})
}

// Guards against a window with more retries than the share of its requests plus the slack,
// for any sequence of requests and retries. Retries beyond that could double an overload.
func TestNoWindowHoldsMoreThanItsBudget(t *testing.T) {
	const share, slack, window = 0.3, 5.0, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		pauses := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 300).Draw(rt, "pauses in ms")
		requests := rapid.SliceOfN(rapid.Bool(), len(pauses), len(pauses)).Draw(rt, "requests")
		var fresh, spent []time.Time
		synctest.Test(t, func(*testing.T) {
			b := NewWindowBudget(share, slack, window)
			for i, pause := range pauses {
				time.Sleep(time.Duration(pause) * time.Millisecond)
				if requests[i] {
					b.Credit()
					fresh = append(fresh, time.Now())
				} else if b.Take() {
					spent = append(spent, time.Now())
				}
			}
		})
		for _, end := range spent {
			if got, most := within(spent, end, window), share*float64(within(fresh, end, window))+slack; float64(got) > most {
				rt.Fatalf("%d retries in the window before %s, allowed %.1f", got, end, most)
			}
		}
	})
}

// within returns the number of times within the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-window)) {
			n++
		}
	}
	return n
}
