package pushback

import (
	"testing"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// Guards against a replica that is sent requests again as one of its answers does not say that it leaves.
func TestReplicaLeavesUntilItsIncarnationEnds(t *testing.T) {
	l := NewLedger(zap.NewNop())
	told := 0
	l.OnLeaving(func(incarnation.Key) { told++ })
	hear(l, Signal{Leaving: true}, 0, 1)
	hear(l, Signal{}, 2, 3)
	hear(l, Signal{Leaving: true}, 4, 5)
	if !l.Leaving(desk) || l.CheckSend(desk, at(6)) == nil || told != 1 {
		t.Errorf("leaving %t, told %d times", l.Leaving(desk), told)
	}
	if later := (incarnation.Key{ID: desk.ID, Born: desk.Born + 1}); l.Leaving(later) {
		t.Error("the later incarnation leaves too")
	}
}

// Guards against VMs that go on sending to a replica of which only another VM has heard that it leaves.
func TestLeavingIsLearnedFromOtherVMs(t *testing.T) {
	heard, told := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	hear(heard, Signal{Leaving: true}, 0, 1)
	tell(heard, told, 2)
	if !told.Leaving(desk) {
		t.Error("not told")
	}
}
