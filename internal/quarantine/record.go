package quarantine

import (
	"slices"
	"time"

	"geraniumcroft/internal/incarnation"
)

const (
	// maxCrashes limits the crashes that are kept per request.
	maxCrashes = 16
	// maxExcused is the number of crashes that earlier successful runs excuse, unless all are within excuseSpan,
	// as when a rack fails.
	maxExcused = 6
	excuseSpan = 3 * time.Second
)

// crash is the crash of one replica incarnation while it ran the request.
type crash struct {
	replica incarnation.Key
	at      time.Time
	// excused is set if an earlier run was successful, cleared if a later one was or an operator lifted the
	// quarantine.
	excused, cleared bool
}

// matches reports whether c is a crash of the given incarnation. If only one of two VMs knows the
// start time of a replica, both crashes count as those of one incarnation.
func (c crash) matches(k incarnation.Key) bool {
	return c.replica.ID == k.ID && (c.replica.Born == k.Born || c.replica.Born <= 0 || k.Born <= 0)
}

// merge merges another VM's record of the same crash into c. The earlier time wins. It reports
// whether c changed.
func (c *crash) merge(other crash) bool {
	updated := other.cleared && !c.cleared || other.excused && !c.excused
	c.cleared, c.excused = c.cleared || other.cleared, c.excused || other.excused
	if c.at.Sub(other.at) > timeTolerance {
		c.at, updated = other.at, true
	}
	return updated
}

// timeTolerance is the difference below which two times of a crash count as equal, because reports
// round times.
const timeTolerance = 10 * time.Millisecond

// record holds the crashes of one identity.
type record struct {
	identity Identity
	crashes  []crash
	// culprit is set if the crashes that no likelier record explains are enough for a quarantine.
	culprit bool
	// lastSeen is the time at which a caller last sent the request while it was quarantined, or the
	// time of its last crash.
	lastSeen time.Time
	// revision is the revision of the ledger after the last change of the record.
	revision uint64
}

// add adds a crash, or merges it into the known crash of the same incarnation. It reports whether
// the record changed.
func (r *record) add(c crash) bool {
	if i := slices.IndexFunc(r.crashes, func(known crash) bool { return known.matches(c.replica) }); i >= 0 {
		return r.crashes[i].merge(c)
	}
	if len(r.crashes) >= maxCrashes && !r.dropCleared() {
		return false
	}
	r.crashes = append(r.crashes, c)
	r.touch(c.at)
	return true
}

// dropCleared removes the oldest cleared crash and reports whether there was one.
func (r *record) dropCleared() bool {
	oldest := -1
	for i, c := range r.crashes {
		if c.cleared && (oldest < 0 || c.at.Before(r.crashes[oldest].at)) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	r.crashes = slices.Delete(r.crashes, oldest, oldest+1)
	return true
}

// touch sets lastSeen to at if that is later.
func (r *record) touch(at time.Time) {
	if at.After(r.lastSeen) {
		r.lastSeen = at
	}
}

// knows reports whether the crash of an incarnation is recorded.
func (r *record) knows(replica incarnation.Key) bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.matches(replica) })
}

// crashCount returns the number of crashes that count against the request.
func (r *record) crashCount() int { return len(r.counted()) }

// counted returns the crashes that count against the request. Excuses lapse with maxExcused crashes, at
// different times, since the last successful run: what was sound before may crash replicas now.
func (r *record) counted() []crash {
	uncleared := slices.DeleteFunc(slices.Clone(r.crashes), func(c crash) bool { return c.cleared })
	if len(uncleared) > maxExcused && spanOf(uncleared) >= excuseSpan {
		return uncleared
	}
	return slices.DeleteFunc(uncleared, func(c crash) bool { return c.excused })
}

// spanOf returns the time between the first and the last of the crashes.
func spanOf(crashes []crash) time.Duration {
	if len(crashes) == 0 {
		return 0
	}
	byTime := func(a, b crash) int { return a.at.Compare(b.at) }
	return slices.MaxFunc(crashes, byTime).at.Sub(slices.MinFunc(crashes, byTime).at)
}

// replicas returns the sorted names of the replicas whose crashes count against the request.
func (r *record) replicas() []string {
	var names []string
	for _, c := range r.counted() {
		names = append(names, c.replica.String())
	}
	slices.Sort(names)
	return names
}

// clearCrashes marks all crashes as cleared and reports whether any was not yet.
func (r *record) clearCrashes() bool {
	changed := false
	for i := range r.crashes {
		changed = changed || !r.crashes[i].cleared
		r.crashes[i].cleared = true
	}
	return changed
}

// report returns the record as a Report with times relative to epoch.
func (r *record) report(epoch time.Time) Report {
	report := Report{
		Digest: r.identity.Digest, Part: r.identity.Part, Position: r.identity.Position, SeenMS: r.lastSeen.Sub(epoch).Milliseconds(),
	}
	for _, c := range r.crashes {
		report.Crashes = append(report.Crashes, Crash{Replica: c.replica, AtMS: c.at.Sub(epoch).Milliseconds(), Cleared: c.cleared || c.excused, Excused: c.excused && !c.cleared})
	}
	return report
}

// recordFromReport converts a report to a record. Times after now, which a faulty peer may send, are
// set to now.
func recordFromReport(report Report, epoch, now time.Time) *record {
	at := func(ms int64) time.Time {
		if t := epoch.Add(time.Duration(ms) * time.Millisecond); t.Before(now) {
			return t
		}
		return now
	}
	r := &record{identity: report.identity()}
	for _, c := range report.Crashes {
		r.add(crash{replica: c.Replica, at: at(c.AtMS), cleared: c.Cleared && !c.Excused, excused: c.Excused})
	}
	r.touch(at(report.SeenMS))
	return r
}
