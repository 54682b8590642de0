package generation

import (
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/invariant"
)

// consume opens the epoch's last stage and commits its tokens. It returns true if the
// response is complete, and false if the epoch ended for any other reason, which is
// recorded in the epoch or in sinkErr.
func (r *run) consume(e *epoch) bool {
	defer e.closeOnDone(r.ctx)()
	last := e.last()
	stream := e.open(r.runner.client, last, r.stageOpen(e, last), r.openTimeout(e, last))
	if stream == nil {
		return false
	}
	onTimeout := func() { e.fail(&fault{stage: last, kind: faultSlow, cause: errNoTokenInTime}) }
	timer := time.AfterFunc(r.runner.settings.FirstTokenTimeout, onTimeout)
	defer timer.Stop()
	for {
		event, err := stream.Recv()
		if err != nil {
			e.fail(newStreamFault(last, err))
			return false
		}
		ended, complete := r.handleEvent(e, event, timer)
		if ended {
			return complete
		}
	}
}

// handleEvent handles one event of the last stage's stream. It reports whether the
// epoch has ended, and whether the response is complete.
func (r *run) handleEvent(e *epoch, event engine.Event, timer *time.Timer) (ended, complete bool) {
	if event.RequestID != r.job.RequestID {
		r.runner.inv.Check(false, invariant.AnswerMatchesRequest, "event for %q on the stream of %q", event.RequestID, r.job.RequestID)
		return r.protocolFault(e, errWrongRequest)
	}
	if event.Epoch < e.number && !r.runner.ignoreEpochFence {
		r.dropStaleEvent()
		return false, false
	}
	if event.Epoch > e.number {
		return r.protocolFault(e, errFutureEpoch)
	}
	switch event.Kind {
	case engine.EventToken:
		return r.handleToken(e, &event, timer)
	case engine.EventDone:
		return r.handleDone(e, event)
	case engine.EventError:
		e.fail(e.reportedFault(e.last(), event))
		return true, false
	}
	return false, false
}

func (r *run) handleToken(e *epoch, event *engine.Event, timer *time.Timer) (ended, complete bool) {
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
		return r.protocolFault(e, errBeyondMaxTokens)
	}
	if !traceMatches(e, event.Trace) {
		r.runner.inv.Check(false, invariant.LayersOnceInOrder, "%s: token %d of epoch %d: %v", r.job.RequestID, next, e.number, event.Trace)
		return r.protocolFault(e, errTraceMismatch)
	}
	return r.commit(e, event, timer), false
}

// commit passes the token to the sink. It reports whether the run has ended because
// the caller has left. The timer for the engines' next token is stopped while the sink
// is busy. Otherwise a slow caller would make the engines appear slow.
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
		r.recordRecovery()
	}
	return false
}

func (r *run) dropStaleEvent() {
	r.runner.counters.staleEvents.Add(1)
	if r.runner.settings.OnStaleEvent != nil {
		r.runner.settings.OnStaleEvent()
	}
}

// handleDone handles the end of the response. A response that ends because of its
// length before it has that length is truncated, and the rest must still be generated.
func (r *run) handleDone(e *epoch, event engine.Event) (ended, complete bool) {
	if event.Finish == finishLength && len(r.committed) < r.job.MaxTokens {
		return r.protocolFault(e, errTruncated)
	}
	r.finish = event.Finish
	return true, true
}

func (r *run) protocolFault(e *epoch, cause error) (ended, complete bool) {
	e.fail(&fault{stage: e.last(), kind: faultProtocol, cause: cause})
	return true, false
}

// traceMatches reports whether the token was generated in this epoch by the epoch's
// stages, each once and in order. Since the stages cover the layers once and in order,
// the trace then does so too.
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
