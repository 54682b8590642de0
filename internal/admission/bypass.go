package admission

import (
	"slices"
	"time"
)

const (
	// maxBypassTries limits the requests that are tried when the one whose turn it
	// is cannot start.
	maxBypassTries = 3
	// maxBypassScan limits the workspaces that are searched for such requests.
	maxBypassScan = 32
	// maxBypassed limits how often one request may be bypassed.
	maxBypassed = 64
)

// startBypassing starts another request of the level before w, which cannot start now,
// and reports whether it did. The profiles of a pool may need different targets, for
// example because their adapters are loaded on some targets only. Without bypassing, a
// request whose targets are full would block all others of its level while their
// targets are idle. Requests of the same profile are not tried, because they find no
// more capacity than w, unless they are work-conserving: w may need more than others, or exclude
// targets that others can use. maxBypassed prevents the starvation of a request that needs several slots
// at once by requests that need one.
func (p *pool) startBypassing(w *waiter, now time.Time) bool {
	if w.bypassed >= maxBypassed && !w.request.WorkConserving {
		return false
	}
	l := p.levels[w.request.Urgency]
	tried := []string{}
	if !w.request.WorkConserving {
		tried = append(tried, w.request.Profile)
	}
	tries := 0
	for _, f := range l.waiting[:min(len(l.waiting), maxBypassScan)] {
		other := f.head()
		if other.expired(now) || other == w || !w.request.WorkConserving && slices.Contains(tried, other.request.Profile) {
			continue
		}
		if p.start(other, now) {
			w.bypassed++
			return true
		}
		tried = append(tried, other.request.Profile)
		if tries++; tries == maxBypassTries {
			return false
		}
	}
	return false
}
