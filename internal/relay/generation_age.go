package relay

import "time"

// checkRunAge notes an event of the current run. A run that has lasted long enough clears its
// request.
func (g *generation) checkRunAge(now time.Time) {
	if g.firstEventAt.IsZero() {
		g.firstEventAt = now
	}
	if now.Sub(g.firstEventAt) >= g.h.crashes.crashWindow() {
		g.runSucceeded()
	}
}

// runSucceeded records, once, that a run has shown the request to be harmless.
func (g *generation) runSucceeded() {
	if !g.cleared {
		g.cleared = true
		g.h.crashes.runSucceeded(g.q)
	}
}

// inCrashWindow reports whether the current run is so short that the request may have crashed the
// replica, if the replica has ended.
func (g *generation) inCrashWindow() bool {
	return g.firstEventAt.IsZero() || time.Since(g.firstEventAt) < g.h.crashes.crashWindow()
}
