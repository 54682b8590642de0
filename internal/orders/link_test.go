package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/harness/standin/vmsim"
)

// orderFault is what happens to one order.
type orderFault struct {
	// stall pauses the VM between the lease's check and the sending.
	stall time.Duration
	// delay is the order's time on the way.
	delay time.Duration
	// loseAnswer and loseOrder lose the answer, the latter with the order.
	loseAnswer bool
	loseOrder  bool
}

// link is one VM's way to the engines.
type link struct {
	vm      *vmsim.VM
	engines map[string]*fakeEngine
	// slowState is how long the answer to a reading is on its way.
	slowState time.Duration

	mu   sync.Mutex // guards next
	next func() orderFault
}

func (l *link) setFault(next func() orderFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
}

// failOnce lets one order meet the fault.
func (l *link) failOnce(fault orderFault) {
	l.setFault(func() orderFault {
		once := fault
		fault = orderFault{}
		return once
	})
}

func (l *link) fault() orderFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		return orderFault{}
	}
	return l.next()
}

func (l *link) State(_ context.Context, address string) (engine.State, error) {
	l.vm.Running()
	defer l.vm.Running()
	state := l.engines[address].read()
	time.Sleep(l.slowState)
	return state, nil
}

// Order sends the order even when ctx ended during the stall: between a check and
// the write no deadline helps.
func (l *link) Order(ctx context.Context, address string, order engine.Order) error {
	f := l.fault()
	if f.stall > 0 {
		l.vm.Pause()
		time.Sleep(f.stall)
		l.vm.Wake()
	}
	if f.loseOrder || f.loseAnswer {
		if !f.loseOrder {
			time.AfterFunc(f.delay, func() { _ = l.engines[address].obey(order) })
		}
		<-ctx.Done()
		l.vm.Running()
		return &engine.OrderError{Address: address, Ambiguous: true, Cause: ctx.Err()}
	}
	time.Sleep(f.delay)
	err := l.engines[address].obey(order)
	l.vm.Running()
	if errors.Is(err, errOldFencing) {
		return &engine.OrderError{Address: address, OldFencing: true, Cause: err}
	}
	return nil
}
