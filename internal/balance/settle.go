package balance

import "time"

// settle takes the result of a request into the target's health.
func (t *target) settle(r Result, took time.Duration) {
	switch r {
	case ResultOK:
		if t.troubled.Load() {
			t.succeeded()
		}
	case ResultFailed, ResultSlow:
		t.failed()
	}
}

func (t *target) succeeded() {
	t.change(func(now time.Time) {
		if t.health.out {
			t.group.restored()
		}
		t.health.recover(now)
		t.troubled.Store(false)
	})
}

func (t *target) failed() {
	t.change(func(now time.Time) {
		t.troubled.Store(true)
		t.health.failures++
		switch {
		case t.health.ejected(now):
			// A request from before the ejection; the ejection stands as it is.
		case t.health.out:
			t.health.eject(now, t.balancer.settings)
		case t.health.failures >= t.balancer.settings.EjectAfter && t.group.mayEject(t.balancer.settings.MaxEjectedShare):
			t.health.eject(now, t.balancer.settings)
		}
	})
}
