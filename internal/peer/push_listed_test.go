package peer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"geraniumcroft/internal/harness/standin/pipenet"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
)

// A change is pushed to a VM that is known only from the platform's list, as when both VMs have
// just started. The version of that VM is unknown, so versions are compared first, which shows that
// it lacks the change and requests another round. If that round uses the old state of the member,
// it compares versions again, endlessly and without a pause, and never pushes. That takes a whole
// core, and the change arrives only with the other VM's own anti-entropy.
func TestPushToVMKnownFromTheListAlone(t *testing.T) {
	const maxSteps = 10000
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.NewNetwork()
		var steps atomic.Int64
		// Cuts the network off after maxSteps, so that virtual time advances in spite of an endless
		// exchange.
		network.SetCut(func(string, string) bool { return steps.Add(1) > maxSteps })
		start := func(name string) (*Node, *memoryStore) {
			store := newMemoryStore()
			node := New(Options{VM: name, Address: name, Store: store, Invariants: invariant.Strict(), Dial: network.DialFrom(name)})
			go func() { _ = node.Serve(network.Listen(name)) }()
			return node, store
		}
		sender, here := start("vm-a")
		receiver, there := start("vm-b")
		defer receiver.Stop()
		defer sender.Stop()
		sender.UpdateVMs([]platform.VM{{Name: "vm-b", Role: "entry", PeerAddress: "vm-b"}})
		changes := here.commit("change")
		sender.Announce(changes)
		time.Sleep(time.Second)
		if there.Current().Version != here.Current().Version {
			t.Errorf("the listed VM has version %d, want %d", there.Current().Version, here.Current().Version)
		}
		if syncs := sender.Counters().Syncs; syncs != 1 {
			t.Errorf("versions were compared %d times", syncs)
		}
	})
}
