package incarnation

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000)

// at is a moment so many seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func born(id string, seconds float64) Key { return Key{ID: id, Born: at(seconds).UnixMilli()} }

// word is what a replica says, and when it arrives.
type word struct {
	arrives float64
	key     Key
	want    Key
	// restarted, earlier and fault are what it is taken for.
	restarted, earlier bool
	fault              Fault
}

// A replica starts again under its id, and words of its lives arrive in any order. None but
// the newest may count: else a VM sends requests to layers that were lost with the restart.
func TestNewestIncarnationCounts(t *testing.T) {
	for name, words := range map[string][]word{
		"a restart": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 5, key: born("r", 4), want: born("r", 4), restarted: true},
			{arrives: 6, key: born("r", 4), want: born("r", 4)},
		},
		"two restarts in a row, the first never heard of in between": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 5, key: born("r", 4), want: born("r", 4), restarted: true},
			{arrives: 5.5, key: born("r", 5), want: born("r", 5), restarted: true},
		},
		"a late word of the earlier one": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 5, key: born("r", 4), want: born("r", 4), restarted: true},
			{arrives: 7, key: born("r", 0), want: born("r", 4), earlier: true, fault: FaultEarlier},
			{arrives: 7.5, key: born("r", 4), want: born("r", 4)},
			{arrives: 13, key: born("r", 0), want: born("r", 4), earlier: true, fault: FaultEarlier},
		},
		"a clock that was set back: the earlier start alone speaks for seconds": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 9, key: born("r", -60), want: born("r", 0), earlier: true, fault: FaultEarlier},
			{arrives: 12, key: born("r", -60), want: born("r", 0), earlier: true, fault: FaultEarlier},
			{arrives: 14, key: born("r", -60), want: born("r", -60), restarted: true, fault: FaultEarlier},
			{arrives: 15, key: born("r", -60), want: born("r", -60)},
		},
		"a start that is missing counts for the one that is known": {
			{arrives: 1, key: Key{ID: "r"}, want: Key{ID: "r"}, fault: FaultMissing},
			{arrives: 2, key: born("r", 0), want: born("r", 0)},
			{arrives: 3, key: Key{ID: "r"}, want: born("r", 0), fault: FaultMissing},
			{arrives: 4, key: Key{ID: "r", Born: BornUnreadable}, want: born("r", 0), fault: FaultUnreadable},
		},
		"a start in the future would make the next one look earlier": {
			{arrives: 1, key: born("r", 100), want: Key{ID: "r"}, fault: FaultAhead},
			{arrives: 2, key: born("r", 0), want: born("r", 0)},
			{arrives: 3, key: born("r", 9), want: born("r", 9), restarted: true},
		},
		"other replicas are none of its concern": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 2, key: born("s", -5), want: born("s", -5)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for i, w := range words {
				h := tracker.Observe(w.key, at(w.arrives))
				if h.Key != w.want || h.Restarted != w.restarted || h.Superseded != w.earlier || h.Fault != w.fault {
					t.Errorf("word %d: %+v", i, h)
				}
				if newest := tracker.Newest(w.key.ID); newest != w.want {
					t.Errorf("word %d: the newest is %v", i, newest)
				}
			}
		})
	}
}

// A replica that never gives its start says so with each heartbeat; the log has it once.
func TestFaultIsToldOnce(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		if h := tracker.Observe(Key{ID: "r"}, at(float64(i))); h.FirstReport != (i == 0) {
			t.Errorf("word %d: %+v", i, h)
		}
	}
}

func TestReplicasThatAreGoneAreForgotten(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(born("listed", 0), at(0))
	tracker.Observe(born("gone", 0), at(0))
	tracker.Forget(func(id string) bool { return id == "listed" }, at(0).Add(kept+time.Second))
	if tracker.Newest("listed").Born == 0 || tracker.Newest("gone").Born != 0 {
		t.Errorf("listed %v, gone %v", tracker.Newest("listed"), tracker.Newest("gone"))
	}
}

func TestKeyAsText(t *testing.T) {
	for _, k := range []Key{{ID: "i-7f3a", Born: 1_800_000_000_123}, {ID: "i-7f3a"}, {ID: "x@5", Born: 7}, {ID: "x@5"}, {ID: "", Born: BornUnreadable}} {
		if got := Parse(k.String()); got != k {
			t.Errorf("%q is read as %+v", k.String(), got)
		}
	}
	if got := Parse("i-7f3a"); got != (Key{ID: "i-7f3a"}) {
		t.Errorf("an id alone is read as %+v", got)
	}
}
