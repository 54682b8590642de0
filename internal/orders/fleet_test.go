package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/harness/standin/vmsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/lease"
)

const modelLayers = 8

func testSettings() Settings {
	return Settings{
		ReadBackInterval:   5 * time.Second,
		RetryInterval:      500 * time.Millisecond,
		CallTimeout:        time.Second,
		OrderTimeout:       time.Second,
		MaxOrderDelay:      12 * time.Second,
		VisibilityDelay:    500 * time.Millisecond,
		LoadInterval:       time.Second,
		MaxConcurrentLoads: 2,
	}
}

// member is one VM with its lease manager and its controller.
type member struct {
	vm         *vmsim.VM
	link       *link
	leases     *lease.Manager
	controller *Controller
	stop       context.CancelFunc
}

// fleet is a number of VMs and engines with one store.
type fleet struct {
	store      *platformsim.Store
	source     *config.StaticSource
	engines    map[string]*fakeEngine // by target
	drains     *fakeDrains
	events     *history
	violations *invariant.Registry
	members    []*member
	settings   Settings
	// refresh updates source to what the table holds; nil if source is up to date.
	refresh atomic.Pointer[func()]
	done    sync.WaitGroup
}

func fencingTarget(name string) *config.Target {
	t := ignoringTarget(name)
	t.RefusesOldFencing = true
	return t
}

func ignoringTarget(name string) *config.Target {
	return &config.Target{
		Name:    name,
		Address: "address of " + name,
		Kind:    config.KindEngine,
		Model:   "writer",
		Version: "v1",
		Layers:  config.LayerRange{To: modelLayers},
		Slots:   4,
		State:   config.StateActive,
	}
}

func newFleet(vms int, injected hooks, targets ...*config.Target) *fleet {
	return newFleetWith(testSettings(), vms, injected, targets...)
}

func newFleetWith(settings Settings, vms int, injected hooks, targets ...*config.Target) *fleet {
	f := &fleet{
		store:      platformsim.NewStore(),
		engines:    map[string]*fakeEngine{},
		drains:     &fakeDrains{asked: map[string]time.Time{}},
		events:     &history{},
		violations: invariant.NewRegistry(nil),
		settings:   settings,
	}
	snapshot := config.NewSnapshot()
	byAddress := map[string]*fakeEngine{}
	for _, target := range targets {
		snapshot.Targets[target.Name] = target
		f.engines[target.Name] = newFakeEngine(target, f.events)
		byAddress[target.Address] = f.engines[target.Name]
	}
	f.source = config.NewStaticSource(snapshot)
	injected.onMatch = f.events.matched
	for i := range vms {
		f.members = append(f.members, f.newMember(fmt.Sprintf("vm-%d", i), injected, byAddress))
	}
	return f
}

func (f *fleet) newMember(name string, injected hooks, engines map[string]*fakeEngine) *member {
	m := &member{vm: vmsim.New(name, f.store)}
	m.link = &link{vm: m.vm, engines: engines}
	m.leases = lease.NewManager(lease.Options{
		Table:      m.vm,
		VM:         name,
		Duties:     []string{Duty},
		Clock:      m.vm,
		Invariants: f.violations,
	})
	m.controller = NewController(Options{
		ConfigSource: f.source,
		Leases:       m.leases,
		Engines:      m.link,
		Drainer:      fakeDrainer{vm: m.vm, drains: f.drains},
		Settings:     f.settings,
		Refresh:      f.refreshSource,
		Invariants:   f.violations,
		hooks:        injected,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	f.done.Go(func() { m.leases.Run(ctx) })
	f.done.Go(func() { m.controller.Run(ctx) })
	return m
}

func (f *fleet) refreshSource(context.Context) error {
	if refresh := f.refresh.Load(); refresh != nil {
		(*refresh)()
	}
	return nil
}

func (f *fleet) stop() {
	for _, m := range f.members {
		m.stop()
		m.vm.Resume()
	}
	f.done.Wait()
}

// change sets a target's version in the configuration.
func (f *fleet) change(target, version string) {
	now := f.source.Current()
	entry := *now.Targets[target]
	entry.Version = version
	value, err := json.Marshal(&entry)
	if err != nil {
		panic(err)
	}
	next, err := now.Apply(config.Change{Version: now.Version + 1, Kind: config.EntityTarget, Name: target, Value: value})
	if err != nil {
		panic(err)
	}
	f.source.Set(next)
}

// holder returns the VM that holds the lease, nil when none or more than one does.
func (f *fleet) holder() *member {
	var found *member
	for _, m := range f.members {
		if _, held := m.leases.Held(Duty); held {
			if found != nil {
				return nil
			}
			found = m
		}
	}
	return found
}

// await lets virtual time pass until the condition is true, and fails the test after the bound.
func await(t *testing.T, bound time.Duration, what string, condition func() bool) {
	t.Helper()
	const step = 50 * time.Millisecond
	for range int(bound / step) {
		if condition() {
			return
		}
		time.Sleep(step)
	}
	t.Fatalf("not within %s: %s", bound, what)
}

func (f *fleet) awaitHolder(t *testing.T) *member {
	t.Helper()
	await(t, 10*time.Second, "a holder", func() bool { return f.holder() != nil })
	return f.holder()
}

func (f *fleet) awaitVersion(t *testing.T, target, version string) {
	t.Helper()
	await(t, time.Minute, target+" at "+version, func() bool {
		state := f.engines[target].read()
		return state.Version == version && !state.Loading
	})
}

func must(t *testing.T, ok bool, format string, args ...any) {
	t.Helper()
	if !ok {
		t.Fatalf(format, args...)
	}
}
