package reach

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// minUnreached is the number of replicas that must not have been reached in a row. One of them
	// may have crashed.
	minUnreached = 2
	// maxUnreached bounds the replicas that are remembered.
	maxUnreached = 8
	// evidenceTTL is how long a failed connection attempt counts.
	evidenceTTL = 5 * time.Second
)

// Tracker records this VM's connection attempts to replicas. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex // guards the fields below
	// reachedAt is the time of the last attempt that succeeded, zero before the first.
	reachedAt time.Time
	// unreached holds the replicas of the failed attempts since then, with the time of the last one.
	unreached map[string]time.Time
	// failures counts these attempts.
	failures int
	cutOff   bool
	// since is the time of the last change of cutOff.
	since time.Time
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker { return &Tracker{unreached: map[string]time.Time{}} }

// Change is a change of the state of a Tracker, with its evidence.
type Change struct {
	CutOff bool
	// Lasted is how long the state before lasted, 0 if it is the first.
	Lasted time.Duration
	// Unreached are the replicas that were not reached, some of them if there are many, and Failures
	// is the number of attempts. They are of the time before the change.
	Unreached []string
	Failures  int
	// SinceReached is the time since the last successful attempt, 0 before the first.
	SinceReached time.Duration
}

// RecordDial records a connection attempt to a replica, and returns the change of the state that it
// causes, nil if there is none.
func (t *Tracker) RecordDial(address string, reached bool, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reached {
		change := t.set(false, now)
		t.reachedAt, t.failures = now, 0
		clear(t.unreached)
		return change
	}
	maps.DeleteFunc(t.unreached, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceTTL })
	t.failures++
	if _, known := t.unreached[address]; known || len(t.unreached) < maxUnreached {
		t.unreached[address] = now
	}
	return t.set(t.cutOff || len(t.unreached) >= minUnreached, now)
}

// set sets the state and returns the change, nil if there is none. t.mu is held.
func (t *Tracker) set(cutOff bool, now time.Time) *Change {
	if cutOff == t.cutOff {
		return nil
	}
	change := &Change{CutOff: cutOff, Unreached: slices.Sorted(maps.Keys(t.unreached)), Failures: t.failures}
	if !t.since.IsZero() {
		change.Lasted = now.Sub(t.since)
	}
	if !t.reachedAt.IsZero() {
		change.SinceReached = now.Sub(t.reachedAt)
	}
	t.cutOff, t.since = cutOff, now
	return change
}

// CutOff reports whether this VM seems to reach no replica.
func (t *Tracker) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}

// Dump is the state of a Tracker for operators.
type Dump struct {
	CutOff    bool      `json:"cutOff"`
	Since     time.Time `json:"since,omitzero"`
	ReachedAt time.Time `json:"reachedAt,omitzero"`
	Unreached []string  `json:"unreached,omitempty"`
	Failures  int       `json:"failures"`
}

// Dump returns the state.
func (t *Tracker) Dump() Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Dump{CutOff: t.cutOff, Since: t.since, ReachedAt: t.reachedAt, Unreached: slices.Sorted(maps.Keys(t.unreached)), Failures: t.failures}
}
