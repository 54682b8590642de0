package pushback

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against requests to a replica that has asked to back off, and against all that waited for it
// arriving at the moment at which its rest ends.
func TestReplicaThatAskedToBackOffGetsOneRequestFirst(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	if open, until := l.Open(desk, at(3.9)); open || until != at(4) || l.Take(desk, at(3.9)) {
		t.Fatalf("open %t, until %s", open, until)
	}
	if !l.Take(desk, at(4)) || l.Take(desk, at(4)) {
		t.Fatal("not one request at the end of the time")
	}
	hear(l, Signal{}, 4, 4.1)
	for range 2 {
		if !l.Take(desk, at(4.1)) {
			t.Error("held back though it takes requests again")
		}
	}
}

// Guards against a replica that is left alone for good as the first request after its rest was lost.
func TestLostRequestAfterABackOffIsFollowedByAnother(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	l.Take(desk, at(4))
	if after := at(4).Add(probeAgain); !l.Take(desk, after) || l.Take(desk, after) {
		t.Error("not one request more")
	}
}

// Guards against a rest that ends early, by an answer to a request that was sent before it or by another
// one that asks for less.
func TestBackOffIsNotShortened(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	hear(l, Signal{}, 0.5, 1.5)
	hear(l, Signal{BackOff: time.Second}, 0.5, 1.6)
	if open, until := l.Open(desk, at(2)); open || until != at(4) {
		t.Errorf("open %t, until %s", open, until)
	}
}

func TestResumedBackOffIsExtended(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	l.Take(desk, at(4))
	hear(l, Signal{BackOff: 3 * time.Second}, 4, 4.25)
	if open, until := l.Open(desk, at(5)); open || until != at(7.25) {
		t.Errorf("open %t, until %s", open, until)
	}
}

// Guards against questions for its load to a replica that has asked to back off.
func TestReplicaThatAskedToBackOffIsAskedNothing(t *testing.T) {
	l := NewLedger(zap.NewNop())
	hear(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	if l.AllowLoadQuery(desk, at(2)) || !l.AllowLoadQuery(desk, at(4)) {
		t.Error("asked within its rest, or not after it")
	}
	if l.CheckSend(desk, at(2)) == nil || l.CheckSend(desk, at(4)) != nil {
		t.Error("what was already meant for it is sent")
	}
}
