package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/platform"
)

// An operator's change is accepted while two faults coincide: the store is away for some VMs,
// or was for all, while the VMs that the others learn from are dead; a data centre was cut off
// while changes followed each other. Callers who come to a VM that still knows the configuration
// before it are refused what they may have. The bounds are what is promised for fleets of that
// size; five data centres, as the largest fleet of today has.
func TestTwoFaultsDoNotHideAChange(t *testing.T) {
	for _, c := range []struct {
		vms, dataCentres int
		bound            time.Duration
	}{{88, 3, 3 * time.Second}, {195, 5, 4 * time.Second}} {
		for name, faults := range map[string]func(*spreadFleet){
			"all followers of the feed are dead":                                   allFollowersDie,
			"a third is turned away, the followers of one data centre are dead":    turnAwayAndKillNear,
			"the store was away, the followers of all data centres but one died":   outageAndFewFollowers,
			"the store is silent and drops the calls, half of all VMs are dead":    silenceAndDeaths,
			"a data centre was cut off while changes followed each other":          cutDuringChanges,
			"a data centre was cut off, and followers elsewhere died meanwhile":    cutAndDeaths,
			"the store turned a third away for 9 s while changes went on, no dead": turnedAwayDuringChanges,
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", c.vms, name), func(t *testing.T) {
				tryChangeBeside(t, c.vms, c.dataCentres, c.bound, faults)
			})
		}
	}
	t.Run("320 VMs, all followers of the feed are dead", func(t *testing.T) {
		tryChangeBeside(t, 320, 10, 16*time.Second, allFollowersDie)
	})
}

// tryChangeBeside makes a change beside faults and checks that it is in force in time.
func tryChangeBeside(t *testing.T, vms, dataCentres int, bound time.Duration, faults func(*spreadFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleetOf(vms, dataCentres)
		slowest, who := f.changeBeside(t, faults, bound)
		t.Logf("the slowest VM has it after %s", slowest)
		if slowest > bound {
			t.Errorf("%s has it after %s only", who, slowest)
		}
	})
}

// changeBeside makes a change as soon as the faults have been brought about, and returns how
// long the slowest living VM took to have it, and which one that was.
func (f *spreadFleet) changeBeside(t *testing.T, faults func(*spreadFleet), bound time.Duration) (time.Duration, string) {
	stop := f.start(t)
	time.Sleep(3 * time.Second)
	faults(f)
	for _, vm := range f.vms {
		f.forget(vm)
	}
	accepted := time.Now()
	f.change()
	time.Sleep(bound + 2*time.Second)
	stop()
	return f.slowest(accepted)
}

// change writes the next configuration.
func (f *spreadFleet) change() {
	f.set(func() {
		next := f.view.Revision + f.moved + 1
		f.moved = 0
		f.view = platform.TableView{Revision: next, Rows: configuration(profilesOfSilence, next)}
	})
}

func (f *spreadFleet) kill(which func(*spreadVM) bool) {
	for _, vm := range f.vms {
		if which(vm) {
			vm.dead.Store(true)
		}
	}
}

func allFollowersDie(f *spreadFleet) {
	f.kill(func(vm *spreadVM) bool { return vm.follows })
}

func turnAwayAndKillNear(f *spreadFleet) {
	f.turnAwayThird()
	f.kill(func(vm *spreadVM) bool { return vm.follows && vm.DataCentre == "dc0" })
}

func (f *spreadFleet) turnAwayThird() {
	r := rand.New(rand.NewPCG(4, 4))
	for _, vm := range f.inOrder() {
		vm.turnedAway.Store(r.Float64() < 0.33)
	}
}

func outageAndFewFollowers(f *spreadFleet) {
	f.set(func() { f.away = true })
	time.Sleep(4 * time.Second)
	f.kill(func(vm *spreadVM) bool { return vm.follows && vm.DataCentre != "dc0" })
	time.Sleep(4 * time.Second)
	f.set(func() { f.away = false })
}

func silenceAndDeaths(f *spreadFleet) {
	f.set(func() { f.silent = true })
	r := rand.New(rand.NewPCG(5, 5))
	for _, vm := range f.inOrder() {
		vm.dead.Store(r.Float64() < 0.5)
	}
	time.Sleep(6 * time.Second)
	f.set(func() { f.silent = false })
}

func (f *spreadFleet) cut(cut bool) {
	for _, vm := range f.vms {
		if vm.DataCentre == "dc1" {
			vm.cut.Store(cut)
		}
	}
}

func cutDuringChanges(f *spreadFleet) {
	f.cut(true)
	for range 20 {
		f.change()
		time.Sleep(330 * time.Millisecond)
	}
	f.cut(false)
}

func cutAndDeaths(f *spreadFleet) {
	cutDuringChanges(f)
	r := rand.New(rand.NewPCG(6, 6))
	for _, vm := range f.inOrder() {
		vm.dead.Store(vm.follows && vm.DataCentre != "dc1" && r.Float64() < 0.6)
	}
}

func turnedAwayDuringChanges(f *spreadFleet) {
	f.turnAwayThird()
	for range 27 {
		f.change()
		time.Sleep(330 * time.Millisecond)
	}
}
