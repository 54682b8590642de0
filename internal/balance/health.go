package balance

import "time"

// health is the failure state of one target: healthy, ejected until a time, or
// half-open, when one request at a time probes it.
type health struct {
	failures  int
	ejections int
	out       bool
	until     time.Time
	// lastOK is when the last good answer came.
	lastOK time.Time
}

func (h *health) ejected(now time.Time) bool { return h.out && now.Before(h.until) }

func (h *health) halfOpen(now time.Time) bool { return h.out && !now.Before(h.until) }

// reported notes that the target sent a load report. A report alone proves too
// little: a target can answer for its load and still fail every request.
func (h *health) reported() {}

func (h *health) eject(now time.Time, s Settings) {
	h.out = true
	hold := s.EjectFor << min(h.ejections, 16)
	if hold <= 0 || hold > s.MaxEjectFor {
		hold = s.MaxEjectFor
	}
	h.until = now.Add(hold)
	h.ejections++
}

func (h *health) recover(now time.Time) {
	*h = health{lastOK: now}
}
