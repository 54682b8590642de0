package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"geraniumcroft/internal/incarnation"
)

// cause is a crash that a culprit explains.
type cause struct {
	replica incarnation.Key
	culprit *record
}

// updateCandidate updates whether a record that has changed is a candidate. The caller must hold l.mu.
func (l *Ledger) updateCandidate(r *record) {
	_, was := l.candidates[r]
	if l.thresholdReached(r.identity, r.counted()) {
		l.candidates[r] = struct{}{}
		l.causesStale = true
	} else if was {
		delete(l.candidates, r)
		r.culprit, l.causesStale = false, true
	}
}

// findCulprits decides which candidates are culprits, if they have changed. One crash counts against all that
// ran on its replica, and has one cause. Records with many crashes explain them first; those of the others
// have to be enough without these. Where two identities always come together, the more specific one is the
// culprit. The other one is as soon as one more crash counts against it alone. The result depends on the
// records alone, so VMs with the same records agree. The caller must hold l.mu.
func (l *Ledger) findCulprits() {
	if !l.causesStale {
		return
	}
	l.causesStale, l.causes = false, map[string][]cause{}
	for _, r := range slices.SortedFunc(maps.Keys(l.candidates), compareLikelihood) {
		r.culprit = l.thresholdReached(r.identity, l.unexplained(r, 0))
		if !r.culprit {
			continue
		}
		for _, c := range r.counted() {
			l.causes[c.replica.ID] = append(l.causes[c.replica.ID], cause{replica: c.replica, culprit: r})
		}
	}
}

// compareLikelihood orders records by how likely they are culprits, the likeliest first.
func compareLikelihood(a, b *record) int {
	if order := cmp.Compare(b.crashCount(), a.crashCount()); order != 0 {
		return order
	}
	if a.identity.moreSpecific(b.identity) {
		return -1
	}
	if b.identity.moreSpecific(a.identity) {
		return 1
	}
	return strings.Compare(string(a.identity.Digest[:]), string(b.identity.Digest[:]))
}

// unexplained returns the crashes of a record that no culprit with more than the given number of crashes
// explains. The caller must hold l.mu.
func (l *Ledger) unexplained(r *record, crashes int) []crash {
	return slices.DeleteFunc(r.counted(), func(c crash) bool {
		return slices.ContainsFunc(l.causes[c.replica.ID], func(known cause) bool {
			return c.matches(known.replica) && known.culprit != r && known.culprit.crashCount() > crashes
		})
	})
}
