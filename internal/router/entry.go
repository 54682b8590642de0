package router

import (
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/dispatch"
	"geraniumcroft/internal/invariant"
	"geraniumcroft/internal/outcome"
)

// entry is one request in hand.
type entry struct {
	id      Metadata
	profile *config.Profile
	pool    string
	// model is what serves a generation.
	model    config.ModelRef
	deadline time.Time
	boundary *dispatch.SendGuard
	// preempt takes a signal to give the engines back; it is nil for requests that
	// are never preempted.
	preempt chan struct{}

	tokens atomic.Int64
	// pace belongs to the goroutine that runs the generation.
	pace paceMeter

	mu    sync.Mutex // guards the fields below
	stage Phase
	since time.Time
	ended bool
}

func (e *entry) enter(s Phase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stage, e.since = s, time.Now()
}

func (e *entry) at() (Phase, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage, e.since
}

// end closes the entry with its outcome. The two checks are the promise to the
// caller: one outcome, and "not run" only for what was not sent.
func (e *entry) end(o outcome.Outcome, invariants *invariant.Registry) {
	e.boundary.Close()
	e.mu.Lock()
	again := e.ended
	e.ended = true
	e.mu.Unlock()
	invariants.Check(!again, invariant.OneOutcome, "request %s ended twice", e.id.RequestID)
	truthful := o != outcome.NotRun || !e.boundary.MayHaveRun()
	invariants.Check(truthful, invariant.NoDispatchAfterOutcome, "request %s was sent and told as not run", e.id.RequestID)
}
