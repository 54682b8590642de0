package balance

import (
	"time"

	"geraniumcroft/internal/engine"
)

// onTimer refreshes the target when its timer fires.
func (t *target) onTimer() { t.applyAndNotify(func(time.Time) {}) }

// applyAndNotify is apply followed by a call of the OnFree function if a limit rose.
func (t *target) applyAndNotify(f func(now time.Time)) {
	if t.apply(f) {
		t.balancer.notifyFreed(t)
	}
}

// apply calls f under the lock and refreshes the atomics. It reports whether a limit rose.
func (t *target) apply(f func(now time.Time)) (opened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	f(now)
	return t.refresh(now)
}

// report applies a load report.
func (t *target) report(r engine.LoadReport) {
	t.applyAndNotify(func(now time.Time) {
		at := t.load.localTime(r.At, now)
		t.load.applyReport(r, at, now, int(t.inFlight.Load())-t.sent.since(at, now))
		t.busy.endIfFree(at, r.Active+r.Queued < t.slots(now))
		if t.health.readmitsUnprobed(now, t.balancer.settings) {
			t.recover(t.balancer.settings.EjectAfter - 1)
		}
	})
}
