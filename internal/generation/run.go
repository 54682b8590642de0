package generation

import (
	"context"
	"time"

	"geraniumcroft/internal/engine"
)

// run is the state of one generation across its epochs. It belongs to the
// goroutine that called Run.
type run struct {
	ctx    context.Context
	runner *Runner
	job    Job
	sink   Sink

	placement Placement
	layers    int
	epochs    uint32
	committed []string
	finish    string
	sinkErr   error
	// started says that some layer of the request may have run.
	started bool

	holders   kvHolders
	suspected map[string]bool
	// unproven are targets of which it is not known whether they answer at all: the
	// next epoch gives them little time.
	unproven map[string]bool
	excluded map[string]bool
	faults   int
	// busy counts the epochs that an engine without a free slot ended.
	busy  int
	pause time.Duration
	// failedAt is when the present recovery began; zero when there is none.
	failedAt time.Time
}

func newRun(ctx context.Context, r *Runner, j Job, sink Sink) *run {
	return &run{
		ctx: ctx, runner: r, job: j, sink: sink, placement: j.FirstPlacement, layers: j.Layers,
		suspected: map[string]bool{}, unproven: map[string]bool{}, excluded: map[string]bool{}, pause: r.settings.RetryPause,
	}
}

func (r *run) result() Result {
	return Result{Tokens: len(r.committed), Finish: r.finish, Epochs: int(r.epochs)}
}

// loop runs epochs until the answer is whole or cannot become so.
func (r *run) loop() error {
	for {
		if failure := r.checkPlacement(); failure != nil {
			r.release(nil)
			return failure
		}
		e := r.startEpoch()
		whole := r.consume(e)
		e.close()
		e.wait()
		r.started = r.started || e.started.Load()
		if whole || r.onlyEndLost() {
			r.release(nil)
			return nil
		}
		r.runner.cancelStages(r.job.RequestID, e.number, e.stages)
		if failure := r.next(e); failure != nil {
			r.release(nil)
			return failure
		}
	}
}

// onlyEndLost reports whether all tokens are committed although the epoch ended
// before the engine said so; nothing is owed any more.
func (r *run) onlyEndLost() bool {
	if r.job.MaxTokens == 0 || len(r.committed) < r.job.MaxTokens {
		return false
	}
	r.finish = finishLength
	return true
}

// startEpoch opens all stages but the last in goroutines of their own.
func (r *run) startEpoch() *epoch {
	r.epochs++
	e := newEpoch(r.ctx, r.epochs, r.placement.Stages())
	if r.job.Preempt != nil {
		e.work.Go(func() { r.watchPreempt(e) })
	}
	for stage := range e.stages[:e.last()] {
		open, bound := r.stageOpen(e, stage), r.openBound(e, stage)
		e.work.Go(func() {
			if stream := e.open(r.runner.client, stage, open, bound); stream != nil {
				e.watch(stage, stream, open.RequestID)
			}
		})
	}
	return e
}

func (r *run) watchPreempt(e *epoch) {
	select {
	case <-r.job.Preempt:
		e.preempt()
	case <-e.ctx.Done():
	}
}

// openBound is short for a target that must prove first that it answers.
func (r *run) openBound(e *epoch, stage int) time.Duration {
	if r.unproven[e.stages[stage].Target.Name] {
		return r.runner.settings.ReconnectTimeout
	}
	return r.runner.settings.OpenTimeout
}

func (r *run) stageOpen(e *epoch, stage int) engine.StageOpen {
	count := len(r.committed)
	source := r.holders.source(e.hops[stage].Target, e.hops[stage].Layers)
	e.imported = e.imported || source != ""
	return engine.StageOpen{
		RequestID: r.job.RequestID,
		Epoch:     e.number,
		Model:     r.job.Model,
		Version:   r.job.Version,
		Adapter:   r.job.Adapter,
		Priority:  r.job.Priority,
		Hops:      e.hops,
		Index:     stage,
		Prompt:    r.job.Prompt,
		// The run only appends, so the engines' part of the slice stays as it is.
		Committed:    r.committed[:count:count],
		MaxTokens:    r.job.MaxTokens,
		KeepKV:       true,
		ImportKVFrom: source,
	}
}
