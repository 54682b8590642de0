package pushback

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

var (
	desk    = incarnation.Key{ID: "desk", Born: 1}
	started = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// at is a moment of the tests.
func at(seconds float64) time.Time {
	return started.Add(time.Duration(seconds * float64(time.Second)))
}

// hear takes the answer to a request that was sent and answered at the given seconds.
func hear(l *Ledger, signal Signal, sent, answered float64) {
	l.Observe(Origin{Replica: desk, Sent: at(sent)}, signal, at(answered))
}

func named(l *Ledger) *float64 {
	if entries := l.Dump(at(100)); len(entries) == 1 {
		return entries[0].LimitPerSecond
	}
	return nil
}

func TestLimitEndsWithAnAnswerThatNamesNone(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{Limit: LimitOf(5)}, 1, 2)
	if got := named(l); got == nil || *got != 5 {
		t.Fatalf("limit %v", got)
	}
	hear(l, Signal{}, 3, 4)
	if got := named(l); got != nil {
		t.Errorf("limit %v after it ended", *got)
	}
}

// Guards against a limit that is lost as a slow answer to an earlier request comes in.
func TestAnswerToAnEarlierRequestEndsNoLimit(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{Limit: LimitOf(5)}, 1, 2)
	hear(l, Signal{}, 1.5, 3)
	if named(l) == nil {
		t.Error("the limit is gone")
	}
}

// Guards against a limit that is lost as the next one can't be read.
func TestUnreadableLimitLeavesTheOneBefore(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{Limit: LimitOf(5)}, 1, 2)
	hear(l, Signal{LimitInvalid: true, ParseErr: errors.New("a limit of -1")}, 3, 4)
	if got := named(l); got == nil || *got != 5 {
		t.Errorf("limit %v", got)
	}
}

func TestRestartedReplicaHasNoLimitUntilItNamesOne(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{Limit: LimitOf(5)}, 1, 2)
	later := incarnation.Key{ID: desk.ID, Born: desk.Born + 1}
	l.Observe(Origin{Replica: later, Sent: at(3)}, Signal{}, at(4))
	if _, known := l.replicas[later]; known {
		t.Error("the later incarnation has the limit of the one before")
	}
}

// Guards against a line in the log and a message to the others for each answer of a replica whose limit
// differs slightly each time.
func TestSlightChangesOfALimitAreNotTold(t *testing.T) {
	l, told := NewLedger(zap.NewNop()), 0
	l.OnChange(func(incarnation.Key) { told++ })
	for i := range 100 {
		hear(l, Signal{Limit: LimitOf(5 + 0.01*float64(i))}, float64(i), float64(i))
	}
	if got := named(l); told != 1 || got == nil || *got != 5.99 {
		t.Errorf("told %d times, limit %v", told, got)
	}
	hear(l, Signal{Limit: LimitOf(20)}, 101, 101)
	hear(l, Signal{}, 102, 102)
	if told != 3 {
		t.Errorf("told %d times, want 3", told)
	}
}

// Guards against a request that waits without being woken, as a replica counts as open and takes nothing.
func TestReplicaThatTakesNothingIsNotOpen(t *testing.T) {
	l := NewLedger(zap.NewNop())
	l.SetFleet(Fleet{Self: "vm-0", Known: true, VMs: fleetOf(1)}, at(0))
	hear(l, Signal{Limit: LimitOf(3)}, 0, 0)
	now := at(0)
	for range 10000 {
		open, until := l.Open(desk, now)
		if open != l.Take(desk, now) {
			t.Fatalf("open %t at %s, and Take says otherwise", open, now)
		}
		if now = now.Add(time.Nanosecond); until.After(now) {
			now = until
		}
	}
}
