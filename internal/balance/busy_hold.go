package balance

import "time"

// maxBusyDoublings limits how often consecutive busy answers double the hold.
const maxBusyDoublings = 4

// busyHold limits the requests in flight at a target that answered busy.
type busyHold struct {
	// at is when the last busy answer arrived, until is when the hold ends.
	at    time.Time
	until time.Time
	// cap is the limit of requests in flight, streak how often the next hold is doubled.
	cap    int
	streak int
}

// ReportBusy records a busy answer as ResultBusy does, but apart from a slot's Release. Call
// it after the release.
func (b *Balancer) ReportBusy(name string) {
	if t := b.view.Load().targets[name]; t != nil {
		t.recordBusy()
	}
}

// recordBusy corrects a load estimate that was too low. For BusyHold, doubled with each
// busy answer in a row, or until a newer report shows a free slot, the target gets no more
// requests than it has; those that end may be replaced. Without the doubling, VMs that all
// have queued work would keep trying full targets for the slots that others free, and most
// of their requests would be sent in vain.
func (t *target) recordBusy() {
	t.applyAndNotify(func(now time.Time) {
		t.balancer.recordDenied(t, now)
		t.busy.extend(now, int(t.inFlight.Load()), t.balancer.settings.BusyHold)
	})
}

// extend starts the hold, or prolongs it if the last one ended not long ago.
func (h *busyHold) extend(now time.Time, inFlight int, hold time.Duration) {
	if now.Sub(h.until) > hold<<h.streak {
		h.streak = 0
	}
	h.at = now
	h.until = now.Add(hold << h.streak)
	h.cap = inFlight
	h.streak = min(h.streak+1, maxBusyDoublings)
}

// active reports whether the hold is in force.
func (h *busyHold) active(now time.Time) bool { return now.Before(h.until) }

// endIfFree ends the hold if a report that is newer than the busy answer shows a free slot.
func (h *busyHold) endIfFree(at time.Time, free bool) {
	if free && at.After(h.at) {
		h.until = time.Time{}
	}
}
