package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"geraniumcroft/internal/harness/standin/pipenet"
	"geraniumcroft/internal/invariant"
)

// fleet is a set of whole nodes in one process, in virtual time.
type fleet struct {
	t       testing.TB
	network *pipenet.Network
	vms     map[string]*testVM
	order   []string
}

type testVM struct {
	name  string
	store ConfigStore
	node  *Node
	stop  context.CancelFunc
	done  chan struct{}
}

func newFleet(t testing.TB, size int, s Settings) *fleet {
	f := &fleet{t: t, network: pipenet.NewNetwork(), vms: map[string]*testVM{}}
	for i := range size {
		f.start(vmName(i), newMemoryStore(), s)
	}
	return f
}

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }

func (f *fleet) start(name string, store *memoryStore, s Settings) *testVM {
	return f.startWith(name, store, nil, s)
}

func (f *fleet) startWith(name string, store *memoryStore, load LoadStore, s Settings) *testVM {
	return f.launch(name, name, store, load, s)
}

// startAt starts a VM whose address differs from its name.
func (f *fleet) startAt(name, address string) *testVM {
	return f.launch(name, address, newMemoryStore(), nil, Settings{})
}

func (f *fleet) launch(name, address string, store ConfigStore, load LoadStore, s Settings) *testVM {
	vm := &testVM{name: name, store: store, done: make(chan struct{})}
	vm.node = New(Options{
		VM: name, DataCentre: "hall-a", Address: address, Seeds: []string{vmName(0), vmName(1)},
		Store: store, Load: load, Invariants: invariant.Strict(), Settings: s, Dial: f.network.DialFrom(address),
	})
	lis := f.network.Listen(address)
	var ctx context.Context
	ctx, vm.stop = context.WithCancel(context.Background())
	go func() { _ = vm.node.Serve(lis) }()
	go func() {
		defer close(vm.done)
		vm.node.Run(ctx)
	}()
	f.vms[name] = vm
	f.order = append(f.order, name)
	return vm
}

// kill ends a VM without an announcement, and cuts its name off from the network.
func (f *fleet) kill(name string) {
	f.network.SetCut(func(from, to string) bool { return from == name || to == name })
	vm := f.vms[name]
	vm.stop()
	<-vm.done
	vm.node.Stop()
	delete(f.vms, name)
}

func (f *fleet) stop() {
	for _, vm := range f.vms {
		vm.stop()
	}
	for _, vm := range f.vms {
		<-vm.done
		vm.node.Stop()
	}
}

func (f *fleet) vm(i int) *testVM { return f.vms[vmName(i)] }

// waitFor polls in virtual time until the condition is met, and fails the test after the bound.
func (f *fleet) waitFor(bound time.Duration, description string, condition func() bool) {
	f.t.Helper()
	const step = 10 * time.Millisecond
	for range bound / step {
		if condition() {
			return
		}
		time.Sleep(step)
	}
	f.t.Fatalf("not within %v of virtual time: %s", bound, description)
}

// joined returns a condition: every VM knows all others of a fleet of the given size.
func (f *fleet) joined(size int) func() bool {
	return func() bool {
		for _, vm := range f.vms {
			if vm.node.PeerCount() != size-1 {
				return false
			}
		}
		return true
	}
}

// allAt returns a condition: every VM has at least the version.
func (f *fleet) allAt(version uint64) func() bool {
	return func() bool {
		for _, vm := range f.vms {
			if vm.store.Current().Version < version {
				return false
			}
		}
		return true
	}
}

// change commits a change on the VM, announces it and returns its version.
func (vm *testVM) change(name string) uint64 {
	changes := vm.store.(*memoryStore).commit(name)
	vm.node.Announce(changes)
	return changes[0].Version
}

var _ ConfigStore = (*memoryStore)(nil)
