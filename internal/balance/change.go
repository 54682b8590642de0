package balance

import (
	"time"

	"geraniumcroft/internal/engine"
)

// elapsed runs when the timer fires.
func (t *target) elapsed() { t.change(func(time.Time) {}) }

// change applies f under the lock, refreshes, and tells of freed capacity.
func (t *target) change(f func(now time.Time)) {
	if t.changeQuietly(f) {
		t.balancer.freed(t)
	}
}

func (t *target) changeQuietly(f func(now time.Time)) (opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	f(now)
	return t.refresh(now)
}

func (t *target) report(r engine.LoadReport) {
	t.change(func(now time.Time) {
		at := t.load.localTime(r.At, now)
		t.load.take(r, at, now, int(t.inFlight.Load())-t.sent.since(at, now))
		t.busy.reported(at, r.Active+r.Queued < t.slots(now))
		if t.health.paroled(now, t.balancer.settings) {
			t.recover(t.balancer.settings.EjectAfter - 1)
		}
	})
}
