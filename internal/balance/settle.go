package balance

import (
	"time"

	"geraniumcroft/internal/config"
)

// settle takes the result of a request into the target's health.
func (t *target) settle(r Result, started, now time.Time) {
	if r == ResultOK && t.tooSlow(now.Sub(started)) {
		r = ResultSlow
	}
	switch r {
	case ResultOK:
		if t.troubled.Load() {
			t.succeeded(started)
		}
	case ResultFailed, ResultSlow:
		t.failed(started)
	case ResultBusy:
		t.refusedBusy()
	}
}

// tooSlow compares the answers of a plain service's instances. The time of a
// generation depends on its length, so there only the router can tell.
func (t *target) tooSlow(took time.Duration) bool {
	if t.config.Load().Kind != config.KindService {
		return false
	}
	return t.group.Load().slow(t, took, t.balancer.settings.SlowFactor)
}

func (t *target) succeeded(started time.Time) {
	t.change(func(time.Time) {
		if t.health.stale(started) {
			return
		}
		t.recover(0)
	})
}

// recover lets the target in again, with that many failures held against it.
func (t *target) recover(failures int) {
	t.health = health{failures: failures}
	t.out.Store(false)
	t.troubled.Store(failures > 0)
}

func (t *target) failed(started time.Time) {
	s := t.balancer.settings
	t.change(func(now time.Time) {
		if t.health.stale(started) {
			return
		}
		t.troubled.Store(true)
		t.health.failures++
		if t.health.out || t.health.failures >= s.EjectAfter && t.group.Load().tryEject(t, s.MaxEjectedShare) {
			t.health.eject(now, s)
		}
	})
}
