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

const worldLayers = 8

// world is several routers before the same stand-ins, without a network, so that
// it runs in virtual time.
type world struct {
	store      *platformsim.Store
	fabric     *enginesim.Fabric
	engines    map[string]*enginesim.Engine
	services   *memoryServices
	vms        []*worldVM
	snapshot   *config.Snapshot
	violations *invariant.Registry
	stop       context.CancelFunc
	work       sync.WaitGroup
}

// worldVM is one router of the world.
type worldVM struct {
	*Router
	source   *config.StaticSource
	balancer *balance.Balancer
	runner   *generation.Runner
}

func newWorld(vms int) *world {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{
		store: platformsim.NewStore(), fabric: enginesim.NewFabric(nil), engines: map[string]*enginesim.Engine{},
		services: newMemoryServices(), violations: invariant.NewRegistry(nil), stop: stop,
	}
	w.configure()
	for number := range vms {
		w.addVM(ctx, fmt.Sprintf("entry-%d", number))
	}
	return w
}

func (w *world) configure() {
	s := config.NewSnapshot()
	s.Version = 1
	model := &config.Model{Name: "m", Layers: worldLayers, Versions: []string{"1"}}
	s.Models["m"] = model
	s.Workspaces["w"] = &config.Workspace{Name: "w"}
	ranges := []config.LayerRange{{From: 0, To: 5}, {From: 0, To: 4}, {From: 4, To: 8}, {From: 3, To: 8}}
	for i, held := range ranges {
		e := enginesim.New(enginesim.Options{
			Name: fmt.Sprintf("e%d", i), Model: model, Version: "1", Layers: held, Slots: 3,
			LayerTokensPerSecond: 1000, Fabric: w.fabric,
		})
		e.Attach(fmt.Sprintf("10.0.0.%d:1", i))
		w.engines[e.Name()] = e
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
	w.snapshot = s
}

func (w *world) addVM(ctx context.Context, name string) {
	source := config.NewStaticSource(w.snapshot)
	balancer := balance.New(balance.Settings{}, w.violations)
	client := enginesim.NewDirectClient(w.fabric)
	plans := NewPlanCache(name, balancer, zap.NewNop())
	gate := &Gate{}
	gate.SetLoaded()
	vm := &worldVM{source: source, balancer: balancer, runner: generation.New(client, generation.Settings{}, w.violations)}
	vm.Router = New(Options{
		VM: name, Source: source, Admission: admission.New(admission.Settings{}, w.violations), Balancer: balancer,
		Plans: plans, Runner: vm.runner, Dispatcher: dispatch.New(w.services, dispatch.DefaultSettings(), w.violations, nil),
		Claims: claim.New(w.store, name, claim.Settings{}, w.violations), Gate: gate, Observer: noObserver{},
		Invariants: w.violations, Logger: zap.NewNop(), Limits: DefaultLimits(),
	})
	balancer.Update(w.snapshot)
	plans.Update(w.snapshot)
	w.vms = append(w.vms, vm)
	w.work.Go(func() { w.report(ctx, vm, client) })
}

// report gives the VM load reports, as the watcher does.
func (w *world) report(ctx context.Context, vm *worldVM, client *enginesim.DirectClient) {
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

// setState puts a change of a target's state in force on one VM after another.
func (w *world) setState(name string, state config.TargetState, lag time.Duration) {
	next := *w.snapshot
	next.Version++
	next.Targets = maps.Clone(w.snapshot.Targets)
	changed := *next.Targets[name]
	changed.State = state
	next.Targets[name] = &changed
	w.snapshot = &next
	for _, vm := range w.vms {
		vm.source.Set(&next)
		vm.balancer.Update(&next)
		vm.Plans.Update(&next)
		time.Sleep(lag)
	}
}

// close ends the world after its last request.
func (w *world) close() {
	w.stop()
	for _, e := range w.engines {
		e.Close()
	}
	for _, vm := range w.vms {
		vm.runner.Wait()
	}
	w.work.Wait()
}

// memoryServices is a service.Client over instances in memory. It records what
// ran, by the body of the call.
type memoryServices struct {
	// sendsTwice and forgets are planted faults: a transport that resends, and a
	// service whose declaration that it did not run a call is untrue.
	sendsTwice bool
	forgets    bool

	mu     sync.Mutex // guards the fields below
	ran    map[string]int
	faults map[string][]serviceFault
}

// serviceFault is what happens to one call.
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

func (m *memoryServices) order(address string, f serviceFault) {
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

func (m *memoryServices) execute(address, body string) (fault serviceFault, faulty bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := m.faults[address]; len(next) > 0 {
		m.faults[address] = next[1:]
		fault, faulty = next[0], true
	}
	if m.sendsTwice || m.forgets && fault == faultNotRun {
		m.ran[body]++
	}
	if !faulty || fault == faultResetAfter || fault == faultSilentAfter || fault == faultStatus500 {
		m.ran[body]++
	}
	return fault, faulty
}

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
