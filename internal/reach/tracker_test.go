package reach

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a VM that takes its own lost link for replicas that are dead.
func TestSeveralUnreachedReplicasInARowMeanCutOff(t *testing.T) {
	tr := NewTracker()
	tr.RecordDial("a", true, start)
	if change := tr.RecordDial("a", false, start.Add(time.Second)); change != nil || tr.CutOff() {
		t.Errorf("cut off after one replica: %+v", change)
	}
	tr.RecordDial("a", false, start.Add(2*time.Second))
	change := tr.RecordDial("b", false, start.Add(3*time.Second))
	if change == nil || !change.CutOff || len(change.Unreached) != 2 || change.Failures != 3 || change.SinceReached != 3*time.Second {
		t.Errorf("after two replicas: %+v", change)
	}
	change = tr.RecordDial("c", true, start.Add(4*time.Second))
	if change == nil || change.CutOff || change.Lasted != time.Second || tr.CutOff() {
		t.Errorf("after one was reached: %+v", change)
	}
}

// Guards against a verdict on replicas that crashed long after each other.
func TestOldEvidenceDoesNotCount(t *testing.T) {
	tr := NewTracker()
	tr.RecordDial("a", false, start)
	if change := tr.RecordDial("b", false, start.Add(evidenceTTL+time.Second)); change != nil {
		t.Errorf("%+v", change)
	}
}
