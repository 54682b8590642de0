package layers

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/incarnation"
	"geraniumcroft/internal/overload"
)

// competingTable returns the table of one of ten VMs in data centre a. The model is held there, or
// in data centre b.
func competingTable(dataCentre string) *Table {
	table := placedTable(testSpec(), cards(dataCentre, "large", 3))
	table.SetVMCounts(VMCounts{VM: "vm", DataCentre: "a", Fleet: 30, Local: 10})
	table.SetOverloadLimits(overload.Limits{Reserve: 0.15, LateReserve: 0.2})
	return table
}

// startAll returns how many requests of a class start, and ends them.
func startAll(table *Table, class overload.Class) int {
	query := meanQuery
	query.Class = class
	var started []*Reservation
	for len(started) < 1000 {
		r, err := table.Reserve(query)
		if err != nil {
			break
		}
		started = append(started, r)
	}
	for _, r := range started {
		r.Release(true)
	}
	return len(started)
}

var (
	mostUrgent  = overload.Class{Ranks: 3}
	leastUrgent = overload.Class{Rank: 2, Ranks: 3}
)

// Guards against a VM that has just started, whose reports are late, or that was frozen, and that
// takes more than its even share by loads which it does not know. With the next report the
// limits of the classes apply again.
func TestEvenSharesWithoutFreshReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := competingTable("a")
		even := startAll(table, overload.Class{})
		if missing := startAll(table, mostUrgent); missing != even || even == 0 {
			t.Errorf("%d requests start before the first report, %d by the even share", missing, even)
		}
		for range 2 {
			reportAll(table, 0.1)
			if fresh := startAll(table, mostUrgent); fresh <= even {
				t.Errorf("%d requests start beside nearly idle replicas, %d by the even share", fresh, even)
			}
			time.Sleep(loadMaxAge + time.Second)
			if late := startAll(table, mostUrgent); late != even {
				t.Errorf("%d requests start by late reports, %d by the even share", late, even)
			}
		}
	})
}

// Guards against a request in time that is kept waiting after another VM has ended with its streams,
// and against less urgent requests that take the last of the capacity before that.
func TestRoomOfAnEndedVMIsUsedFromTheNextReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := competingTable("a")
		reportAll(table, 0.8)
		if last := startAll(table, leastUrgent); last != 0 {
			t.Errorf("%d of the least urgent requests start beside nearly full replicas", last)
		}
		if first := startAll(table, mostUrgent); first == 0 {
			t.Error("the most urgent requests have no reserve")
		}
		time.Sleep(time.Second)
		reportAll(table, 0.4)
		if last := startAll(table, leastUrgent); last == 0 {
			t.Error("the room of the ended VM is not used")
		}
	})
}

// Guards against spilling to a data centre whose link is cut, by loads that were known before.
func TestNoSpilloverByOldLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := competingTable("b")
		current := startAll(table, overload.Class{})
		reportAll(table, 0)
		if spilled := startAll(table, mostUrgent); spilled <= current {
			t.Errorf("%d requests spill to idle replicas, %d by the current rule", spilled, current)
		}
		time.Sleep(loadMaxAge + time.Second)
		if spilled := startAll(table, mostUrgent); spilled != current {
			t.Errorf("%d requests spill after the cut, %d by the current rule", spilled, current)
		}
	})
}

// Guards against nonsense in a report that lets requests start beyond the VM's even share.
func TestNonsensicalReportsAreDropped(t *testing.T) {
	for name, load := range map[string]func(r Replica, total float64) (incarnation.Key, Load){
		"no number": func(r Replica, total float64) (incarnation.Key, Load) {
			return r.Key(), Load{Used: math.NaN(), Total: math.NaN(), Held: r.Held, At: time.Now()}
		},
		"use is no number": func(r Replica, total float64) (incarnation.Key, Load) {
			return r.Key(), Load{Used: math.NaN(), Total: total, Held: r.Held, At: time.Now()}
		},
		"zero": func(r Replica, total float64) (incarnation.Key, Load) {
			return r.Key(), Load{Held: r.Held, At: time.Now()}
		},
		"negative": func(r Replica, total float64) (incarnation.Key, Load) {
			return r.Key(), Load{Used: -total, Total: total, Streams: -1000, Held: r.Held, At: time.Now()}
		},
		"from the future": func(r Replica, total float64) (incarnation.Key, Load) {
			return r.Key(), Load{Total: total, Held: r.Held, At: time.Now().Add(time.Hour)}
		},
		"another incarnation": func(r Replica, total float64) (incarnation.Key, Load) {
			return incarnation.Key{ID: r.ID, Born: r.Born + 1}, Load{Total: total, Held: r.Held, At: time.Now()}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := competingTable("a")
				even := startAll(table, overload.Class{})
				loads := map[incarnation.Key]Load{}
				for _, s := range table.replicas {
					k, l := load(s.Replica, s.capacity)
					loads[k] = l
				}
				table.SetLoads(loads)
				if started := startAll(table, mostUrgent); started > even {
					t.Errorf("%d requests start, %d by the even share", started, even)
				}
			})
		})
	}
}

// Guards against a service with one priority whose requests are limited by class.
func TestOnePriorityIsNotLimited(t *testing.T) {
	for _, used := range []float64{0, 0.5, 0.85, 0.95} {
		table := competingTable("a")
		reportAll(table, used)
		before, one := startAll(table, overload.Class{}), startAll(table, overload.NewRanks([]overload.Priority{{Workspace: 3, Profile: 3}}).Of(overload.Priority{Workspace: 3, Profile: 3}))
		if one != before {
			t.Errorf("%.2f used: %d requests start, %d without a class", used, one, before)
		}
	}
}
