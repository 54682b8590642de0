package peer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
)

// TestMain fixes the seed unless one is given, so that each run tests the same.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "320")
	flag.Parse()
	os.Exit(m.Run())
}

type faultKind int

const (
	faultChange faultKind = iota
	faultChangeThenDeath
	faultKill
	faultRestart
	faultHalves
	faultCutOff
	faultSilence
	faultHeal
	faultCount
)

// fault is one thing that happens to a fleet, and the quiet time after it.
type fault struct {
	kind faultKind
	vm   int
	wait time.Duration
}

// Operators change profiles while VMs die, come back, are cut off and find their
// connections silent, at random, one after the other and at once. Once the
// faults end, all VMs know each other and have the newest configuration that any
// of them kept. The nodes' own invariant, that no version falls, is on.
func TestRandomFaultsOfWholeNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(rt, "size")
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault { return drawFault(rt, size) }), 1, 12).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			r := &randomRun{fleet: newFleet(t, size, Settings{}), size: size}
			defer r.fleet.stop()
			for _, f := range faults {
				r.inflict(f)
				time.Sleep(f.wait)
			}
			failure = r.settle()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

func drawFault(rt *rapid.T, size int) fault {
	return fault{
		kind: faultKind(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "kind")),
		vm:   rapid.IntRange(0, size-1).Draw(rt, "vm"),
		wait: time.Duration(rapid.IntRange(0, 20000).Draw(rt, "wait")) * time.Millisecond,
	}
}

// randomRun is a fleet and the history that the platform's table would hold.
type randomRun struct {
	fleet   *fleet
	size    int
	history []config.Change
}

func (r *randomRun) inflict(f fault) {
	name := vmName(f.vm)
	vm := r.fleet.vms[name]
	switch f.kind {
	case faultChange, faultChangeThenDeath:
		if vm != nil {
			r.change(vm)
		}
		if vm != nil && f.kind == faultChangeThenDeath {
			r.end(vm)
		}
	case faultKill:
		if vm != nil {
			r.end(vm)
		}
	case faultRestart:
		if vm == nil {
			r.fleet.start(name, newMemoryStore(), Settings{})
		}
	case faultHalves:
		r.fleet.network.SetCut(func(from, to string) bool { return (from < name) != (to < name) })
	case faultCutOff:
		r.fleet.network.SetCut(func(from, to string) bool { return from == name || to == name })
	case faultSilence:
		r.fleet.network.Silence(func(from, to string) bool { return from == name || to == name })
	case faultHeal:
		r.fleet.network.SetCut(func(string, string) bool { return false })
	}
}

// change reads the table, commits the next change and announces it.
func (r *randomRun) change(vm *testVM) {
	if _, err := vm.store.ApplyChanges(r.history); err != nil {
		panic(err)
	}
	changes := vm.store.(*memoryStore).commit(fmt.Sprint("change-", len(r.history)))
	r.history = append(r.history, changes...)
	vm.node.Announce(changes)
}

func (r *randomRun) end(vm *testVM) {
	vm.stop()
	<-vm.done
	vm.node.Stop()
	delete(r.fleet.vms, vm.name)
}

// settle ends all faults and returns what is wrong after the bound.
func (r *randomRun) settle() string {
	r.fleet.network.SetCut(func(string, string) bool { return false })
	for i := range r.size {
		if r.fleet.vm(i) == nil {
			r.fleet.start(vmName(i), newMemoryStore(), Settings{})
		}
	}
	var newest uint64
	for _, vm := range r.fleet.vms {
		newest = max(newest, vm.store.Current().Version)
	}
	for range healBound / time.Second {
		if r.fleet.allAt(newest)() && r.fleet.joined(r.size)() {
			return ""
		}
		time.Sleep(time.Second)
	}
	for _, vm := range r.fleet.vms {
		if vm.store.Current().Version != newest || vm.node.PeerCount() != r.size-1 {
			return fmt.Sprintf("%s is at %d of %d and knows %d peers", vm.name, vm.store.Current().Version, newest, vm.node.PeerCount())
		}
	}
	return "settled late"
}
