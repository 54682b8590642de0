package router

import (
	"sync"
	"time"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/config"
	"geraniumcroft/internal/plan"
)

// placement is a plan with a reserved slot on each of its targets.
type placement struct {
	plan plan.Plan
	// gap measures the stream on these targets, and slowDetector evaluates it. Both are nil
	// before the placement is used.
	gap          *gapMeter
	slowDetector *slowDetector

	mu    sync.Mutex // guards the field below
	slots map[string]*balance.Slot
}

// Stages implements generation.Placement.
func (p *placement) Stages() []plan.Stage { return p.plan.Stages }

// Release implements generation.Placement. Targets that are not in results have completed
// their work, but may be slow.
func (p *placement) Release(results map[string]balance.Result) {
	p.mu.Lock()
	slots := p.slots
	p.slots = nil
	p.mu.Unlock()
	var completed []*config.Target
	for name, slot := range slots {
		if _, named := results[name]; !named {
			completed = append(completed, slot.Target())
		}
	}
	slow := p.slowTargets(completed)
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

// slowTargets records the stream's gap and returns which of the targets are slow.
func (p *placement) slowTargets(completed []*config.Target) map[string]bool {
	if p.gap == nil {
		return nil
	}
	gap, known := p.gap.mean()
	if !known {
		return nil
	}
	now := time.Now()
	p.slowDetector.add(completed, gap, now)
	isSlow := map[string]bool{}
	for _, t := range completed {
		isSlow[t.Name] = p.slowDetector.isSlow(t, completed, now)
	}
	return isSlow
}

// startMeasuring starts to measure the entry's stream on this placement.
func (p *placement) startMeasuring(e *entry, slowDetector *slowDetector) *placement {
	e.gap.reset()
	p.gap, p.slowDetector = &e.gap, slowDetector
	return p
}

// undo releases the slots of a plan that could not be reserved completely.
func (p *placement) undo() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, slot := range p.slots {
		slot.Undo()
	}
	p.slots = nil
}
