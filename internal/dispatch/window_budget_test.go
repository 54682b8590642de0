package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// A card dies and 20 streams of a VM want to go on at once, after ten calm seconds. The
// whole window's budget is there for them; a second burst finds none until the first has
// left the window.
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
			t.Errorf("%d retries at once, of a budget of 24", n)
		}
		time.Sleep(5 * time.Second)
		if n := take(); n != 0 {
			t.Errorf("%d more within the window", n)
		}
		time.Sleep(6 * time.Second)
		if n := take(); n < 3 || n > 4 {
			t.Errorf("%d retries of the slack after a calm window, of 4", n)
		}
	})
}

// Whatever requests and retries come when, no window holds more retries than the share of
// its requests and the slack. A fleet that went beyond would double an overload.
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
				rt.Fatalf("%d retries in the window before %s, allowed are %.1f", got, end, most)
			}
		}
	})
}

// within counts the times in the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && at.After(end.Add(-window)) {
			n++
		}
	}
	return n
}
