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

// An operator sees a VM of the fleet die only after it was silent for the whole
// suspicion timeout: first a probe fails, then the timeout passes. A VM that
// still sends messages, though others cannot reach it, stays suspected.
func TestSuspicionComesBeforeDeath(t *testing.T) {
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

// A delayed rumour says that a VM is dead while this VM holds it alive. It must
// not vanish from those that have to confirm a change on a rumour alone; it is
// suspected, and its refutation clears it.
func TestRumourAloneDoesNotKill(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	id := peerIdentity(now)
	table.RecordMessage(id, now)
	table.Merge([]Update{{Name: "peer", Incarnation: id.Incarnation, State: Dead}}, now)
	mustState(t, table, Suspected)
	table.Merge([]Update{{Name: "peer", Address: "peer", Incarnation: id.Incarnation + 1, State: Alive}}, now)
	mustState(t, table, Alive)
}

// A VM was replaced under its old name. A message that the old one had sent
// arrives late; it must neither bring back its version nor count as life.
func TestMessageOfEarlierLifeIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	old, young := peerIdentity(now), peerIdentity(now.Add(time.Minute))
	young.Version = 3
	table.RecordMessage(old, now)
	table.RecordMessage(young, now.Add(time.Minute))
	if table.RecordMessage(old, now.Add(2*time.Minute)) {
		t.Fatal("a message of the earlier life was taken")
	}
	table.Merge([]Update{{Name: "peer", Incarnation: old.Incarnation, Version: 7, VersionOnly: true}}, now)
	if m, _ := table.Get("peer"); m.Version != 3 || m.Incarnation != young.Incarnation {
		t.Fatalf("the earlier life came back: %+v", m)
	}
}

// A VM stopped in order and said so. Its delayed messages and others' rumours
// that it is alive must not make changes wait for it again.
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

// A VM restarts on a machine whose clock is behind, so that its new life starts
// lower than its last one. It would be dropped for good; it hears of its former
// life and takes a higher start.
func TestClockThatWentBackIsOvertaken(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTestTable(now)
	former := NewIncarnation(now.Add(time.Hour))
	table.Merge([]Update{{Name: "self", Incarnation: former, State: Alive}}, now)
	if own := table.Self().Incarnation; own.ProcessStart() <= former.ProcessStart() {
		t.Fatalf("own incarnation %d is not of a later life than %d", own, former)
	}
}

// The platform's list lags: it no longer shows a VM that answers, and still
// shows one that is long dead. Evidence decides both.
func TestEvidenceGoesBeforeTheList(t *testing.T) {
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

// After a partition one VM still tells that another is alive which this VM holds
// dead. The other cannot refute what it never hears, so this VM says it again.
func TestContradictedDeathIsSaidAgain(t *testing.T) {
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
	t.Fatal("the contradicted death is not passed on")
}
