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

// TestMain sets a fixed seed unless one is given, so that each run tests the same cases.
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
	faultPartition
	faultIsolate
	faultSilence
	faultHeal
	faultCount
)

// fault is one fault or change that is injected into a fleet, and the time to wait after it.
type fault struct {
	kind faultKind
	vm   int
	wait time.Duration
}

// Operators change the configuration while VMs die, restart, are cut off and find their connections
// silent, at random, one after the other and at the same time. Once the faults have ended, all VMs
// must know each other and have the newest configuration that any of them still had. The invariant
// that no version falls is checked by the nodes.
func TestRandomFaultsOfWholeNodes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 6).Draw(rt, "size")
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault { return drawFault(rt, size) }), 1, 12).Draw(rt, "faults")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			r := &randomRun{fleet: newFleet(t, size, Settings{}), size: size}
			defer r.fleet.stop()
			for _, f := range faults {
				r.inject(f)
				time.Sleep(f.wait)
			}
			failure = r.heal()
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

// randomRun is a fleet and the history of changes that the platform's table would hold.
type randomRun struct {
	fleet   *fleet
	size    int
	history []config.Change
}

func (r *randomRun) inject(f fault) {
	name := vmName(f.vm)
	vm := r.fleet.vms[name]
	switch f.kind {
	case faultChange, faultChangeThenDeath:
		if vm != nil {
			r.change(vm)
		}
		if vm != nil && f.kind == faultChangeThenDeath {
			r.kill(vm)
		}
	case faultKill:
		if vm != nil {
			r.kill(vm)
		}
	case faultRestart:
		if vm == nil {
			r.fleet.start(name, newMemoryStore(), Settings{})
		}
	case faultPartition:
		r.fleet.network.SetCut(func(from, to string) bool { return (from < name) != (to < name) })
	case faultIsolate:
		r.fleet.network.SetCut(func(from, to string) bool { return from == name || to == name })
	case faultSilence:
		r.fleet.network.Silence(func(from, to string) bool { return from == name || to == name })
	case faultHeal:
		r.fleet.network.SetCut(func(string, string) bool { return false })
	}
}

// change applies the history to the VM, as if it had read the table, then commits the next change
// and announces it.
func (r *randomRun) change(vm *testVM) {
	if _, err := vm.store.ApplyChanges(r.history); err != nil {
		panic(err)
	}
	changes := vm.store.(*memoryStore).commit(fmt.Sprint("change-", len(r.history)))
	r.history = append(r.history, changes...)
	vm.node.Announce(changes)
}

func (r *randomRun) kill(vm *testVM) {
	vm.stop()
	<-vm.done
	vm.node.Stop()
	delete(r.fleet.vms, vm.name)
}

// heal ends all faults and returns what is still wrong after healBound, or an empty string.
func (r *randomRun) heal() string {
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
			return fmt.Sprintf("%s has version %d, want %d, and knows %d peers", vm.name, vm.store.Current().Version, newest, vm.node.PeerCount())
		}
	}
	return "settled late"
}
