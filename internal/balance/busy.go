package balance

import "time"

// maxBusyDoublings bounds how far repeated busy answers prolong the hold.
const maxBusyDoublings = 4

// busyHold caps a target that answered busy at what this VM has there.
type busyHold struct {
	at     time.Time
	until  time.Time
	cap    int
	streak int
}

// Busy says what ResultBusy says, apart from a slot's Release; call it after that.
func (b *Balancer) Busy(name string) {
	if t := b.view.Load().targets[name]; t != nil {
		t.refusedBusy()
	}
}

// refusedBusy corrects an estimate that was too low. The target gets no more than
// it has for BusyHold, doubled with each such answer in a row, or until a newer
// report shows room; what ends meanwhile may be replaced. Without the doubling,
// VMs that all have work queued would keep trying full targets for the slots that
// others leave, and most of their requests would make the way for nothing.
func (t *target) refusedBusy() {
	t.change(func(now time.Time) {
		t.balancer.noteDenied(t, now)
		t.busy.add(now, int(t.inFlight.Load()), t.balancer.settings.BusyHold)
	})
}

func (h *busyHold) add(now time.Time, inFlight int, hold time.Duration) {
	if now.Sub(h.until) > hold<<h.streak {
		h.streak = 0
	}
	h.at = now
	h.until = now.Add(hold << h.streak)
	h.cap = inFlight
	h.streak = min(h.streak+1, maxBusyDoublings)
}

func (h *busyHold) holds(now time.Time) bool { return now.Before(h.until) }

// reported ends the hold when a newer report shows room.
func (h *busyHold) reported(at time.Time, room bool) {
	if room && at.After(h.at) {
		h.until = time.Time{}
	}
}
