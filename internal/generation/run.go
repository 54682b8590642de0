package generation

import (
	"context"
	"time"

	"geraniumcroft/internal/engine"
)

// run is the state of one generation across its epochs. It is used only by the
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
	// mayHaveRun is set when some layer of the request may have run.
	mayHaveRun bool

	holders kvHolders
	// reconnected has the targets that the run has reconnected to, which it does once.
	reconnected map[string]bool
	// unconfirmed has the targets for which it is unknown whether they respond at all.
	// The next epoch opens them with ReconnectTimeout.
	unconfirmed       map[string]bool
	excluded          map[string]bool
	consecutiveFaults int
	// busyEpochs is the number of epochs that ended because an engine had no free slot.
	busyEpochs int
	retryPause time.Duration
	// failedAt is the time of the failure that the run is recovering from. It is zero if
	// there is none.
	failedAt time.Time
}

func newRun(ctx context.Context, r *Runner, j Job, sink Sink) *run {
	return &run{
		ctx: ctx, runner: r, job: j, sink: sink, placement: j.FirstPlacement, layers: j.Layers,
		reconnected: map[string]bool{}, unconfirmed: map[string]bool{}, excluded: map[string]bool{}, retryPause: r.settings.RetryPause,
	}
}

func (r *run) result() Result {
	return Result{Tokens: len(r.committed), Finish: r.finish, Epochs: int(r.epochs)}
}

// loop runs epochs until the response is complete or cannot be completed.
func (r *run) loop() error {
	for {
		if failure := r.checkPlacement(); failure != nil {
			r.release(nil)
			return failure
		}
		e := r.startEpoch()
		complete := r.consume(e)
		e.close()
		e.wait()
		r.mayHaveRun = r.mayHaveRun || e.mayHaveRun.Load()
		if complete || r.completeWithoutDone() {
			r.release(nil)
			return nil
		}
		r.runner.cancelStages(r.job.RequestID, e.number, e.stages)
		if failure := r.prepareNext(e); failure != nil {
			r.release(nil)
			return failure
		}
	}
}

// completeWithoutDone reports whether all tokens are committed although the epoch ended
// before the done event arrived. The response is then complete.
func (r *run) completeWithoutDone() bool {
	if r.job.MaxTokens == 0 || len(r.committed) < r.job.MaxTokens {
		return false
	}
	r.finish = finishLength
	return true
}

// startEpoch starts the next epoch. It opens all stages but the last, each in its own
// goroutine.
func (r *run) startEpoch() *epoch {
	r.epochs++
	e := newEpoch(r.ctx, r.epochs, r.placement.Stages())
	if r.job.Preempt != nil {
		e.goroutines.Go(func() { r.watchPreempt(e) })
	}
	for stage := range e.stages[:e.last()] {
		open, timeout := r.stageOpen(e, stage), r.openTimeout(e, stage)
		e.goroutines.Go(func() {
			if stream := e.open(r.runner.client, stage, open, timeout); stream != nil {
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

// openTimeout returns the timeout for opening a stage. It is short if it is unknown
// whether the target responds.
func (r *run) openTimeout(e *epoch, stage int) time.Duration {
	if r.unconfirmed[e.stages[stage].Target.Name] {
		return r.runner.settings.ReconnectTimeout
	}
	return r.runner.settings.OpenTimeout
}

func (r *run) stageOpen(e *epoch, stage int) engine.StageOpen {
	count := len(r.committed)
	importSource := r.holders.importSource(e.hops[stage].Target, e.hops[stage].Layers)
	e.imported = e.imported || importSource != ""
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
		// The run only appends to the slice, so the part that is passed here never changes.
		Committed:    r.committed[:count:count],
		MaxTokens:    r.job.MaxTokens,
		KeepKV:       true,
		ImportKVFrom: importSource,
	}
}
