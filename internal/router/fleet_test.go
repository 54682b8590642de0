package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/admission"
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/claim"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/generation"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/service"
)

const fleetLayers = 8

// fleet is several routers that share simulated engines, services and a store. It uses no
// network, so that it runs in virtual time.
type fleet struct {
	store      *platformsim.Store
	fabric     *enginesim.Fabric
	engines    map[string]*enginesim.Engine
	services   *memoryServices
	vms        []*fleetVM
	snapshot   *config.Snapshot
	violations *invariant.Registry
	stop       context.CancelFunc
	work       sync.WaitGroup
}

// fleetVM is one router of the fleet.
type fleetVM struct {
	*Router
	source   *config.StaticSource
	balancer *balance.Balancer
	runner   *generation.Runner
}

func newFleet(vms int) *fleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{
		store: platformsim.NewStore(), fabric: enginesim.NewFabric(nil), engines: map[string]*enginesim.Engine{},
		services: newMemoryServices(), violations: invariant.NewRegistry(nil), stop: stop,
	}
	f.configure()
	for number := range vms {
		f.addVM(ctx, fmt.Sprintf("entry-%d", number))
	}
	return f
}

// configure builds the engines and the configuration.
func (f *fleet) configure() {
	s := config.NewSnapshot()
	s.Version = 1
	model := &config.Model{Name: "m", Layers: fleetLayers, Versions: []string{"1"}}
	s.Models["m"] = model
	s.Workspaces["w"] = &config.Workspace{Name: "w"}
	ranges := []config.LayerRange{{From: 0, To: 5}, {From: 0, To: 4}, {From: 4, To: 8}, {From: 3, To: 8}}
	for i, held := range ranges {
		e := enginesim.New(enginesim.Options{
			Name: fmt.Sprintf("e%d", i), Model: model, Version: "1", Layers: held, Slots: 3,
			LayerTokensPerSecond: 1000, Fabric: f.fabric,
		})
		e.Attach(fmt.Sprintf("10.0.0.%d:1", i))
		f.engines[e.Name()] = e
		target := e.Target()
		s.Targets[target.Name] = target
	}
	for _, name := range []string{"s0", "s1"} {
		s.Targets[name] = &config.Target{Name: name, Address: name, Kind: config.KindService, Service: "holds", Slots: 4, State: config.StateActive}
	}
	models := []config.ModelRef{{Model: "m", Version: "1"}}
	for _, p := range []*config.Profile{
		{Name: "draft", Class: config.ClassGeneration, Urgency: config.Bulk, Idempotent: true, Models: models, Deadline: config.Duration(20 * time.Second)},
		{Name: "check", Class: config.ClassGeneration, Urgency: config.Urgent, Idempotent: true, Models: models, Deadline: config.Duration(5 * time.Second)},
		{Name: "hold", Class: config.ClassCall, Urgency: config.Urgent, Service: "holds", Deadline: config.Duration(2 * time.Second)},
		{Name: "ask", Class: config.ClassCall, Urgency: config.Normal, Idempotent: true, Service: "holds", Deadline: config.Duration(3 * time.Second)},
	} {
		p.Workspace = "w"
		s.Profiles[p.Name] = p
	}
	f.snapshot = s
}

func (f *fleet) addVM(ctx context.Context, name string) {
	source := config.NewStaticSource(f.snapshot)
	balancer := balance.New(balance.Settings{}, f.violations)
	client := enginesim.NewDirectClient(f.fabric)
	plans := NewPlanCache(name, balancer, zap.NewNop())
	gate := &Gate{}
	gate.SetLoaded()
	vm := &fleetVM{source: source, balancer: balancer, runner: generation.New(client, generation.Settings{}, f.violations)}
	vm.Router = New(Options{
		VM: name, ConfigSource: source, Admission: admission.New(admission.Settings{}, f.violations), Balancer: balancer,
		Plans: plans, Runner: vm.runner, Dispatcher: dispatch.New(f.services, dispatch.DefaultSettings(), f.violations, nil),
		Claims: claim.New(f.store, name, claim.Settings{}, f.violations), Gate: gate, Observer: noObserver{},
		Invariants: f.violations, Logger: zap.NewNop(), Limits: DefaultLimits(),
	})
	balancer.Update(f.snapshot)
	plans.Update(f.snapshot)
	f.vms = append(f.vms, vm)
	f.work.Go(func() { f.report(ctx, vm, client) })
}

