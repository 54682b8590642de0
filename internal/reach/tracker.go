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
	// minGoodRounds rounds of probes in a row must reach a replica directly before this VM counts as
	// connected again. The number doubles, up to maxGoodRounds, with each cut that begins within
	// flapTime after the last one.
	minGoodRounds = 2
	maxGoodRounds = 16
	flapTime      = 30 * time.Second
)

// Tracker records this VM's connection attempts to replicas, and decides whether it is cut off from
// them. It is safe for concurrent use.
type Tracker struct {
	suspicions chan struct{}

	mu sync.Mutex // guards the fields below
	// reachedAt is the time of the last direct attempt that succeeded, zero before the first.
	reachedAt time.Time
	// unreached holds the replicas of the failed attempts since then, with the time of the last one.
	unreached map[string]time.Time
	// failures counts these attempts.
	failures int
	cutOff   bool
	// since is the time of the last change of cutOff.
	since time.Time
	// goodRounds counts the rounds in a row that reached a replica during a cut, neededRounds is how
	// many end it.
	goodRounds   int
	neededRounds int
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspicions: make(chan struct{}, 1), unreached: map[string]time.Time{}, neededRounds: minGoodRounds}
}

// Suspicions returns a channel that gets a value when Suspected has become true.
func (t *Tracker) Suspicions() <-chan struct{} { return t.suspicions }

// Round is the result of a round of probes of replicas.
type Round struct {
	// Probed is the number of replicas, Direct that of those which this VM reached by itself.
	Probed int
	Direct int
	// Peer is a peer that reached one of them, "" if none did or none was asked.
	Peer string
}

// Change is a change of the state of a Tracker, with its evidence.
type Change struct {
	CutOff bool
	// Lasted is how long the state before lasted, 0 if it is the first.
	Lasted time.Duration
	// Unreached are the replicas that were not reached before the change, some of them if there are
	// many, and Failures is the number of attempts.
	Unreached []string
	Failures  int
	// SinceReached is the time since the last successful attempt, 0 before the first.
	SinceReached time.Duration
	// Round is the round of probes that caused the change.
	Round Round
}

// RecordDial records a direct connection attempt to a replica.
func (t *Tracker) RecordDial(address string, reached bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reached {
		t.reachedAt, t.failures = now, 0
		clear(t.unreached)
		return
	}
	t.dropOld(now)
	t.failures++
	if _, known := t.unreached[address]; known || len(t.unreached) < maxUnreached {
		t.unreached[address] = now
	}
	if len(t.unreached) < minUnreached {
		return
	}
	select {
	case t.suspicions <- struct{}{}:
	default:
	}
}

func (t *Tracker) dropOld(now time.Time) {
	maps.DeleteFunc(t.unreached, func(_ string, at time.Time) bool { return now.Sub(at) > evidenceTTL })
}

// Suspected reports whether so many replicas were not reached that this VM may be cut off. A round of
// probes then shows whether it is.
func (t *Tracker) Suspected(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropOld(now)
	return len(t.unreached) >= minUnreached
}

// RecordRound records a round of probes, and returns the change that it causes, nil if there is none.
func (t *Tracker) RecordRound(r Round, now time.Time) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.cutOff {
		if r.Direct > 0 || r.Peer == "" {
			return nil
		}
		t.neededRounds = minGoodRounds << t.flaps(now)
		return t.set(true, r, now)
	}
	if r.Direct == 0 {
		t.goodRounds = 0
		return nil
	}
	if t.goodRounds++; t.goodRounds < t.neededRounds {
		return nil
	}
	return t.set(false, r, now)
}

// flaps returns the number of doublings of minGoodRounds for a cut that begins now. t.mu is held.
func (t *Tracker) flaps(now time.Time) int {
	if t.since.IsZero() || now.Sub(t.since) > flapTime {
		return 0
	}
	doublings := 1
	for rounds := minGoodRounds; rounds < t.neededRounds; rounds *= 2 {
		doublings++
	}
	for minGoodRounds<<doublings > maxGoodRounds {
		doublings--
	}
	return doublings
}

// set changes the state. t.mu is held.
func (t *Tracker) set(cutOff bool, r Round, now time.Time) *Change {
	change := &Change{CutOff: cutOff, Unreached: slices.Sorted(maps.Keys(t.unreached)), Failures: t.failures, Round: r}
	if !t.since.IsZero() {
		change.Lasted = now.Sub(t.since)
	}
	if !t.reachedAt.IsZero() {
		change.SinceReached = now.Sub(t.reachedAt)
	}
	t.cutOff, t.since, t.goodRounds = cutOff, now, 0
	if !cutOff {
		t.failures = 0
		clear(t.unreached)
	}
	return change
}

// CutOff reports whether this VM reaches no replica while peers do.
func (t *Tracker) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}

// CanHelp reports whether this VM may connect peers to replicas: it is not cut off, or the last round of
// probes has reached one. A link that has come back may be used by peers before the cut counts as ended,
// which takes long for one that flaps.
func (t *Tracker) CanHelp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutOff || t.goodRounds > 0
}

// Doubtful reports whether this VM is cut off or may be. What it does not reach then proves nothing.
func (t *Tracker) Doubtful(now time.Time) bool { return t.CutOff() || t.Suspected(now) }

// ReachedSince reports whether a direct attempt has succeeded after the given time.
func (t *Tracker) ReachedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachedAt.After(at)
}

// CutOffSince reports whether this VM was cut off at some time after the given one.
func (t *Tracker) CutOffSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff || t.since.After(at)
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
