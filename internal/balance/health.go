package balance

import "time"

// health is the failure state of one target: healthy, ejected until a time, or
// half-open, when one more request at a time probes it.
type health struct {
	// failures counts failures in a row, ejections those since the last good answer.
	failures  int
	ejections int
	out       bool
	since     time.Time
	until     time.Time
	// probeCap bounds the requests in flight while half-open: those from before
	// the ejection and one probe. It is 0 until the target is found half-open.
	probeCap int
}

func (h *health) ejected(now time.Time) bool { return h.out && now.Before(h.until) }

func (h *health) halfOpen(now time.Time) bool { return h.out && !now.Before(h.until) }

// stale reports whether a request that started then says nothing new: it was
// sent before the ejection, and how it ends was decided then.
func (h *health) stale(started time.Time) bool { return h.out && started.Before(h.since) }

func (h *health) eject(now time.Time, s Settings) {
	hold := s.EjectFor << min(h.ejections, maxEjectionDoublings)
	h.out = true
	h.since = now
	h.until = now.Add(min(hold, s.MaxEjectFor))
	h.probeCap = 0
	h.ejections++
}

// maxEjectionDoublings keeps the shift of the ejection time from overflowing.
const maxEjectionDoublings = 10

// paroled reports whether a half-open target is to be let in without a probe: it
// has sent load reports all through, but no request came that could probe it.
func (h *health) paroled(now time.Time, s Settings) bool {
	return h.halfOpen(now) && now.Sub(h.until) >= s.MaxEjectFor/paroleShare
}

// paroleShare divides MaxEjectFor into the time without a probe after which a
// target that reports its load is let in.
const paroleShare = 3
