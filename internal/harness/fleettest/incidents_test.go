package fleettest

import (
	"context"
	"slices"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/platformsim"
)

const (
	slowdown  = 20
	slowStore = 400 * time.Millisecond
)

// faults holds the current faults of which several can be active at a time.
type faults struct {
	cuts []*cut
}

// cut is a network partition between hosts.
type cut struct {
	separates func(from, to string) bool
}

func (w *world) setStore(change func(*platformsim.Order)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	order := w.store.Faults.Current()
	change(&order)
	w.store.Faults.Set(order)
}

// addCut adds a partition. The returned function ends it.
func (w *world) addCut(separates func(from, to string) bool) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &cut{separates}
	w.faults.cuts = append(w.faults.cuts, c)
	w.applyCuts()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults.cuts = slices.DeleteFunc(w.faults.cuts, func(other *cut) bool { return other == c })
		w.applyCuts()
	}
}

// applyCuts applies the current partitions to the network. The caller must hold the
// lock.
func (w *world) applyCuts() {
	cuts := slices.Clone(w.faults.cuts)
	w.network.SetCut(func(from, to string) bool {
		return slices.ContainsFunc(cuts, func(c *cut) bool { return c.separates(from, to) })
	})
}

// runIncident waits for the start of an incident, causes its fault and ends it.
func (w *world) runIncident(i incident) {
	time.Sleep(i.at)
	w.trace.note("incident %+v", i)
	defer func() { w.trace.note("incident over: %+v", i) }()
	switch i.kind {
	case "engine-die", "engine-silent", "engine-slow", "engine-mute":
		w.injectEngineFault(i)
	case "service":
		w.services.inject(i.name, i.fault)
	case "halves":
		half := hostOfVM(i.vm)
		end := w.addCut(func(from, to string) bool { return (from < half) != (to < half) })
		time.Sleep(i.duration)
		end()
	case "cut-peers", "cut-store", "cut-both":
		w.isolateVM(i)
	case "kill", "restart", "stop", "join":
		w.changeLifecycle(i)
	default:
		w.injectStoreFault(i)
	}
}

func (w *world) injectEngineFault(i incident) {
	e := w.engines[i.name]
	slow := func(factor float64, mute bool) {
		e.SetFaults(func(f *enginesim.Faults) { f.Slowdown, f.Mute = factor, mute })
	}
	switch i.kind {
	case "engine-die":
		e.Die()
		time.Sleep(i.duration)
		_ = e.Revive()
	case "engine-silent":
		e.GoSilent()
	case "engine-slow":
		slow(slowdown, false)
		time.Sleep(i.duration)
		slow(1, false)
	case "engine-mute":
		slow(1, true)
		time.Sleep(i.duration)
		slow(1, false)
	}
}

func (w *world) injectStoreFault(i incident) {
	outage := func(o platformsim.Outage) {
		w.setStore(func(order *platformsim.Order) { order.Outage = o })
	}
	switch i.kind {
	case "store-refuse":
		outage(platformsim.OutageRefuse)
		time.Sleep(i.duration)
		outage(platformsim.OutageNone)
	case "store-hang":
		outage(platformsim.OutageHang)
		time.Sleep(i.duration)
		outage(platformsim.OutageNone)
	case "store-slow":
		w.setStore(func(o *platformsim.Order) { o.SlowBy = config.Duration(slowStore) })
		time.Sleep(i.duration)
		w.setStore(func(o *platformsim.Order) { o.SlowBy = 0 })
	case "store-lose":
		w.setStore(func(o *platformsim.Order) { o.LoseAnswers = 4 })
	case "store-delay":
		w.setStore(func(o *platformsim.Order) { o.DelayCommits, o.DelayBy = 8, config.Duration(i.duration) })
	case "list-freeze":
		w.setStore(func(o *platformsim.Order) { o.FreezeVMs = true })
		time.Sleep(i.duration)
		w.setStore(func(o *platformsim.Order) { o.FreezeVMs = false })
	case "list-lag":
		w.setStore(func(o *platformsim.Order) { o.VMLag = config.Duration(i.duration) })
	}
}

// isolateVM cuts off one VM from its peers, the store, or both.
func (w *world) isolateVM(i incident) {
	host, v := hostOfVM(i.vm), w.vm(i.vm)
	if v == nil {
		return
	}
	if i.kind != "cut-peers" {
		v.storeCut.Store(true)
		defer v.storeCut.Store(false)
	}
	if i.kind != "cut-store" {
		defer w.addCut(func(from, to string) bool { return from == host || to == host })()
	}
	time.Sleep(i.duration)
}

// changeLifecycle kills, restarts, stops or starts a VM.
func (w *world) changeLifecycle(i incident) {
	v := w.vm(i.vm)
	switch {
	case i.kind == "join" && v == nil:
		w.startIfStopped(i.vm)
	case v == nil || i.kind == "join" || !w.claimEnd(v):
	case i.kind == "stop":
		w.stopVM(v)
	default:
		w.killVM(v)
		if i.kind == "restart" {
			time.Sleep(i.duration)
			w.startIfStopped(i.vm)
		}
	}
}

// startIfStopped starts a VM unless it is running or being started.
func (w *world) startIfStopped(number int) {
	w.mu.Lock()
	taken := w.starting[number]
	w.starting[number] = true
	w.mu.Unlock()
	if !taken && w.vm(number) == nil {
		w.start(number)
	}
	if !taken {
		w.mu.Lock()
		delete(w.starting, number)
		w.mu.Unlock()
	}
}

// claimEnd reports whether the caller is the first to end a process and so must do it.
func (w *world) claimEnd(v *vm) bool { return v.ending.CompareAndSwap(false, true) }

// heal ends all faults and restarts dead engines.
func (w *world) heal() {
	w.trace.note("heal")
	w.mu.Lock()
	w.faults.cuts = nil
	w.applyCuts()
	w.mu.Unlock()
	w.store.Faults.Set(platformsim.Order{})
	w.services.healAll()
	for _, v := range w.running() {
		v.storeCut.Store(false)
	}
	for _, e := range w.engines {
		e.SetFaults(func(f *enginesim.Faults) { f.Slowdown, f.Mute, f.Leaving = 1, false, false })
		if w.fabric.Engine(e.Addr()) == nil {
			_ = e.Revive()
		}
	}
}

func (v *vm) waitReady(ctx context.Context) bool {
	select {
	case <-v.Ready():
		return true
	case <-ctx.Done():
		return false
	}
}
