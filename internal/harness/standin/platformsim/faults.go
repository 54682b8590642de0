package platformsim

import (
	"sync"
	"time"
)

// Faults holds the faults in force. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex // guards the fields below
	order   Order
	chooser Chooser
}

// NewFaults returns faults that order none.
func NewFaults() *Faults { return &Faults{} }

// Set replaces the order.
func (f *Faults) Set(order Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = order
}

// Current returns the order, with what is left of its counts.
func (f *Faults) Current() Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.order
}

// Choose lets the chooser decide about each operation that the order leaves alone;
// nil ends it.
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
	if action := f.ordered(op); action.Kind != ActNone {
		return action
	}
	if f.chooser != nil {
		return f.chooser(op)
	}
	return Action{}
}

func (f *Faults) ordered(op Operation) Action {
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
