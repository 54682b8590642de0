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

// entry is one request in progress.
type entry struct {
	meta    Metadata
	profile *config.Profile
	pool    string
	// model is the model that serves a generation.
	model     config.ModelRef
	deadline  time.Time
	sendGuard *dispatch.SendGuard
	// preempt receives a signal to release the engines. It is nil for requests that are never
	// preempted.
	preempt chan struct{}

	tokens atomic.Int64
	// gap is used only by the goroutine that runs the generation.
	gap gapMeter

	mu    sync.Mutex // guards the fields below
	phase Phase
	since time.Time
	ended bool
}

// setPhase records that the request has entered a phase.
func (e *entry) setPhase(p Phase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.phase, e.since = p, time.Now()
}

// currentPhase returns the phase of the request and when it was entered.
func (e *entry) currentPhase() (Phase, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.phase, e.since
}

// end ends the request with its outcome. It checks the two guarantees to the caller: one
// outcome, and "not run" only for a request that was not sent.
func (e *entry) end(o outcome.Outcome, invariants *invariant.Registry) {
	e.sendGuard.Close()
	e.mu.Lock()
	alreadyEnded := e.ended
	e.ended = true
	e.mu.Unlock()
	invariants.Check(!alreadyEnded, invariant.OneOutcome, "request %s ended twice", e.meta.RequestID)
	truthful := o != outcome.NotRun || !e.sendGuard.MayHaveRun()
	invariants.Check(truthful, invariant.NoDispatchAfterOutcome, "request %s was sent and told as not run", e.meta.RequestID)
}
