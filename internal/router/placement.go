package router

import (
	"sync"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/plan"
)

// placement is a plan with a slot taken on each of its targets.
type placement struct {
	plan plan.Plan

	mu    sync.Mutex // guards the field below
	slots map[string]*balance.Slot
}

// Stages implements generation.Placement.
func (p *placement) Stages() []plan.Stage { return p.plan.Stages }

// Release implements generation.Placement. Targets that are not named in results
// did their work.
func (p *placement) Release(results map[string]balance.Result) {
	p.mu.Lock()
	slots := p.slots
	p.slots = nil
	p.mu.Unlock()
	for name, slot := range slots {
		result, named := results[name]
		if !named {
			result = balance.ResultOK
		}
		slot.Release(result)
	}
}

// undo gives back slots of a plan that could not be taken whole.
func (p *placement) undo() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, slot := range p.slots {
		slot.Undo()
	}
	p.slots = nil
}
