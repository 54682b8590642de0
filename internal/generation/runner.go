package generation

import (
	"context"
	"sync"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// Runner runs generations. It is safe for concurrent use.
type Runner struct {
	client   engine.Client
	settings Settings
	inv      *invariant.Registry
	counters counters
	// cancelSlots bounds the number of cancels in progress, and cancels waits for them.
	cancelSlots chan struct{}
	cancels     sync.WaitGroup
	// ignoreEpochFence disables the check for events of old epochs. Tests set it to show
	// that the invariants detect the fault.
	ignoreEpochFence bool
}

// New returns a runner that uses the client to reach the engines.
func New(client engine.Client, s Settings, inv *invariant.Registry) *Runner {
	s = s.WithDefaults()
	return &Runner{client: client, settings: s, inv: inv, cancelSlots: make(chan struct{}, s.MaxCancels)}
}

// Run executes the job and returns when the sink has the last token or the job cannot
// continue. The error is an *outcome.Failure. When Run returns, all streams are closed,
// all placements are released and all goroutines of the run have ended. Only cancels of
// old epochs may still be in progress, for at most CancelTimeout, because a dead engine
// must not delay a complete response.
func (r *Runner) Run(ctx context.Context, j Job, sink Sink) (Result, error) {
	r.counters.running.Add(1)
	defer r.counters.running.Add(-1)
	if !j.Deadline.IsZero() {
		bounded, cancel := context.WithDeadline(ctx, j.Deadline)
		defer cancel()
		ctx = bounded
	}
	state := newRun(ctx, r, j, sink)
	err := state.loop()
	return state.result(), err
}

// Wait waits until no cancel of an old epoch is in progress.
func (r *Runner) Wait() { r.cancels.Wait() }

// Stats returns the runner's counters.
func (r *Runner) Stats() Stats { return r.counters.stats() }

// Dump returns the runner's state for the dump of the process.
func (r *Runner) Dump() any { return r.Stats() }
