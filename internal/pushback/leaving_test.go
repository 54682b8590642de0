package pushback

import (
	"testing"

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
