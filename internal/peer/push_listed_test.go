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

// An operator's change is pushed to a VM that this one knows from the platform's
// list alone, as it is when both have just started. What the VM has in force is not
// known, so versions are compared first, which shows that it lacks the change. That
// asked for another round with the member as it was before: it compared again, and
// again, without a pause, and never pushed. Callers saw a core taken, and the change
// late, with the other VM's own round of anti-entropy.
func TestPushToVMKnownFromTheListAlone(t *testing.T) {
	const enoughSteps = 10000
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.NewNetwork()
		var steps atomic.Int64
		// Ends an endless exchange, so that virtual time can go on.
		network.SetCut(func(string, string) bool { return steps.Add(1) > enoughSteps })
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
			t.Errorf("the listed VM is at version %d of %d", there.Current().Version, here.Current().Version)
		}
		if syncs := sender.Counters().Syncs; syncs != 1 {
			t.Errorf("versions were compared %d times", syncs)
		}
	})
}
