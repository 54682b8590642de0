package relay

import "time"

// progressed notes an event of the present run; one that has run for a while clears its request.
func (g *generation) progressed(now time.Time) {
	if g.began.IsZero() {
		g.began = now
	}
	if now.Sub(g.began) >= g.h.crashes.youngRun() {
		g.ranWell()
	}
}

// ranWell notes that a run shows the request to be harmless.
func (g *generation) ranWell() {
	if !g.cleared {
		g.cleared = true
		g.h.crashes.ranWell(g.q)
	}
}

// young reports whether the present run may have crashed its replica, if that has ended.
func (g *generation) young() bool {
	return g.began.IsZero() || time.Since(g.began) < g.h.crashes.youngRun()
}
