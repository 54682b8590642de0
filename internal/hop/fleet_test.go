package hop

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against first tries that are refused at VMs which reach no replica, at all sizes, together with
// other faults, and against peers that carry more than they can bear.
func TestFleetServesFirstTriesOfVMsThatAreCutOff(t *testing.T) {
	for _, size := range simSizes() {
		for _, cutName := range slices.Sorted(maps.Keys(simCuts)) {
			for form, err := range simForms {
				for beside, fault := range simBesides {
					if size > 195 && beside != "nothing" && (form != "hang" || cutName == "one VM") {
						continue // takes long, and these differ little where there are no faults beside
					}
					t.Run(fmt.Sprintf("%d VMs, %s, %s, %s", size, cutName, form, beside), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							f := newSimFleet(size, true)
							cut := simCuts[cutName](f.vms)
							f.play(cut, err, fault)
							f.check(t, cut)
						})
					})
				}
			}
		}
	}
}

// check checks what callers got.
func (f *simFleet) check(t *testing.T, cut []*simVM) {
	isCut := func(vm *simVM) bool { return slices.Contains(cut, vm) }
	isOther := func(vm *simVM) bool { return !isCut(vm) }
	early, allEarly := f.served(isCut, 0, simBound)
	late, allLate := f.served(isCut, simBound, simLength)
	others, allOthers := f.served(isOther, 0, simLength)
	noticed, regained, most := time.Duration(0), time.Duration(0), int32(0)
	asked, inVain := 0, 0
	for _, vm := range cut {
		for result, n := range vm.dialer.client.observer.(*counts).through {
			if asked += n; result != string(resultConnected) {
				inVain += n
			}
		}
		if at := vm.lostAt.Load(); at != nil {
			noticed = max(noticed, at.Sub(f.began))
		}
		if at := vm.backAt.Load(); at != nil {
			regained = max(regained, at.Sub(f.began)-cutFor)
		}
	}
	for _, vm := range f.vms {
		most = max(most, vm.most.Load())
	}
	t.Logf("cut VMs: %d of %d in the first %s, %d of %d later; others %d of %d; noticed within %s, regained within %s; at most %d connections through a peer; %d of %d peers asked in vain",
		early, allEarly, simBound, late, allLate, others, allOthers, noticed, regained, most, inVain, asked)
	for _, r := range f.results {
		if !r.served && !r.excused {
			t.Logf("%s, %s after the cut began, cut off %t: %v", r.vm.Address, r.at.Sub(f.began), isCut(r.vm), r.errs)
		}
	}
	if late < allLate {
		t.Errorf("%d of %d first tries served at cut VMs from %s on", late, allLate, simBound)
	}
	if others < allOthers {
		t.Errorf("%d of %d first tries served at the other VMs", others, allOthers)
	}
	if float64(early) < 0.97*float64(allEarly) {
		t.Errorf("%d of %d first tries served at cut VMs before", early, allEarly)
	}
	// Half of the connections of a VM's own callers, per VM that is cut off and for each peer.
	if limit := 6 * simRate * simStream.Seconds() * max(1, float64(len(cut))/float64(len(f.vms)-len(cut))); float64(most) > limit {
		t.Errorf("%d connections through one peer, %.0f allowed", most, limit)
	}
}
