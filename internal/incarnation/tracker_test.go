package incarnation

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000)

// at returns the time the given number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func born(id string, seconds float64) Key { return Key{ID: id, Born: at(seconds).UnixMilli()} }

// report is a report of a replica, and how the tracker must treat it.
type report struct {
	arrives float64
	key     Key
	want    Key
	// restarted, superseded and fault are the expected observation.
	restarted, superseded bool
	fault                 Fault
}

// A replica restarts under its id, and reports of its incarnations arrive in any order. Only the
// newest incarnation may count, or a VM would send requests to layers that were lost with the
// restart.
func TestNewestIncarnationCounts(t *testing.T) {
	for name, reports := range map[string][]report{
		"a restart": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 5, key: born("r", 4), want: born("r", 4), restarted: true},
			{arrives: 6, key: born("r", 4), want: born("r", 4)},
		},
		"two restarts in a row, the first one never reported in between": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 5, key: born("r", 4), want: born("r", 4), restarted: true},
			{arrives: 5.5, key: born("r", 5), want: born("r", 5), restarted: true},
		},
		"a late report of the earlier incarnation": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 5, key: born("r", 4), want: born("r", 4), restarted: true},
			{arrives: 7, key: born("r", 0), want: born("r", 4), superseded: true, fault: FaultEarlier},
			{arrives: 7.5, key: born("r", 4), want: born("r", 4)},
			{arrives: 13, key: born("r", 0), want: born("r", 4), superseded: true, fault: FaultEarlier},
		},
		"a clock that was set back: only the earlier start is reported for seconds": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 9, key: born("r", -60), want: born("r", 0), superseded: true, fault: FaultEarlier},
			{arrives: 12, key: born("r", -60), want: born("r", 0), superseded: true, fault: FaultEarlier},
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
		"other replicas are independent": {
			{arrives: 1, key: born("r", 0), want: born("r", 0)},
			{arrives: 2, key: born("s", -5), want: born("s", -5)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker()
			for i, w := range reports {
				h := tracker.Observe(w.key, at(w.arrives))
				if h.Key != w.want || h.Restarted != w.restarted || h.Superseded != w.superseded || h.Fault != w.fault {
					t.Errorf("report %d: %+v", i, h)
				}
				if newest := tracker.Newest(w.key.ID); newest != w.want {
					t.Errorf("report %d: the newest is %v", i, newest)
				}
			}
		})
	}
}

// A replica that reports no start time does so with each heartbeat. The fault must be reported
// once, so that it is logged once.
func TestFaultIsReportedOnce(t *testing.T) {
	tracker := NewTracker()
	for i := range 3 {
		if h := tracker.Observe(Key{ID: "r"}, at(float64(i))); h.FirstReport != (i == 0) {
			t.Errorf("report %d: %+v", i, h)
		}
	}
}

func TestUnlistedReplicasAreForgotten(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(born("listed", 0), at(0))
	tracker.Observe(born("gone", 0), at(0))
	tracker.Forget(func(id string) bool { return id == "listed" }, at(0).Add(retention+time.Second))
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
