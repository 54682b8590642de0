package relay

import (
	"testing"
	"testing/synctest"
	"time"
)

// A VM knows no configuration for three seconds, as the store is away. Its callers come
// back once, when they are told to. Each that is refused must be told a time after which
// the lack is likely over, and those refused together not the same one; with 200 ms for
// all, whoever came in the first 2.8 s was refused twice.
func TestCallersComeBackWhenAShortageMayBeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lasts = 3 * time.Second
		s := newShortages()
		began := time.Now()
		twice, all := 0, 0
		for time.Since(began) < lasts {
			all++
			if back := time.Since(began) + s.retryAfter(lackOfConfig, soon); back < lasts {
				twice++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if twice > all*6/10 {
			t.Errorf("%d of %d callers are refused twice", twice, all)
		}
	})
}

// A shortage is over once nothing was refused for a while; the next one begins anew, and
// the first who meet it are not sent away for as long as the last one took.
func TestShortagesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShortages()
		for range 40 {
			s.retryAfter(lackOfRoom, soon)
			time.Sleep(100 * time.Millisecond)
		}
		if wait := s.retryAfter(lackOfRoom, soon); wait < 2*time.Second || wait > longestReturn*5/4 {
			t.Errorf("after 4 s callers are to come back after %s", wait)
		}
		if wait := s.retryAfter(lackOfPath, soon); wait > time.Second {
			t.Errorf("another lack: %s", wait)
		}
		time.Sleep(2 * calmAfter)
		if wait := s.retryAfter(lackOfRoom, soon); wait > time.Second {
			t.Errorf("a new shortage: %s", wait)
		}
	})
}
