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
	// cancelSlots bounds the cancels under way; background counts them.
	cancelSlots chan struct{}
	background  sync.WaitGroup
	// acceptOldEpochs takes the epoch fence out; tests plant this fault.
	acceptOldEpochs bool
}

// New returns a runner that talks to engines by client.
func New(client engine.Client, s Settings, inv *invariant.Registry) *Runner {
	s = s.WithDefaults()
	return &Runner{client: client, settings: s, inv: inv, cancelSlots: make(chan struct{}, s.MaxCancels)}
}

// Run executes the job and returns when the sink has its last token or the job
// cannot go on. The error is an *outcome.Failure. When Run returns, every stream
// is closed, every placement released and every goroutine of the run ended; only
// cancels of old epochs may still be under way, bounded by CancelTimeout, because
// a dead engine must not hold up an answer that is whole.
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

// Wait returns when no cancel of an old epoch is under way any more.
func (r *Runner) Wait() { r.background.Wait() }

// Stats returns the runner's counters.
func (r *Runner) Stats() Stats { return r.counters.stats() }

// Dump returns the runner's state for the process's dump.
func (r *Runner) Dump() any { return r.Stats() }
