package fleettest

import (
	"context"
	"errors"
	"sync"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/pipenet"
	"geraniumcroft/internal/service"
)

// serviceFault is a fault of one call to a service.
type serviceFault uint8

const (
	faultResetBefore serviceFault = iota
	faultResetAfter
	faultSilentAfter
	faultNotRun
	faultConnect
	faultStatus500
	serviceFaultCount
)

// services simulates the instances of a plain service in memory. It counts executions
// by the body of the call. It is safe for concurrent use.
type services struct {
	mu     sync.Mutex // guards the fields below
	ran    map[string]int
	faults map[string][]serviceFault
}

func newServices() *services {
	return &services{ran: map[string]int{}, faults: map[string][]serviceFault{}}
}

func (m *services) inject(address string, f serviceFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[address] = append(m.faults[address], f)
}

func (m *services) healAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.faults)
}

func (m *services) connect(address string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := m.faults[address]; len(next) > 0 && next[0] == faultConnect {
		m.faults[address] = next[1:]
		return pipenet.ErrRefused
	}
	return nil
}

func (m *services) execute(address, body string) (fault serviceFault, faulty bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next := m.faults[address]; len(next) > 0 {
		m.faults[address] = next[1:]
		fault, faulty = next[0], true
	}
	if !faulty || fault == faultResetAfter || fault == faultSilentAfter || fault == faultStatus500 {
		m.ran[body]++
	}
	return fault, faulty
}

func (m *services) timesRun(body string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ran[body]
}

// serviceClient is the service.Client of one VM.
type serviceClient struct {
	world *world
	vm    *vm
}

// Connect implements service.Client.
func (c *serviceClient) Connect(_ context.Context, address string, _ bool) (service.Conn, error) {
	if c.vm.dead.Load() {
		return nil, pipenet.ErrRefused
	}
	if err := c.world.services.connect(address); err != nil {
		return nil, err
	}
	return &serviceConn{client: c, address: address}, nil
}

// Load implements service.Client.
func (c *serviceClient) Load(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, errors.New("no report")
}

type serviceConn struct {
	client  *serviceClient
	address string
}

const (
	serviceLatency = time.Millisecond
	serviceTime    = 40 * time.Millisecond
)

// Do implements service.Conn.
func (c *serviceConn) Do(ctx context.Context, call service.Call) (service.Response, error) {
	c.client.world.sends.add(send{vm: c.client.vm.name, request: call.RequestID, address: c.address, at: time.Now()})
	time.Sleep(serviceLatency)
	fault, faulty := c.client.world.services.execute(c.address, string(call.Body))
	time.Sleep(serviceTime)
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
func (c *serviceConn) Release() {}
