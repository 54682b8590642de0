package pushback

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/incarnation"
)

// Guards against a leaving replica that gets requests again because a later answer does not repeat the
// announcement, and against repeated calls of OnLeaving.
func TestReplicaStaysLeavingUntilItsIncarnationEnds(t *testing.T) {
	l := NewLedger(zap.NewNop())
	calls := 0
	l.OnLeaving(func(incarnation.Key) { calls++ })
	observe(l, Signal{Leaving: true}, 0, 1)
	observe(l, Signal{}, 2, 3)
	observe(l, Signal{Leaving: true}, 4, 5)
	if !l.Leaving(testReplica) || l.CheckSend(testReplica, at(6)) == nil || calls != 1 {
		t.Errorf("leaving %t, OnLeaving called %d times, want 1", l.Leaving(testReplica), calls)
	}
	if later := (incarnation.Key{ID: testReplica.ID, Born: testReplica.Born + 1}); l.Leaving(later) {
		t.Error("the next incarnation is leaving too")
	}
}

// Guards against VMs that keep sending to a replica that announced to another VM only that it is leaving.
func TestLeavingIsMergedFromNotices(t *testing.T) {
	source, peer := NewLedger(zap.NewNop()), NewLedger(zap.NewNop())
	observe(source, Signal{Leaving: true}, 0, 1)
	exchange(source, peer, 2)
	if !peer.Leaving(testReplica) {
		t.Error("replica is not marked as leaving")
	}
}

// Guards against a replica that is used again because its announcement is kept under a key without its start.
func TestLeavingStaysWhenTheStartBecomesKnown(t *testing.T) {
	for _, known := range []bool{false, true} {
		l := NewLedger(zap.NewNop())
		before, now := incarnation.Key{ID: "r"}, incarnation.Key{ID: "r", Born: 7}
		l.Observe(Origin{Replica: before}, Signal{Leaving: true}, time.Now())
		if known {
			l.Observe(Origin{Replica: now}, Signal{BackOff: time.Minute}, time.Now())
		}
		l.Rename(before, now)
		if !l.Leaving(now) || l.Leaving(before) {
			t.Errorf("known %t: leaving %t, under the key without a start %t", known, l.Leaving(now), l.Leaving(before))
		}
	}
}
