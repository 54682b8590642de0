package balance

import "time"

// health is the failure state of one target. It is healthy, ejected until some time, or
// half-open, when one additional request at a time probes it.
type health struct {
	// failures counts failures in a row, ejections those since the last success.
	failures  int
	ejections int
	unhealthy bool
	since     time.Time
	until     time.Time
	// probeCap limits the requests in flight while the target is half-open: those sent
	// before the ejection and one probe. It is 0 until the target is found to be half-open.
	probeCap int
}

// ejected reports whether the target is ejected and not yet half-open.
func (h *health) ejected(now time.Time) bool { return h.unhealthy && now.Before(h.until) }

// halfOpen reports whether the ejection is over but no probe has succeeded yet.
func (h *health) halfOpen(now time.Time) bool { return h.unhealthy && !now.Before(h.until) }

// predatesEjection reports whether a request was sent before the ejection. Its result then
// says nothing about the target's present state.
func (h *health) predatesEjection(started time.Time) bool {
	return h.unhealthy && started.Before(h.since)
}

// eject ejects the target. The time doubles with each ejection in a row, up to MaxEjectFor.
func (h *health) eject(now time.Time, s Settings) {
	hold := s.EjectFor << min(h.ejections, maxEjectionDoublings)
	h.unhealthy = true
	h.since = now
	h.until = now.Add(min(hold, s.MaxEjectFor))
	h.probeCap = 0
	h.ejections++
}

// maxEjectionDoublings keeps the shift of the ejection time from overflowing.
const maxEjectionDoublings = 10

// readmitsUnprobed reports whether a half-open target is to be readmitted without a probe
// because no request could probe it for a while. The caller has just received a load report
// from it.
func (h *health) readmitsUnprobed(now time.Time, s Settings) bool {
	return h.halfOpen(now) && now.Sub(h.until) >= s.MaxEjectFor/unprobedDivisor
}

// unprobedDivisor divides MaxEjectFor into the time without a probe after which a target
// that reports its load is readmitted.
const unprobedDivisor = 3
