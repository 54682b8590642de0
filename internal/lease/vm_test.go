package lease

import (
	"context"
	"sync"
	"time"

	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/standin/platformsim"
)

const testDuty = "orders"

// pausableClock is a VM's clocks in virtual time. While the VM is paused its
// monotonic clock stands still and the wall clock goes on.
type pausableClock struct {
	start time.Time

	mu     sync.Mutex // guards the fields below
	since  time.Time  // of the pause, zero when running
	paused time.Duration
}

func (c *pausableClock) Now() Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	mono := now.Sub(c.start) - c.paused
	if !c.since.IsZero() {
		mono -= now.Sub(c.since)
	}
	return Reading{Wall: now.Round(0), Mono: mono}
}

// vm is one VM: its manager, and its way to the table, which stops while it is
// paused and can be made to hang.
type vm struct {
	name    string
	store   *platformsim.Store
	clock   *pausableClock
	manager *Manager

	mu     sync.Mutex // guards the fields below
	resume chan struct{}
	// hangCommits makes commits end without effect or answer.
	hangCommits bool
}

func newVM(name string, store *platformsim.Store, h hooks, duties ...string) *vm {
	v := &vm{name: name, store: store, clock: &pausableClock{start: time.Now()}}
	v.manager = NewManager(Options{
		Table:      v,
		VM:         name,
		Duties:     duties,
		Clock:      v.clock,
		Invariants: invariant.Strict(),
		hooks:      h,
	})
	return v
}

func (v *vm) pause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resume != nil {
		return
	}
	v.resume = make(chan struct{})
	v.clock.mu.Lock()
	defer v.clock.mu.Unlock()
	v.clock.since = time.Now()
}

func (v *vm) wake() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resume == nil {
		return
	}
	close(v.resume)
	v.resume = nil
	v.clock.mu.Lock()
	defer v.clock.mu.Unlock()
	v.clock.paused += time.Since(v.clock.since)
	v.clock.since = time.Time{}
}

// running waits until the VM is not paused.
func (v *vm) running() {
	v.mu.Lock()
	resume := v.resume
	v.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (v *vm) setHangCommits(hang bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hangCommits = hang
}

func (v *vm) hangs() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hangCommits
}

func (v *vm) Commit(ctx context.Context, txn platform.Txn) error {
	v.running()
	defer v.running()
	if v.hangs() {
		<-ctx.Done()
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: ctx.Err()}
	}
	return v.store.Commit(ctx, txn)
}

func (v *vm) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	v.running()
	defer v.running()
	return v.store.Get(ctx, keys...)
}

func (v *vm) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	v.running()
	return v.store.Scan(ctx, from, to, limit)
}

// fleet is some VMs on one store; stop ends their loops.
type fleet struct {
	store *platformsim.Store
	vms   []*vm
	stops map[string]context.CancelFunc
	done  sync.WaitGroup
}

func newFleet(h hooks, names []string, duties ...string) *fleet {
	f := &fleet{store: platformsim.NewStore(), stops: map[string]context.CancelFunc{}}
	for _, name := range names {
		v := newVM(name, f.store, h, duties...)
		f.vms = append(f.vms, v)
		ctx, cancel := context.WithCancel(context.Background())
		f.stops[name] = cancel
		f.done.Go(func() { v.manager.Run(ctx) })
	}
	return f
}

func (f *fleet) kill(v *vm) { f.stops[v.name]() }

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.wake()
		f.kill(v)
	}
	f.done.Wait()
}

// holders returns the VMs that would act under a duty now.
func (f *fleet) holders(duty string) []*vm {
	var holding []*vm
	for _, v := range f.vms {
		if _, ok := v.manager.Held(duty); ok {
			holding = append(holding, v)
		}
	}
	return holding
}

// awaitHolder lets virtual time pass until one VM holds the duty, at most the bound.
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
