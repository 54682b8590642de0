package relay

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against refusing callers twice. A VM has no configuration for three seconds, during a
// store outage, and its callers retry once, when they are told to. Each must be told a time after
// which the shortage is likely over, and callers refused together must not all get the same one.
// With 200 ms for all, every caller of the first 2.8 s was refused twice.
func TestCallersComeBackWhenAShortageMayBeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lasts = 3 * time.Second
		s := newShortages()
		began := time.Now()
		twice, all := 0, 0
		for time.Since(began) < lasts {
			all++
			if back := time.Since(began) + s.retryAfter(configShortage, defaultRetryAfter); back < lasts {
				twice++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if twice > all*6/10 {
			t.Errorf("%d of %d callers are refused twice", twice, all)
		}
	})
}

// A shortage is over once nothing was refused for some time. The next one is independent: its first
// callers are not told to wait for as long as the last one lasted.
func TestShortagesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShortages()
		for range 40 {
			s.retryAfter(capacityShortage, defaultRetryAfter)
			time.Sleep(100 * time.Millisecond)
		}
		if wait := s.retryAfter(capacityShortage, defaultRetryAfter); wait < 2*time.Second || wait > maxRetryAfter*5/4 {
			t.Errorf("after 4 s, callers are told to retry after %s", wait)
		}
		if wait := s.retryAfter(pathShortage, defaultRetryAfter); wait > time.Second {
			t.Errorf("another resource: %s", wait)
		}
		time.Sleep(2 * shortageQuietPeriod)
		if wait := s.retryAfter(capacityShortage, defaultRetryAfter); wait > time.Second {
			t.Errorf("a new shortage: %s", wait)
		}
	})
}

// Guards against callers that return before there can be room, or never, as they are told to wait for
// more than a third of the 20 s that they have.
func TestCallersReturnWhenThereMayBeRoom(t *testing.T) {
	const longest = 6600 * time.Millisecond
	for _, least := range []time.Duration{time.Second, maxRetryAfter} {
		for range 1000 {
			if wait := retryAfterFor(0, least); wait < least || wait > longest {
				t.Fatalf("callers are told to retry after %s, where the least is %s and the longest %s", wait, least, longest)
			}
		}
	}
}
