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

// services are the instances of plain services, in memory. They record what ran,
// by the body of the call.
type services struct {
	mu     sync.Mutex // guards the fields below
	ran    map[string]int
	faults map[string][]serviceFault
}

func newServices() *services {
	return &services{ran: map[string]int{}, faults: map[string][]serviceFault{}}
}

func (m *services) order(address string, f serviceFault) {
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

// serviceLink is one VM's way to the services.
type serviceLink struct {
	world *world
	vm    *vm
}

// Connect implements service.Client.
func (l *serviceLink) Connect(_ context.Context, address string, _ bool) (service.Conn, error) {
	if l.vm.severed.Load() {
		return nil, pipenet.ErrRefused
	}
	if err := l.world.services.connect(address); err != nil {
		return nil, err
	}
	return &serviceConn{link: l, address: address}, nil
}

// Load implements service.Client.
func (l *serviceLink) Load(context.Context, string) (engine.LoadReport, error) {
	return engine.LoadReport{}, errors.New("no report")
}

type serviceConn struct {
	link    *serviceLink
	address string
}

const (
	serviceLatency = time.Millisecond
	serviceTime    = 40 * time.Millisecond
)

// Do implements service.Conn.
func (c *serviceConn) Do(ctx context.Context, call service.Call) (service.Response, error) {
	c.link.world.sends.add(send{vm: c.link.vm.name, request: call.RequestID, address: c.address, at: time.Now()})
	time.Sleep(serviceLatency)
	fault, faulty := c.link.world.services.execute(c.address, string(call.Body))
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
