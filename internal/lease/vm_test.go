package lease

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/harness/standin/vmsim"
	"geraniumcroft/internal/invariant"
)

const testDuty = "orders"

// vm is a simulated VM with its manager.
type vm struct {
	*vmsim.VM
	manager *Manager
}

func newVM(name string, store *platformsim.Store, h hooks, duties ...string) *vm {
	v := &vm{VM: vmsim.New(name, store)}
	v.manager = NewManager(Options{
		Table:      v,
		VM:         name,
		Duties:     duties,
		Clock:      v,
		Era:        store.Era,
		Invariants: invariant.Strict(),
		hooks:      h,
	})
	return v
}

// fleet is a set of VMs on one store; stop ends their managers.
type fleet struct {
	store *platformsim.Store
	vms   []*vm
	stops map[string]context.CancelFunc
	done  sync.WaitGroup
}

func newFleet(h hooks, names []string, duties ...string) *fleet {
	f := &fleet{store: platformsim.NewStore(), stops: map[string]context.CancelFunc{}}
	for _, name := range names {
		f.start(newVM(name, f.store, h, duties...))
	}
	return f
}

func (f *fleet) start(v *vm) {
	f.vms = append(f.vms, v)
	ctx, cancel := context.WithCancel(context.Background())
	f.stops[v.Name] = cancel
	f.done.Go(func() { v.manager.Run(ctx) })
}

func (f *fleet) kill(v *vm) { f.stops[v.Name]() }

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.Resume()
		f.kill(v)
	}
	f.done.Wait()
}

// holders returns the VMs that may act under a duty now.
func (f *fleet) holders(duty string) []*vm {
	var holding []*vm
	for _, v := range f.vms {
		if _, ok := v.manager.Held(duty); ok {
			holding = append(holding, v)
		}
	}
	return holding
}

// awaitHolder waits in virtual time until exactly one VM holds the duty, at most for bound. It
// returns that VM, or nil.
func (f *fleet) awaitHolder(duty string, bound time.Duration) *vm {
	const step = 50 * time.Millisecond
	for range int(bound / step) {
		if holding := f.holders(duty); len(holding) == 1 {
			return holding[0]
		}
		time.Sleep(step)
	}
	return nil
}
