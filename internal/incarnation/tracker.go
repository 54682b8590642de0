package incarnation

import (
	"sync"
	"time"
)

const (
	// maxClockSkew is how far in the future a start time may be, since the clocks of VMs and
	// replicas differ. A start time further ahead would make every later one look earlier.
	maxClockSkew = 10 * time.Second
	// minSilence is how long there must have been no report of the later incarnation before an
	// earlier start time is accepted: a replica whose clock was set back starts "before" its
	// predecessor and would otherwise be ignored for good. It exceeds the time for which a late
	// write of a dead replica can stand: the next heartbeat of the successor, after about 1.2 s,
	// overwrites it, and reports come every second.
	minSilence = 5 * time.Second
	// retention is how long an incarnation is remembered after its last report. Abandoned writes
	// take effect within seconds.
	retention = 5 * time.Minute
)

// Tracker records the newest incarnation of each replica. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex // guards the fields below
	replicas map[string]*replicaState
	// missingReported says that FaultMissing was already reported. It is reported once for all
	// replicas, since most replicas report no start time if one does not.
	missingReported bool
}

// replicaState is the newest incarnation of one id.
type replicaState struct {
	born int64
	// lastReport is when its last report arrived.
	lastReport time.Time
	// earlier is a start time before born that was reported since then; earlierSince is when it
	// was first reported.
	earlier      int64
	earlierSince time.Time
	// reported holds the faults that were already reported.
	reported map[Fault]bool
}

// NewTracker returns a Tracker that knows no replicas.
func NewTracker() *Tracker { return &Tracker{replicas: map[string]*replicaState{}} }

// Observation is the result of Tracker.Observe for one report about a replica.
type Observation struct {
	// Key is the incarnation to which the report applies; see Superseded.
	Key Key
	// Previous is the incarnation that was the newest one before, if Restarted is set.
	Previous  Key
	Restarted bool
	// Superseded says that the report is from an incarnation that has been succeeded. It is late
	// and says nothing about the present incarnation, which is Key.
	Superseded bool
	// Fault says what is wrong with the start time; it is FaultNone if nothing is.
	Fault Fault
	// FirstReport says that this fault has not been reported before for this replica, or, if it is
	// FaultMissing, for any replica.
	FirstReport bool
}

// Observe records a report from the incarnation k, received at the given time. A report with an
// unusable start time counts for the incarnation that is known.
func (t *Tracker) Observe(k Key, now time.Time) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.replicas[k.ID]
	if l == nil {
		l = &replicaState{reported: map[Fault]bool{}}
		t.replicas[k.ID] = l
	}
	h := Observation{Key: k, Fault: startFault(k, now)}
	switch {
	case h.Fault != FaultNone:
		l.lastReport = now
	case k.Born > l.born:
		h.Previous, h.Restarted = Key{ID: k.ID, Born: l.born}, l.born > 0
		l.replace(k.Born, now)
	case k.Born < l.born:
		h.Previous = Key{ID: k.ID, Born: l.born}
		h.Fault = FaultEarlier
		h.Restarted = l.acceptEarlier(k.Born, now)
		h.Superseded = !h.Restarted
	default:
		l.lastReport, l.earlier = now, 0
	}
	h.Key.Born = l.born
	h.FirstReport = t.firstReport(l, h.Fault)
	return h
}

// firstReport reports whether a fault is reported for the first time, for this replica or, if it
// is FaultMissing, for any.
func (t *Tracker) firstReport(l *replicaState, fault Fault) bool {
	switch {
	case fault == FaultNone, l.reported[fault], fault == FaultMissing && t.missingReported:
		return false
	case fault == FaultMissing:
		t.missingReported = true
	}
	l.reported[fault] = true
	return true
}

func startFault(k Key, now time.Time) Fault {
	switch {
	case k.Born == BornMissing:
		return FaultMissing
	case k.Born < 0:
		return FaultUnreadable
	case time.UnixMilli(k.Born).After(now.Add(maxClockSkew)):
		return FaultAhead
	}
	return FaultNone
}

func (l *replicaState) replace(born int64, now time.Time) {
	l.born, l.lastReport, l.earlier = born, now, 0
}

// acceptEarlier takes over an earlier start time and returns true, once there was no report of the
// later incarnation for minSilence, during which the earlier start time was reported.
func (l *replicaState) acceptEarlier(born int64, now time.Time) bool {
	if l.earlier != born {
		l.earlier, l.earlierSince = born, now
	}
	if now.Sub(l.earlierSince) < minSilence || now.Sub(l.lastReport) < minSilence {
		return false
	}
	l.replace(born, now)
	return true
}

// Newest returns the newest known incarnation of the replica.
func (t *Tracker) Newest(id string) Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := Key{ID: id}
	if l := t.replicas[id]; l != nil {
		k.Born = l.born
	}
	return k
}

// Forget removes replicas that are not listed and that have not been reported for the retention
// time.
func (t *Tracker) Forget(listed func(id string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.replicas {
		if !listed(id) && now.Sub(l.lastReport) > retention {
			delete(t.replicas, id)
		}
	}
}
