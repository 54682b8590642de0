package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/plan"
)

// epoch is one set of opened streams. The run's goroutine opens and reads the last
// stage. Each other stage has a goroutine that opens its stream and reads heartbeats
// and errors. The first fault, a preemption or the end of the context closes all
// streams, which ends all reads.
type epoch struct {
	number     uint32
	stages     []plan.Stage
	hops       []engine.Hop
	ctx        context.Context
	cancel     context.CancelFunc
	startTime  time.Time
	goroutines sync.WaitGroup
	// imported is set when a stage is asked to import KV cache, progressed when a token
	// is committed. Both are used by the run's goroutine only.
	imported, progressed bool
	// mayHaveRun is set when the first stage may have started. The other stages have no
	// input before that, so while it is not set no layer has run.
	mayHaveRun atomic.Bool

	mu      sync.Mutex // guards the fields below
	closed  bool
	streams []engine.Stream
	// opened has one element per stage, true once the stage's stream was opened.
	opened []bool
	// fault is the first failure. Failures that are a result of closing are not recorded.
	fault     *fault
	faultTime time.Time
	preempted bool
}

func newEpoch(ctx context.Context, number uint32, stages []plan.Stage) *epoch {
	ctx, cancel := context.WithCancel(ctx)
	return &epoch{
		number: number, stages: stages, hops: makeHops(stages),
		ctx: ctx, cancel: cancel, startTime: time.Now(),
		streams: make([]engine.Stream, 0, len(stages)), opened: make([]bool, len(stages)),
	}
}

func makeHops(stages []plan.Stage) []engine.Hop {
	hops := make([]engine.Hop, len(stages))
	for i, stage := range stages {
		hops[i] = engine.Hop{Target: stage.Target.Name, Address: stage.Target.Address, Layers: stage.Layers}
	}
	return hops
}

// closeOnDone closes the epoch when ctx is done. The returned function undoes this.
func (e *epoch) closeOnDone(ctx context.Context) (stop func()) {
	e.goroutines.Add(1)
	undo := context.AfterFunc(ctx, func() {
		defer e.goroutines.Done()
		e.close()
	})
	return func() {
		if undo() {
			e.goroutines.Done()
		}
	}
}

func (e *epoch) last() int { return len(e.stages) - 1 }

// addStream stores a stream so that it is closed with the epoch. If the epoch is
// already closed, addStream closes the stream and returns false.
func (e *epoch) addStream(stage int, stream engine.Stream) bool {
	e.mu.Lock()
	closed := e.closed
	if !closed {
		e.opened[stage] = true
		e.streams = append(e.streams, stream)
	}
	e.mu.Unlock()
	if closed {
		stream.Close()
	}
	return !closed
}

// fail ends the epoch because a stage failed.
func (e *epoch) fail(f *fault) {
	e.end(func() { e.fault, e.faultTime = f, time.Now() })
}

// preempt ends the epoch because other requests need its slots. It is recorded even
// after a fault, because a fault alone does not always release the slots.
func (e *epoch) preempt() {
	e.mu.Lock()
	e.preempted = true
	e.mu.Unlock()
	e.close()
}

// close ends the epoch without recording a cause.
func (e *epoch) close() { e.end(func() {}) }

// end closes the epoch and its streams. Only the first call has an effect and runs
// setCause.
func (e *epoch) end(setCause func()) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	setCause()
	streams := e.streams
	e.mu.Unlock()
	e.cancel()
	for _, stream := range streams {
		stream.Close()
	}
}

// wait waits until the epoch's goroutines have ended. The epoch must be closed.
func (e *epoch) wait() { e.goroutines.Wait() }

// open opens one stage within the timeout. It returns nil if that failed or the epoch
// has ended.
func (e *epoch) open(client engine.Client, stage int, open engine.StageOpen, timeout time.Duration) engine.Stream {
	ctx, cancel := context.WithCancel(e.ctx)
	timer := time.AfterFunc(timeout, cancel)
	stream, err := client.Open(ctx, e.stages[stage].Target.Address, open)
	timer.Stop()
	if err != nil {
		cancel()
		e.failOpen(stage, err)
		return nil
	}
	if stage == 0 {
		e.mayHaveRun.Store(true)
	}
	if !e.addStream(stage, &ownedStream{Stream: stream, cancel: cancel}) {
		cancel()
		return nil
	}
	return stream
}

func (e *epoch) failOpen(stage int, err error) {
	f, mayHaveRun := newOpenFault(stage, err)
	if mayHaveRun && stage == 0 {
		e.mayHaveRun.Store(true)
	}
	e.fail(f)
}

// watch reads the stream of a stage that sends no tokens until the stream ends.
func (e *epoch) watch(stage int, stream engine.Stream, requestID string) {
	for {
		event, err := stream.Recv()
		if err != nil {
			e.fail(newStreamFault(stage, err))
			return
		}
		if event.RequestID != requestID || event.Epoch != e.number {
			continue
		}
		switch event.Kind {
		case engine.EventDone:
			return
		case engine.EventError:
			e.fail(e.reportedFault(stage, event))
			return
		}
	}
}

// reportedFault returns the fault that an engine reported. An engine may blame another
// stage, namely the one before it if its activations stopped. A stage that does not
// exist counts as the engine's own.
func (e *epoch) reportedFault(stage int, event engine.Event) *fault {
	failed := event.FailedStage
	if failed < 0 || failed >= len(e.stages) {
		failed = stage
	}
	return &fault{stage: failed, kind: faultReported, cause: &reportedError{reporter: stage, message: event.Message}}
}