// report passes load reports of the engines to the VM's balancer, as the watcher does.
func (f *fleet) report(ctx context.Context, vm *fleetVM, client *enginesim.DirectClient) {
	for ctx.Err() == nil {
		for name, target := range vm.source.Current().Targets {
			if report, err := client.Load(ctx, target.Address); err == nil && target.Kind == config.KindEngine {
				vm.balancer.Report(name, report)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// setState changes a target's state. The change takes effect on one VM after another.
func (f *fleet) setState(name string, state config.TargetState, lag time.Duration) {
	next := *f.snapshot
	next.Version++
	next.Targets = maps.Clone(f.snapshot.Targets)
	changed := *next.Targets[name]
	changed.State = state
	next.Targets[name] = &changed
	f.snapshot = &next
	for _, vm := range f.vms {
		vm.source.Set(&next)
		vm.balancer.Update(&next)
		vm.Plans.Update(&next)
		time.Sleep(lag)
	}
}

// close stops the fleet after its last request.
func (f *fleet) close() {
	f.stop()
	for _, e := range f.engines {
		e.Close()
	}
	for _, vm := range f.vms {
		vm.runner.Wait()
	}
	f.work.Wait()
}

// memoryServices is a service.Client for in-memory instances. It counts how often each call
// ran, by the body of the call.
type memoryServices struct {
	// sendsTwice and falseNotRun disable safeguards: the transport sends each call twice, and a
	// service declares that it did not run a call although it did.
	sendsTwice  bool
	falseNotRun bool

	mu     sync.Mutex // guards the fields below
	ran    map[string]int
	faults map[string][]serviceFault
}

// serviceFault is a fault of one call.
type serviceFault uint8

const (
	faultResetBefore serviceFault = iota
	faultResetAfter
	faultSilentAfter
	faultNotRun
	faultConnect
	faultStatus500
	serviceFaults
)

func newMemoryServices() *memoryServices {
	return &memoryServices{ran: map[string]int{}, faults: map[string][]serviceFault{}}
}

// injectFault adds a fault of the next call at the address.
func (m *memoryServices) injectFault(address string, f serviceFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[address] = append(m.faults[address], f)
}

// Connect implements service.Client.
func (m *memoryServices) Connect(_ context.Context, address string, _ bool) (service.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := m.faults[address]; len(next) > 0 && next[0] == faultConnect {
		m.faults[address] = next[1:]
		return nil, errors.New("connection refused")
	}
	return &memoryConn{services: m, address: address}, nil
}

// Load implements service.Client.
func (m *memoryServices) Load(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, errors.New("no report")
}

// execute runs a call unless its fault prevents that. It returns the fault, if any.
func (m *memoryServices) execute(address, body string) (fault serviceFault, faulty bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := m.faults[address]; len(next) > 0 {
		m.faults[address] = next[1:]
		fault, faulty = next[0], true
	}
	if m.sendsTwice || m.falseNotRun && fault == faultNotRun {
		m.ran[body]++
	}
	if !faulty || fault == faultResetAfter || fault == faultSilentAfter || fault == faultStatus500 {
		m.ran[body]++
	}
	return fault, faulty
}

// timesRun returns how often a call with the body ran.
func (m *memoryServices) timesRun(body string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[body]
}

type memoryConn struct {
	services *memoryServices
	address  string
}

// Do implements service.Conn.
func (c *memoryConn) Do(ctx context.Context, call service.Call) (service.Response, error) {
	time.Sleep(time.Millisecond)
	fault, faulty := c.services.execute(c.address, string(call.Body))
	time.Sleep(4 * time.Millisecond)
	whole := service.Response{RequestID: call.RequestID, Status: 200, Body: call.Body}
	if !faulty {
		return whole, nil
	}
	switch fault {
	case faultNotRun:
		whole.NotRun = true
		return whole, nil
	case faultStatus500:
		whole.Status = 500
		return whole, nil
	case faultSilentAfter:
		<-ctx.Done()
		return service.Response{}, &service.CallError{Address: c.address, Sent: true, Silent: true, Cause: ctx.Err()}
	}
	return service.Response{}, &service.CallError{Address: c.address, Sent: true, Cause: errors.New("connection reset")}
}

// Release implements service.Conn.
func (c *memoryConn) Release() {}

// noObserver implements Observer.
type noObserver struct{}

func (noObserver) Queued(config.Urgency, time.Duration)        {}
func (noObserver) FirstToken(config.Urgency, time.Duration)    {}
func (noObserver) BetweenTokens(config.Urgency, time.Duration) {}
func (noObserver) Preempted()                                  {}
func (noObserver) Ended(Record)                                {}
