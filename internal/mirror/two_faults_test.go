package mirror

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/platform"
)

// An operator's change is accepted during two simultaneous faults: the store is down for some VMs,
// or was down for all, while the VMs from which the others copy are dead; or a data centre was cut
// off while several changes were made. A VM that still has the previous configuration refuses
// requests that it should serve. The bounds are those promised for fleets of the given size; five
// data centres are those of the largest fleet in operation.
func TestTwoFaultsDoNotHideAChange(t *testing.T) {
	type fleet struct {
		vms, dataCentres int
		bound            time.Duration
	}
	fleets := []fleet{{88, 3, 3 * time.Second}, {195, 5, 4 * time.Second}}
	switch os.Getenv(largeFleets) {
	case "":
	case "twice":
		fleets = append(fleets, fleet{985, 5, 5 * time.Second}, fleet{1_970, 5, 5 * time.Second})
	default:
		fleets = append(fleets, fleet{985, 5, 5 * time.Second})
	}
	for _, c := range fleets {
		for name, faults := range map[string]func(*spreadFleet){
			"all followers of the feed are dead":                                 killFollowers,
			"a third is rejected, the followers of one data centre are dead":     rejectAndKillLocal,
			"the store was down, the followers of all data centres but one died": outageAndFollowerDeaths,
			"the store is silent and drops the calls, half of all VMs are dead":  silenceAndDeaths,
			"a data centre was cut off while changes followed each other":        partitionDuringChanges,
			"a data centre was cut off, and followers elsewhere died meanwhile":  partitionAndDeaths,
			"the store rejected a third for 9 s during changes, none dead":       rejectedDuringChanges,
		} {
			t.Run(fmt.Sprintf("%d VMs, %s", c.vms, name), func(t *testing.T) {
				testChangeDuringFaults(t, c.vms, c.dataCentres, c.bound, faults)
			})
		}
	}
	t.Run("320 VMs, all followers of the feed are dead", func(t *testing.T) {
		testChangeDuringFaults(t, 320, 10, 16*time.Second, killFollowers)
	})
}

// testChangeDuringFaults makes a change during faults and checks that it is in force in time.
func testChangeDuringFaults(t *testing.T, vms, dataCentres int, bound time.Duration, faults func(*spreadFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleetOf(vms, dataCentres)
		slowest, who := f.changeDuringFaults(t, faults, bound)
		t.Logf("the slowest VM has it after %s", slowest)
		if slowest > bound {
			t.Errorf("%s has it after %s only", who, slowest)
		}
	})
}

// changeDuringFaults makes a change as soon as the faults have been injected. It returns how long
// the slowest live VM took to have the change, and the name of that VM.
func (f *spreadFleet) changeDuringFaults(t *testing.T, faults func(*spreadFleet), bound time.Duration) (time.Duration, string) {
	stop := f.start(t)
	time.Sleep(3 * time.Second)
	faults(f)
	for _, vm := range f.vms {
		f.clearInForce(vm)
	}
	accepted := time.Now()
	f.writeConfiguration()
	time.Sleep(bound + 2*time.Second)
	stop()
	return f.slowest(accepted)
}

// writeConfiguration writes the next configuration.
func (f *spreadFleet) writeConfiguration() {
	f.set(func() {
		next := f.view.Revision + f.revisionOffset + 1
		f.revisionOffset = 0
		f.view = platform.TableView{Version: platform.Version{Revision: next}, Rows: configuration(fewProfiles, next)}
	})
}

func (f *spreadFleet) kill(which func(*spreadVM) bool) {
	for _, vm := range f.vms {
		if which(vm) {
			vm.dead.Store(true)
		}
	}
}

func killFollowers(f *spreadFleet) {
	f.kill(func(vm *spreadVM) bool { return vm.follows })
}

func rejectAndKillLocal(f *spreadFleet) {
	f.rejectThird()
	f.kill(func(vm *spreadVM) bool { return vm.follows && vm.DataCentre == "dc0" })
}

func (f *spreadFleet) rejectThird() {
	r := rand.New(rand.NewPCG(4, 4))
	for _, vm := range f.sortedVMs() {
		vm.rejected.Store(r.Float64() < 0.33)
	}
}

func outageAndFollowerDeaths(f *spreadFleet) {
	f.set(func() { f.storeDown = true })
	time.Sleep(4 * time.Second)
	f.kill(func(vm *spreadVM) bool { return vm.follows && vm.DataCentre != "dc0" })
	time.Sleep(4 * time.Second)
	f.set(func() { f.storeDown = false })
}

func silenceAndDeaths(f *spreadFleet) {
	f.set(func() { f.storeSilent = true })
	r := rand.New(rand.NewPCG(5, 5))
	for _, vm := range f.sortedVMs() {
		vm.dead.Store(r.Float64() < 0.5)
	}
	time.Sleep(6 * time.Second)
	f.set(func() { f.storeSilent = false })
}

func (f *spreadFleet) partition(cut bool) {
	for _, vm := range f.vms {
		if vm.DataCentre == "dc1" {
			vm.partitioned.Store(cut)
		}
	}
}

func partitionDuringChanges(f *spreadFleet) {
	f.partition(true)
	for range 20 {
		f.writeConfiguration()
		time.Sleep(330 * time.Millisecond)
	}
	f.partition(false)
}

func partitionAndDeaths(f *spreadFleet) {
	partitionDuringChanges(f)
	r := rand.New(rand.NewPCG(6, 6))
	for _, vm := range f.sortedVMs() {
		vm.dead.Store(vm.follows && vm.DataCentre != "dc1" && r.Float64() < 0.6)
	}
}

func rejectedDuringChanges(f *spreadFleet) {
	f.rejectThird()
	for range 27 {
		f.writeConfiguration()
		time.Sleep(330 * time.Millisecond)
	}
}
