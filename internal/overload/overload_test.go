package overload

import (
	"math"
	"testing"
	"time"
)

// Guards against a class that may use more than a more urgent one, or so little that its requests
// never start, and against limits where requests do not compete.
func TestUsableFallsWithTheRank(t *testing.T) {
	limits := Limits{Reserve: 0.16, LateReserve: 0.2}
	for _, c := range []struct {
		class             Class
		limits            Limits
		usable, elsewhere float64
	}{
		{Class{}, limits, 1, 1},
		{Class{Rank: 2, Ranks: 1, Late: true}, limits, 1, 1},
		{Class{Ranks: 3}, limits, 1, 0.92},
		{Class{Rank: 1, Ranks: 3}, limits, 0.92, 0.84},
		{Class{Rank: 2, Ranks: 3}, limits, 0.84, 0.76},
		{Class{Rank: 9, Ranks: 10}, limits, 0.84, 0.84 - 0.16/9},
		{Class{Rank: 99, Ranks: 3}, limits, 0.84, 0.76},
		{Class{Rank: -1, Ranks: 3}, limits, 1, 0.92},
		{Class{Ranks: 3, Late: true}, limits, 0.8, 0.72},
		{Class{Rank: 2, Ranks: 3, Late: true}, limits, 0.64, 0.56},
		{Class{Rank: 2, Ranks: 3, Starved: true}, limits, 1, 0.92},
		{Class{Rank: 2, Ranks: 3, Late: true, Starved: true}, limits, 0.8, 0.72},
		{Class{Rank: 2, Ranks: 3}, Limits{}, 1, 1},
		{Class{Rank: 3, Ranks: 4, Late: true}, Limits{Reserve: 0.5, LateReserve: 0.5}, 0.3, 0.3},
	} {
		usable, elsewhere := c.limits.Usable(c.class), c.limits.UsableElsewhere(c.class)
		if math.Abs(usable-c.usable) > 1e-9 || math.Abs(elsewhere-c.elsewhere) > 1e-9 {
			t.Errorf("%+v, %+v: %.3f and %.3f elsewhere, want %.3f and %.3f", c.class, c.limits, usable, elsewhere, c.usable, c.elsewhere)
		}
	}
}

// Guards against a stream that its rank keeps from continuing after its caller has received a part.
func TestStartedStreamIsNotLimitedByRank(t *testing.T) {
	limits := Limits{Reserve: 0.16, LateReserve: 0.2}
	if usable := limits.Usable(Class{Rank: 2, Ranks: 3, Late: true}.Started()); usable != 1 {
		t.Errorf("may use %.3f", usable)
	}
}

// Guards against a workspace's own priority that does not go before its profile's, a priority that has a
// rank more urgent than its order allows, or none, and against a class where there is one priority.
func TestRankIsThatOfTheNextLessUrgentPriority(t *testing.T) {
	ranks := []Priority{{1, 2}, {0, 0}, {1, 0}, {0, 2}, {1, 0}}
	for _, c := range []struct {
		priorities []Priority
		priority   Priority
		want       Class
	}{
		{nil, Priority{}, Class{}},
		{[]Priority{{4, 4}, {4, 4}}, Priority{9, 9}, Class{}},
		{ranks, Priority{0, 0}, Class{Rank: 0, Ranks: 4}},
		{ranks, Priority{0, 2}, Class{Rank: 1, Ranks: 4}},
		{ranks, Priority{1, 0}, Class{Rank: 2, Ranks: 4}},
		{ranks, Priority{1, 2}, Class{Rank: 3, Ranks: 4}},
		{ranks, Priority{0, 1}, Class{Rank: 1, Ranks: 4}},
		{ranks, Priority{0, 9}, Class{Rank: 2, Ranks: 4}},
		{ranks, Priority{9, 0}, Class{Rank: 3, Ranks: 4}},
		{ranks, Priority{-1, 0}, Class{Rank: 0, Ranks: 4}},
	} {
		if got := NewRanks(c.priorities).Of(c.priority); got != c.want {
			t.Errorf("priority %+v of %v: %+v, want %+v", c.priority, c.priorities, got, c.want)
		}
	}
}

// Guards against a profile that stays starved, or is taken for starved by counts that have left the
// window, by too few requests, or with a floor of 0.
func TestStarvedOnlyByTheCountsOfTheWindow(t *testing.T) {
	const window = 10 * time.Second
	now := time.Unix(1_800_000_000, 0)
	floors, without := NewFloors(0.35, window), NewFloors(0, window)
	arrive := func(profile string, arrived, served int) {
		for _, f := range []*Floors{floors, without} {
			for range arrived {
				f.Arrived(profile, now)
			}
			for range served {
				f.Served(profile, now)
			}
		}
	}
	expect := func(when string, want bool) {
		t.Helper()
		if got := floors.Starved("b", now); got != want {
			t.Errorf("%s: starved %t", when, got)
		}
		if without.Starved("b", now) || floors.Starved("a", now) || floors.Starved("unknown", now) {
			t.Errorf("%s: another profile or without a floor: starved", when)
		}
	}
	arrive("a", 20, 20)
	expect("no request", false)
	arrive("b", 3, 0)
	expect("three requests", false)
	arrive("b", 17, 6)
	expect("6 of 20 served, 20 of 20 of the other", true)
	now = now.Add(window / 2)
	arrive("b", 0, 1)
	expect("7 of 20", false)
	arrive("b", 10, 0)
	expect("7 of 30", true)
	now = now.Add(window / 2)
	arrive("a", 20, 20)
	expect("1 of 10 in the window", true)
	now = now.Add(3 * window)
	expect("all have left the window", false)
	arrive("a", 20, 2)
	arrive("b", 20, 1)
	expect("1 of 20, 2 of 20 of the other", false)
}
