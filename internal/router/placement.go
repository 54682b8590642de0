package router

import (
	"sync"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/plan"
)

// placement is a plan with a slot taken on each of its targets.
type placement struct {
	plan plan.Plan
	// pace measures the stream on these targets, and paces judges it; nil before
	// the placement is used.
	pace  *paceMeter
	paces *paces

	mu    sync.Mutex // guards the field below
	slots map[string]*balance.Slot
}

// Stages implements generation.Placement.
func (p *placement) Stages() []plan.Stage { return p.plan.Stages }

// Release implements generation.Placement. Targets that are not named in results
// did their work, though perhaps far too slowly.
func (p *placement) Release(results map[string]balance.Result) {
	p.mu.Lock()
	slots := p.slots
	p.slots = nil
	p.mu.Unlock()
	var worked []*config.Target
	for name, slot := range slots {
		if _, named := results[name]; !named {
			worked = append(worked, slot.Target())
		}
	}
	slow := p.slowOnes(worked)
	for name, slot := range slots {
		result, named := results[name]
		switch {
		case named:
		case slow[name]:
			result = balance.ResultSlow
		default:
			result = balance.ResultOK
		}
		slot.Release(result)
	}
}

// slowOnes takes the stream's pace and returns which of the targets are slow.
func (p *placement) slowOnes(worked []*config.Target) map[string]bool {
	if p.pace == nil {
		return nil
	}
	pace, known := p.pace.mean()
	if !known {
		return nil
	}
	now := time.Now()
	p.paces.add(worked, pace, now)
	slow := map[string]bool{}
	for _, t := range worked {
		slow[t.Name] = p.paces.slow(t, worked, now)
	}
	return slow
}

// measure begins to measure the entry's stream on this placement.
func (p *placement) measure(e *entry, paces *paces) *placement {
	e.pace.begin()
	p.pace, p.paces = &e.pace, paces
	return p
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
