package pushback

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against requests to a replica that has asked to back off, and against all waiting requests being
// sent at the end of the back-off at once.
func TestReplicaGetsOneRequestAfterBackOff(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	if open, until := l.Open(testReplica, at(3.9)); open || until != at(4) || l.Take(testReplica, at(3.9)) {
		t.Fatalf("open %t, until %s", open, until)
	}
	if !l.Take(testReplica, at(4)) || l.Take(testReplica, at(4)) {
		t.Fatal("want exactly one request at the end of the back-off")
	}
	observe(l, Signal{}, 4, 4.1)
	for range 2 {
		if !l.Take(testReplica, at(4.1)) {
			t.Error("request refused although the replica accepts requests again")
		}
	}
}

// Guards against a replica that never gets a request again because the first one after a back-off was
// lost.
func TestLostRequestAfterBackOffIsFollowedByAnother(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	l.Take(testReplica, at(4))
	if after := at(4).Add(probeInterval); !l.Take(testReplica, after) || l.Take(testReplica, after) {
		t.Error("want exactly one more request after probeInterval")
	}
}

// Guards against a back-off that is shortened by an answer to a request that was sent before it, or by a
// second, shorter one.
func TestBackOffIsNotShortened(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	observe(l, Signal{}, 0.5, 1.5)
	observe(l, Signal{BackOff: time.Second}, 0.5, 1.6)
	if open, until := l.Open(testReplica, at(2)); open || until != at(4) {
		t.Errorf("open %t, until %s", open, until)
	}
}

// Guards against a replica that gets requests although it asked to back off again when it answered the
// first request after a back-off.
func TestRepeatedBackOffIsExtended(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	l.Take(testReplica, at(4))
	observe(l, Signal{BackOff: 3 * time.Second}, 4, 4.25)
	if open, until := l.Open(testReplica, at(5)); open || until != at(7.25) {
		t.Errorf("open %t, until %s", open, until)
	}
}

// Guards against load queries and already scheduled requests to a replica that has asked to back off.
func TestReplicaInBackOffGetsNoLoadQueries(t *testing.T) {
	l := NewLedger(zap.NewNop())
	observe(l, Signal{BackOff: 3 * time.Second}, 0, 1)
	if l.AllowLoadQuery(testReplica, at(2)) || !l.AllowLoadQuery(testReplica, at(4)) {
		t.Error("want load queries only after the back-off")
	}
	if l.CheckSend(testReplica, at(2)) == nil || l.CheckSend(testReplica, at(4)) != nil {
		t.Error("want an error from CheckSend only during the back-off")
	}
}
