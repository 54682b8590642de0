package admission

import (
	"slices"
	"time"
)

const (
	// lookPast is how many workspaces' next requests are tried when the one whose
	// turn it is cannot start.
	lookPast = 3
	// scanPast bounds how many workspaces are looked at for that.
	scanPast = 32
	// maxPassed is how often one request may be passed.
	maxPassed = 64
)

// startPast starts a request that may pass w, which cannot start now. Profiles of
// one pool can need different targets, for instance as their adapters are loaded on
// some only; without passing, one whose targets are full would hold up all others
// of its level while theirs are idle. A request of the same profile finds no more
// room than w and is not tried. The bound on passing keeps a request that needs
// several slots at once from being starved by those that need one.
func (p *pool) startPast(w *waiter, now time.Time) bool {
	if w.passed >= maxPassed {
		return false
	}
	l := p.levels[w.request.Urgency]
	tried := [lookPast + 1]string{w.request.Profile}
	count := 1
	for _, f := range l.waiting[:min(len(l.waiting), scanPast)] {
		other := f.head()
		if other.tooLate(now) || slices.Contains(tried[:count], other.request.Profile) {
			continue
		}
		if p.start(other, now) {
			w.passed++
			return true
		}
		tried[count] = other.request.Profile
		if count++; count == len(tried) {
			return false
		}
	}
	return false
}
