package generation

import (
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// consume opens the epoch's last stage and commits its tokens. It returns true
// when the answer is whole, and false when the epoch ended for any other reason,
// which the epoch or sinkErr tells.
func (r *run) consume(e *epoch) bool {
	defer e.closeWith(r.ctx)()
	last := e.last()
	stream := e.open(r.runner.client, last, r.stageOpen(e, last), r.openBound(e, last))
	if stream == nil {
		return false
	}
	slow := func() { e.fail(&fault{stage: last, kind: faultSlow, cause: errNoTokenInTime}) }
	timer := time.AfterFunc(r.runner.settings.FirstTokenTimeout, slow)
	defer timer.Stop()
	for {
		event, err := stream.Recv()
		if err != nil {
			e.fail(streamFault(last, err))
			return false
		}
		over, whole := r.take(e, event, timer)
		if over {
			return whole
		}
	}
}

// take handles one event of the last stage's stream.
func (r *run) take(e *epoch, event engine.Event, timer *time.Timer) (over, whole bool) {
	if event.RequestID != r.job.RequestID {
		r.runner.inv.Check(false, invariant.AnswerMatchesRequest, "event for %q on the stream of %q", event.RequestID, r.job.RequestID)
		return r.protocolFault(e, errWrongRequest)
	}
	if event.Epoch < e.number && !r.runner.acceptOldEpochs {
		r.dropStale()
		return false, false
	}
	if event.Epoch > e.number {
		return r.protocolFault(e, errFutureEpoch)
	}
	switch event.Kind {
	case engine.EventToken:
		return r.takeToken(e, &event, timer)
	case engine.EventDone:
		return r.takeDone(e, event)
	case engine.EventError:
		e.fail(e.reported(e.last(), event))
		return true, false
	}
	return false, false
}

func (r *run) takeToken(e *epoch, event *engine.Event, timer *time.Timer) (over, whole bool) {
	next := len(r.committed)
	if event.Position < next {
		r.runner.counters.duplicates.Add(1)
		return false, false
	}
	if event.Position > next {
		r.runner.inv.Check(false, invariant.NoTokenGapOrRepeat, "%s: token %d came when %d was due", r.job.RequestID, event.Position, next)
		return r.protocolFault(e, errTokenGap)
	}
	if r.job.MaxTokens > 0 && next >= r.job.MaxTokens {
		return r.protocolFault(e, errTooLong)
	}
	if !traceMatches(e, event.Trace) {
		r.runner.inv.Check(false, invariant.LayersOnceInOrder, "%s: token %d of epoch %d: %v", r.job.RequestID, next, e.number, event.Trace)
		return r.protocolFault(e, errTrace)
	}
	return r.commit(e, event, timer), false
}

// commit hands the token to the sink; it reports whether the run is over because
// the caller is gone. The engines' time does not run while the sink is busy, or a
// slow caller would make them look slow.
func (r *run) commit(e *epoch, event *engine.Event, timer *time.Timer) bool {
	timer.Stop()
	defer timer.Reset(r.runner.settings.InterTokenTimeout)
	if err := r.sink.Token(event.Position, event.Text); err != nil {
		r.sinkErr = err
		e.close()
		return true
	}
	r.committed = append(r.committed, event.Text)
	e.progressed = true
	r.runner.counters.committed.Add(1)
	if !r.failedAt.IsZero() {
		r.recovered()
	}
	return false
}

func (r *run) dropStale() {
	r.runner.counters.staleEvents.Add(1)
	if r.runner.settings.OnStaleEvent != nil {
		r.runner.settings.OnStaleEvent()
	}
}

// takeDone accepts the end of the answer. An answer that ends for its length
// before it has that length was cut off, and the rest is still owed.
func (r *run) takeDone(e *epoch, event engine.Event) (over, whole bool) {
	if event.Finish == finishLength && len(r.committed) < r.job.MaxTokens {
		return r.protocolFault(e, errTruncated)
	}
	r.finish = event.Finish
	return true, true
}

func (r *run) protocolFault(e *epoch, cause error) (over, whole bool) {
	e.fail(&fault{stage: e.last(), kind: faultProtocol, cause: cause})
	return true, false
}

// traceMatches reports whether the token was made by the epoch's stages, each
// once, in order, in this epoch. As the stages cover the layers once and in
// order, so does the trace.
func traceMatches(e *epoch, trace []engine.Execution) bool {
	if len(trace) != len(e.stages) {
		return false
	}
	for i := range trace {
		stage := &e.stages[i]
		if trace[i].Epoch != e.number || trace[i].Layers != stage.Layers || trace[i].Target != stage.Target.Name {
			return false
		}
	}
	return true
}
