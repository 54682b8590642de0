package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"geraniumcroft/internal/platform"
)

func newTestTable(now time.Time) *Table {
	self := Identity{Name: "self", Address: "self", Incarnation: NewIncarnation(now)}
	return New(self, Settings{}, rand.New(rand.NewPCG(1, 2)), now)
}

func peerIdentity(start time.Time) Identity {
	return Identity{Name: "peer", Address: "peer", Incarnation: NewIncarnation(start), Version: 7}
}

func mustState(t *testing.T, table *Table, want State) {
	t.Helper()
	if m, _ := table.Get("peer"); m.State != want {
		t.Fatalf("peer is %s, want %s", m.State, want)
	}
}

// A VM must be declared dead only after it was silent for the whole suspicion timeout: first a
// probe fails, then the timeout passes. A VM that still sends messages, although others cannot
// reach it, must stay suspected.
func TestVMIsSuspectedBeforeDead(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	id := peerIdentity(now)
	table.RecordMessage(id, now)
	table.ProbeFailed("peer", id.Incarnation, now)
	mustState(t, table, Suspected)
	half := now.Add(DefaultSuspicionTimeout / 2)
	table.RecordMessage(id, half)
	table.Tick(now.Add(DefaultSuspicionTimeout))
	mustState(t, table, Suspected)
	table.Tick(half.Add(DefaultSuspicionTimeout))
	mustState(t, table, Dead)
}

// A delayed rumour says that a VM is dead while this VM holds it alive. On a rumour alone the VM
// must not be removed from those that have to confirm a change. It is suspected, and its
// refutation ends the suspicion.
func TestRumourDoesNotMakeVMDead(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	id := peerIdentity(now)
	table.RecordMessage(id, now)
	table.Merge([]Update{{Name: "peer", Incarnation: id.Incarnation, State: Dead}}, now)
	mustState(t, table, Suspected)
	table.Merge([]Update{{Name: "peer", Address: "peer", Incarnation: id.Incarnation + 1, State: Alive}}, now)
	mustState(t, table, Alive)
}

// A VM was replaced under its old name. A delayed message of the old VM must neither restore the
// old version nor count as a sign of life.
func TestMessageOfEarlierProcessIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	old, young := peerIdentity(now), peerIdentity(now.Add(time.Minute))
	young.Version = 3
	table.RecordMessage(old, now)
	table.RecordMessage(young, now.Add(time.Minute))
	if table.RecordMessage(old, now.Add(2*time.Minute)) {
		t.Fatal("a message of the earlier process was accepted")
	}
	table.Merge([]Update{{Name: "peer", Incarnation: old.Incarnation, Version: 7, VersionOnly: true}}, now)
	if m, _ := table.Get("peer"); m.Version != 3 || m.Incarnation != young.Incarnation {
		t.Fatalf("the earlier process came back: %+v", m)
	}
}

// A VM has stopped regularly and announced it. Its delayed messages, and rumours that it is alive,
// must not make changes wait for it again.
func TestLeftStaysLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	id := peerIdentity(now)
	table.RecordMessage(id, now)
	table.Merge([]Update{{Name: "peer", Incarnation: id.Incarnation + 1, State: Left}}, now)
	table.RecordMessage(id, now.Add(time.Second))
	table.Merge([]Update{{Name: "peer", Incarnation: id.Incarnation + 1, State: Alive}}, now)
	mustState(t, table, Left)
}

// A VM restarts on a machine whose clock is behind, so that its new incarnation is lower than the
// last one. Its messages would be dropped permanently; it must learn of its former incarnation and
// take a higher start time.
func TestRestartAfterClockWentBack(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	former := NewIncarnation(now.Add(time.Hour))
	table.Merge([]Update{{Name: "self", Incarnation: former, State: Alive}}, now)
	if own := table.Self().Incarnation; own.ProcessStart() <= former.ProcessStart() {
		t.Fatalf("own incarnation %d is not of a later process than %d", own, former)
	}
}

// The platform's list lags behind: it no longer contains a VM that answers, and still contains one
// that is long dead. Evidence must override it in both cases.
func TestEvidenceOverridesList(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	id := peerIdentity(now)
	table.RecordMessage(id, now)
	table.UpdateListed(nil, now)
	mustState(t, table, Alive)
	table.ProbeFailed("peer", id.Incarnation, now)
	later := now.Add(DefaultSuspicionTimeout)
	table.Tick(later)
	table.UpdateListed([]platform.VM{{Name: "peer", PeerAddress: "peer", Role: RoleEntry}}, later)
	mustState(t, table, Dead)
}

// After a partition another VM still reports a VM as alive that this VM holds dead. The reported
// VM cannot refute what it has not received, so this VM must send the update again.
func TestContradictedDeathIsSentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	id := peerIdentity(now)
	table.RecordMessage(id, now)
	table.ProbeFailed("peer", id.Incarnation, now)
	table.Tick(now.Add(DefaultSuspicionTimeout))
	for table.Rumours() > 0 {
		table.Gossip("third", 8)
	}
	table.Merge([]Update{{Name: "peer", Incarnation: id.Incarnation, State: Alive}}, now)
	for _, u := range table.Gossip("third", 8) {
		if u.Name == "peer" && u.State == Dead {
			return
		}
	}
	t.Fatal("the contradicted death is not sent again")
}
