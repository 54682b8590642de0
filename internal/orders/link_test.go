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
	// pause is how long the VM is paused between the check of the lease and the sending.
	pause time.Duration
	// delay is how long the order takes to arrive.
	delay time.Duration
	// loseAnswer drops the answer, loseOrder the order and its answer.
	loseAnswer bool
	loseOrder  bool
}

// link is one VM's connection to the engines.
type link struct {
	vm      *vmsim.VM
	engines map[string]*fakeEngine
	// slowState is how long an answer of State takes to arrive.
	slowState time.Duration

	mu   sync.Mutex // guards next
	next func() orderFault
}

func (l *link) setFault(next func() orderFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
}

// failOnce injects the fault into the next order only.
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
	l.vm.AwaitRunning()
	defer l.vm.AwaitRunning()
	state := l.engines[address].read()
	time.Sleep(l.slowState)
	return state, nil
}

// Order sends the order even if ctx ended during the pause: no deadline takes effect between a
// check and the write.
func (l *link) Order(ctx context.Context, address string, order engine.Order) error {
	f := l.fault()
	if f.pause > 0 {
		l.vm.Pause()
		time.Sleep(f.pause)
		l.vm.Resume()
	}
	if f.loseOrder || f.loseAnswer {
		if !f.loseOrder {
			time.AfterFunc(f.delay, func() { _ = l.engines[address].apply(order) })
		}
		<-ctx.Done()
		l.vm.AwaitRunning()
		return &engine.OrderError{Address: address, Ambiguous: true, Cause: ctx.Err()}
	}
	time.Sleep(f.delay)
	err := l.engines[address].apply(order)
	l.vm.AwaitRunning()
	if errors.Is(err, errOldFencing) {
		return &engine.OrderError{Address: address, OldFencing: true, Cause: err}
	}
	return nil
}
