package reach

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns a time after start.
func after(d time.Duration) time.Time { return start.Add(d) }

// cutOffTracker returns a tracker that was cut off at start.
func cutOffTracker(t *testing.T) *Tracker {
	tr := NewTracker()
	tr.RecordDial("a", false, start)
	tr.RecordDial("b", false, start)
	if change := tr.RecordRound(Round{Probed: 3, Peer: "p"}, start); change == nil || !change.CutOff {
		t.Fatalf("not cut off: %+v", change)
	}
	return tr
}

// Guards against a VM that takes its own lost link for replicas that are dead.
func TestSeveralUnreachedReplicasInARowAreSuspicious(t *testing.T) {
	tr := NewTracker()
	tr.RecordDial("a", true, start)
	tr.RecordDial("a", false, after(time.Second))
	tr.RecordDial("a", false, after(2*time.Second))
	if tr.Suspected(after(2 * time.Second)) {
		t.Error("suspected after one replica")
	}
	tr.RecordDial("b", false, after(3*time.Second))
	if !tr.Suspected(after(3 * time.Second)) {
		t.Error("not suspected after two replicas")
	}
	tr.RecordDial("c", true, after(4*time.Second))
	if tr.Suspected(after(4 * time.Second)) {
		t.Error("suspected although one was reached")
	}
}

// Guards against a verdict on replicas that crashed long after each other.
func TestOldEvidenceDoesNotCount(t *testing.T) {
	tr := NewTracker()
	tr.RecordDial("a", false, start)
	tr.RecordDial("b", false, after(evidenceTTL+time.Second))
	if tr.Suspected(after(evidenceTTL + time.Second)) {
		t.Error("suspected")
	}
}

// Guards against a VM that counts itself as cut off while it reaches replicas, or while no peer reaches
// any either: its peers could not serve its requests.
func TestCutOffNeedsAPeerThatReachesWhatThisVMDoesNot(t *testing.T) {
	tr := NewTracker()
	for _, round := range []Round{{Probed: 3}, {Probed: 3, Direct: 1, Peer: "p"}, {Probed: 3, Direct: 3}} {
		if change := tr.RecordRound(round, start); change != nil || tr.CutOff() {
			t.Errorf("%+v: %+v", round, change)
		}
	}
	if change := tr.RecordRound(Round{Probed: 3, Peer: "p"}, start); change == nil || !tr.CutOff() {
		t.Errorf("not cut off: %+v", change)
	}
}

// Guards against a way that changes with each packet of a link that comes and goes.
func TestFlappingLinkEndsTheCutLaterEachTime(t *testing.T) {
	tr, now := cutOffTracker(t), start
	for _, want := range []int{minGoodRounds, 2 * minGoodRounds, 4 * minGoodRounds, maxGoodRounds, maxGoodRounds} {
		rounds := 0
		for tr.CutOff() {
			now = now.Add(time.Millisecond)
			tr.RecordRound(Round{Probed: 2, Direct: 1}, now)
			rounds++
		}
		if rounds != want {
			t.Errorf("%d rounds, want %d", rounds, want)
		}
		now = now.Add(time.Second)
		tr.RecordRound(Round{Probed: 3, Peer: "p"}, now)
	}
	for tr.CutOff() {
		tr.RecordRound(Round{Probed: 2, Direct: 1}, now)
	}
	now = now.Add(flapTime + time.Second)
	tr.RecordRound(Round{Probed: 3, Peer: "p"}, now)
	for range minGoodRounds {
		tr.RecordRound(Round{Probed: 2, Direct: 1}, now)
	}
	if tr.CutOff() {
		t.Error("a cut after a long calm ends late")
	}
}

// Guards against a cut that ends with a single lucky probe.
func TestProbeThatFailsStartsTheRoundsAnew(t *testing.T) {
	tr := cutOffTracker(t)
	tr.RecordRound(Round{Probed: 2, Direct: 2}, start)
	tr.RecordRound(Round{Probed: 2}, start)
	if change := tr.RecordRound(Round{Probed: 2, Direct: 2}, start); change != nil {
		t.Errorf("%+v", change)
	}
	if change := tr.RecordRound(Round{Probed: 2, Direct: 2}, after(time.Second)); change == nil || change.CutOff || change.Lasted != time.Second {
		t.Errorf("%+v", change)
	}
}

// Guards against VMs that decline to help each other although their links are back, each because its own
// cut has not ended yet.
func TestVMHelpsAgainAfterOneGoodRound(t *testing.T) {
	tr := cutOffTracker(t)
	if tr.CanHelp() || !tr.Doubtful(start) {
		t.Error("helps while it reaches nothing")
	}
	tr.RecordRound(Round{Probed: 2, Direct: 1}, start)
	if !tr.CanHelp() || !tr.Doubtful(start) || !tr.CutOff() {
		t.Error("does not help although it reaches a replica")
	}
	tr.RecordRound(Round{Probed: 2}, start)
	if tr.CanHelp() {
		t.Error("helps after a round that reached nothing")
	}
}

// Guards against a request that crashes replica after replica and is never stopped, since the replicas
// that are gone make its VM suspect itself.
func TestSuspicionIsNoCut(t *testing.T) {
	tr := NewTracker()
	for _, address := range []string{"a", "b", "c"} {
		tr.RecordDial(address, false, start)
	}
	if !tr.Suspected(start) || tr.CutOffSince(start.Add(-time.Hour)) {
		t.Error("a suspicion counts as a cut")
	}
}
