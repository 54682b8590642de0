package pushback

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

var (
	testReplica = incarnation.Key{ID: "desk", Born: 1}
	startTime   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// at returns the time the given number of seconds after startTime.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// observe passes the ledger the answer to a request, with the times of the request and the answer in
// seconds after startTime.
func observe(l *Ledger, signal Signal, sent, answered float64) {
	l.Observe(Origin{Replica: testReplica, Sent: at(sent)}, signal, at(answered))
}

// dumpedLimit returns the limit in the dump, nil if there is none.
func dumpedLimit(l *Ledger) *float64 {
	if entries := l.Dump(at(100)); len(entries) == 1 {
		return entries[0].LimitPerSecond
	}
	return nil
}

// Guards against a limit that stays in force after the replica has answered without one.
func TestAnswerWithoutLimitEndsLimit(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{Limit: LimitOf(5)}, 1, 2)
	if got := dumpedLimit(l); got == nil || *got != 5 {
		t.Fatalf("limit %v", got)
	}
	observe(l, Signal{}, 3, 4)
	if got := dumpedLimit(l); got != nil {
		t.Errorf("limit %v after it ended", *got)
	}
}

// Guards against a limit that is ended by a slow answer to a request that was sent before the limit became
// known.
func TestAnswerToEarlierRequestKeepsLimit(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{Limit: LimitOf(5)}, 1, 2)
	observe(l, Signal{}, 1.5, 3)
	if dumpedLimit(l) == nil {
		t.Error("an answer to an earlier request ended the limit")
	}
}

// Guards against a limit that is ended by an answer whose limit cannot be parsed.
func TestInvalidLimitKeepsPreviousOne(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{Limit: LimitOf(5)}, 1, 2)
	observe(l, Signal{LimitInvalid: true, ParseErr: errors.New("a limit of -1")}, 3, 4)
	if got := dumpedLimit(l); got == nil || *got != 5 {
		t.Errorf("limit %v", got)
	}
}

// Guards against a limit that is applied to the next incarnation of the replica.
func TestRestartedReplicaHasNoLimit(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{Limit: LimitOf(5)}, 1, 2)
	later := incarnation.Key{ID: testReplica.ID, Born: testReplica.Born + 1}
	l.Observe(Origin{Replica: later, Sent: at(3)}, Signal{}, at(4))
	if _, known := l.replicas[later]; known {
		t.Error("the new incarnation has the limit of the previous one")
	}
}

// Guards against a log line and a message to other VMs for each answer of a replica whose limit differs
// slightly each time.
func TestSlightChangesOfLimitAreNotAnnounced(t *testing.T) {
	l, calls := NewLedger(zap.NewNop()), 0
	l.OnChange(func(incarnation.Key) { calls++ })
	for i := range 100 {
		observe(l, Signal{Limit: LimitOf(5 + 0.01*float64(i))}, float64(i), float64(i))
	}
	if got := dumpedLimit(l); calls != 1 || got == nil || *got != 5.99 {
		t.Errorf("OnChange called %d times, want 1; limit %v", calls, got)
	}
	observe(l, Signal{Limit: LimitOf(20)}, 101, 101)
	observe(l, Signal{}, 102, 102)
	if calls != 3 {
		t.Errorf("OnChange called %d times, want 3", calls)
	}
}

// Guards against a queued request that is never woken, because Open reports true while Take fails.
func TestOpenAgreesWithTake(t *testing.T) {
	l := NewLedger(zap.NewNop())
	l.SetFleet(Fleet{Self: "vm-0", Known: true, VMs: fleetVMs(1)}, at(0))
	observe(l, Signal{Limit: LimitOf(3)}, 0, 0)
	now := at(0)
	for range 10000 {
		open, until := l.Open(testReplica, now)
		if open != l.Take(testReplica, now) {
			t.Fatalf("Open returned %t at %s, Take the opposite", open, now)
		}
		if now = now.Add(time.Nanosecond); until.After(now) {
			now = until
		}
	}
}
