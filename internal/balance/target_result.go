package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// recordResult applies the result of a request to the target's health.
func (t *target) recordResult(r Result, started, now time.Time) {
	if r == ResultOK && t.tooSlow(now.Sub(started)) {
		r = ResultSlow
	}
	switch r {
	case ResultOK:
		if t.hasFailures.Load() {
			t.recordSuccess(started)
		}
	case ResultFailed, ResultSlow:
		t.recordFailure(started)
	case ResultBusy:
		t.recordBusy()
	}
}

// tooSlow reports whether an answer took much longer than usual for the instances of a plain
// service. The time of a generation depends on its length, so the router judges those.
func (t *target) tooSlow(took time.Duration) bool {
	if t.config.Load().Kind != config.KindService {
		return false
	}
	return t.group.Load().recordAndCompare(t, took, t.balancer.settings.SlowFactor)
}

// recordSuccess readmits the target and clears its failures.
func (t *target) recordSuccess(started time.Time) {
	t.applyAndNotify(func(time.Time) {
		if t.health.predatesEjection(started) {
			return
		}
		t.recover(0)
	})
}

// recover ends an ejection. The target keeps the given number of failures. t.mu is held.
func (t *target) recover(failures int) {
	t.health = health{failures: failures}
	t.unhealthy.Store(false)
	t.hasFailures.Store(failures > 0)
}

// recordFailure counts a failure and ejects the target if it fails its probe, or if it has
// failed EjectAfter times in a row and the limit of ejected targets allows it.
func (t *target) recordFailure(started time.Time) {
	s := t.balancer.settings
	t.applyAndNotify(func(now time.Time) {
		if t.health.predatesEjection(started) {
			return
		}
		t.hasFailures.Store(true)
		t.health.failures++
		if t.health.unhealthy || t.health.failures >= s.EjectAfter && t.group.Load().tryEject(t, s.MaxEjectedShare) {
			t.health.eject(now, s)
		}
	})
}
