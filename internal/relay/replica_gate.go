package relay

import (
	"sync"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/layers"
	"geraniumcroft/internal/pushback"
)

// ReplicaGate withholds requests from replicas as these have asked, and wakes what waits for a
// replica once it may be sent requests again. It is safe for concurrent use.
type ReplicaGate struct {
	ledger *pushback.Ledger
	wake   func()

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// due is when the timer fires, zero if it is not armed.
	due time.Time
}

var (
	_ layers.Gate  = (*ReplicaGate)(nil)
	_ balance.Gate = TargetGate{}
)

// NewReplicaGate returns a gate that calls wake when a replica may be sent requests again.
func NewReplicaGate(ledger *pushback.Ledger, wake func()) *ReplicaGate {
	return &ReplicaGate{ledger: ledger, wake: wake}
}

// Open implements layers.Gate.
func (g *ReplicaGate) Open(replica incarnation.Key, now time.Time) (open bool, at time.Time) {
	if open, at = g.ledger.Open(replica, now); !open && !at.IsZero() {
		g.wakeAt(at, now)
	}
	return open, at
}

// Take implements layers.Gate.
func (g *ReplicaGate) Take(replica incarnation.Key, now time.Time) bool {
	return g.ledger.Take(replica, now)
}

// wakeAt arms the timer for the given time unless it fires before that.
func (g *ReplicaGate) wakeAt(at, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.due.IsZero() && !at.Before(g.due) {
		return
	}
	g.due = at
	if g.timer == nil {
		g.timer = time.AfterFunc(at.Sub(now), g.fire)
		return
	}
	g.timer.Reset(at.Sub(now))
}

// fire disarms the timer and calls wake.
func (g *ReplicaGate) fire() {
	g.mu.Lock()
	g.due = time.Time{}
	g.mu.Unlock()
	g.wake()
}

// TargetGate is a ReplicaGate for users that identify replicas by the names of their targets.
type TargetGate struct{ *ReplicaGate }

// Open implements balance.Gate.
func (g TargetGate) Open(target string, now time.Time) (open bool, at time.Time) {
	if !g.ledger.Active() {
		return true, time.Time{}
	}
	return g.ReplicaGate.Open(incarnation.Parse(target), now)
}

// Take implements balance.Gate.
func (g TargetGate) Take(target string, now time.Time) bool {
	return !g.ledger.Active() || g.ledger.Take(incarnation.Parse(target), now)
}
