package hop

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// cutPolicy is what VMs that are cut off do for their callers.
type cutPolicy struct {
	throughPeers bool
	// unready makes the VM unready, closing also closes callers' connections with the next answer.
	unready, closing bool
}

// simBalancer is the load balancer of one data centre. It probes each VM once a second, takes it out after
// two misses, and uses all VMs if fewer than half are left.
type simBalancer struct {
	vms    []*simVM
	missed map[*simVM]int
	ready  func(vm *simVM) bool
	mu     sync.Mutex
	inUse  []*simVM
}

func (b *simBalancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		var in []*simVM
		for _, vm := range b.vms {
			if b.ready(vm) {
				b.missed[vm] = 0
			} else {
				b.missed[vm]++
			}
			if b.missed[vm] < 2 {
				in = append(in, vm)
			}
		}
		if 2*len(in) < len(b.vms) {
			in = b.vms
		}
		b.mu.Lock()
		b.inUse = in
		b.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (b *simBalancer) connect(random *rand.Rand) *simVM {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.inUse) == 0 {
		return b.vms[random.IntN(len(b.vms))]
	}
	return b.inUse[random.IntN(len(b.inUse))]
}

// callers sends requests as callers who keep connections open, until the fleet's load ends.
func (f *simFleet) callers(ctx context.Context, b *simBalancer, policy cutPolicy, n int) {
	const keepFor = 10 * time.Second
	var all sync.WaitGroup
	for i := range n {
		random := rand.New(rand.NewPCG(uint64(i), 2))
		all.Go(func() {
			var vm *simVM
			opened := time.Time{}
			for ctx.Err() == nil {
				if vm == nil || time.Since(opened) > keepFor {
					vm, opened = b.connect(random), time.Now()
				}
				f.request(vm, random)
				if policy.closing && vm.lostAt.Load() != nil && vm.backAt.Load() == nil {
					vm = nil
				}
				time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / simRate))
			}
		})
	}
	all.Wait()
}

// playPolicy plays a cut with callers who reach the VMs through load balancers.
func playPolicy(f *simFleet, policy cutPolicy, cut []*simVM, form error) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	f.began = time.Now().Add(time.Second)
	zones := map[string]*simBalancer{}
	for _, vm := range f.vms {
		if zones[vm.DataCentre] == nil {
			zones[vm.DataCentre] = &simBalancer{missed: map[*simVM]int{}, ready: func(vm *simVM) bool {
				return !policy.unready || vm.lostAt.Load() == nil || vm.backAt.Load() != nil
			}}
		}
		zones[vm.DataCentre].vms = append(zones[vm.DataCentre].vms, vm)
		work.Go(func() { vm.prober.Run(ctx) })
	}
	load, stop := context.WithCancel(ctx)
	for _, b := range zones {
		work.Go(func() { b.run(ctx) })
		work.Go(func() { f.callers(load, b, policy, 2*len(b.vms)) })
	}
	time.Sleep(time.Second)
	for _, vm := range cut {
		vm.cut.Store(&form)
		if !policy.throughPeers { // the fastest notice that is possible
			now := time.Now()
			vm.lostAt.Store(&now)
		}
	}
	time.Sleep(cutFor)
	for _, vm := range cut {
		vm.cut.Store(nil)
		now := time.Now()
		vm.backAt.Store(&now)
	}
	stop()
	time.Sleep(simStream)
	cancel()
	work.Wait()
}

// Compares, on the same load, what callers get from VMs that are cut off if these pass requests on to
// peers, become unready, or also close their callers' connections. Guards against a change of policy that
// serves fewer callers.
func TestWayThroughPeersServesMoreThanUnreadiness(t *testing.T) {
	policies := map[string]cutPolicy{
		"through peers": {throughPeers: true}, "unready": {unready: true}, "unready and closing": {unready: true, closing: true},
	}
	for _, size := range []int{6, 88} {
		for _, cutName := range []string{"one VM", "a third", "a data centre"} {
			for form, err := range map[string]error{"hang": errHangs, "refused": syscall.ECONNREFUSED} {
				failed := map[string]int{}
				for name, policy := range policies {
					synctest.Test(t, func(t *testing.T) {
						f := newSimFleet(size, policy.throughPeers)
						cut := simCuts[cutName](f.vms)
						playPolicy(f, policy, cut, err)
						isCut := func(vm *simVM) bool { return vm.cut.Load() == nil && vm.backAt.Load() != nil }
						served, all := f.served(isCut, simBound, cutFor)
						servedAll, sent := f.served(func(*simVM) bool { return true }, 0, cutFor)
						failed[name] = sent - servedAll
						t.Logf("%d VMs, %s, %s, %s: %d of %d at cut VMs from %s on; of all %d, %d failed", size, cutName, form, name, served, all, simBound, sent, sent-servedAll)
					})
				}
				for name, n := range failed {
					if failed["through peers"] > n {
						t.Errorf("%d VMs, %s, %s: %d failed through peers, %d %s", size, cutName, form, failed["through peers"], n, name)
					}
				}
				if failed["through peers"] > 0 {
					t.Errorf("%d VMs, %s, %s: %d failed through peers", size, cutName, form, failed["through peers"])
				}
			}
		}
	}
}
