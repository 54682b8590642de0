package platformsim

import (
	"sync"
	"time"
)

// Faults holds the current faults. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex // guards the fields below
	order   Order
	chooser Chooser
}

// NewFaults returns Faults without any fault.
func NewFaults() *Faults { return &Faults{} }

// Set replaces the order.
func (f *Faults) Set(order Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = order
}

// Current returns the order, with the remaining values of its counters.
func (f *Faults) Current() Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order
}

// Choose sets the chooser that selects the action for each operation without a fault
// in the order; nil removes it. The chooser is called with the lock of Faults held, so
// it must not call methods of Faults.
func (f *Faults) Choose(chooser Chooser) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser = chooser
}

func (f *Faults) vmLag() (lag time.Duration, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.order.VMLag), f.order.FreezeVMs
}

func (f *Faults) next(op Operation) Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	if action := f.configured(op); action.Kind != ActNone {
		return action
	}
	if f.chooser != nil {
		return f.chooser(op)
	}
	return Action{}
}

// configured returns the action that the order has for an operation, and decrements
// its counters. The caller must hold the lock.
func (f *Faults) configured(op Operation) Action {
	switch {
	case f.order.Outage == OutageHang:
		return Action{Kind: ActHang}
	case f.order.Outage != OutageNone:
		return Action{Kind: ActUnavailable}
	case op == OpCommit && f.order.LoseAnswers > 0:
		f.order.LoseAnswers--
		return Action{Kind: ActLoseAnswer}
	case op == OpCommit && f.order.DelayCommits > 0:
		f.order.DelayCommits--
		return Action{Kind: ActDelay, Wait: time.Duration(f.order.DelayBy)}
	case f.order.SlowBy > 0:
		return Action{Kind: ActSlow, Wait: time.Duration(f.order.SlowBy)}
	default:
		return Action{}
	}
}
