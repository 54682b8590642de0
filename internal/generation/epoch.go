package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/plan"
)

// epoch is one set of opened streams. The run's goroutine opens and reads the
// last stage; each other stage has a goroutine that opens its stream and reads
// heartbeats and errors. The first fault, a preemption or the end of the context
// closes all streams, which ends every read.
type epoch struct {
	number uint32
	stages []plan.Stage
	hops   []engine.Hop
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
	work   sync.WaitGroup
	// imported says that a stage was asked to import KV cache, and progressed that
	// a token was committed; both belong to the run's goroutine.
	imported, progressed bool
	// started says that the first stage may have begun. The others have nothing to
	// work on before that, so without it no layer has run.
	started atomic.Bool

	mu      sync.Mutex // guards the fields below
	closed  bool
	streams []engine.Stream
	// opened says which stages were.
	opened []bool
	// fault is the first failure; the failures that closing itself brings about are
	// not recorded.
	fault     *fault
	faultTime time.Time
	preempted bool
}

func newEpoch(ctx context.Context, number uint32, stages []plan.Stage) *epoch {
	ctx, cancel := context.WithCancel(ctx)
	return &epoch{
		number: number, stages: stages, hops: hopsOf(stages),
		ctx: ctx, cancel: cancel, began: time.Now(),
		streams: make([]engine.Stream, 0, len(stages)), opened: make([]bool, len(stages)),
	}
}

func hopsOf(stages []plan.Stage) []engine.Hop {
	hops := make([]engine.Hop, len(stages))
	for i, stage := range stages {
		hops[i] = engine.Hop{Target: stage.Target.Name, Address: stage.Target.Address, Layers: stage.Layers}
	}
	return hops
}

// closeWith closes the epoch when ctx ends; the returned function undoes that.
func (e *epoch) closeWith(ctx context.Context) (stop func()) {
	e.work.Add(1)
	undo := context.AfterFunc(ctx, func() {
		defer e.work.Done()
		e.close()
	})
	return func() {
		if undo() {
			e.work.Done()
		}
	}
}

func (e *epoch) last() int { return len(e.stages) - 1 }

// add keeps a stream so that it is closed with the epoch. It reports false, and
// closes the stream, when the epoch has ended meanwhile.
func (e *epoch) add(stage int, stream engine.Stream) bool {
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

// preempt ends the epoch because others need its slots. It is noted also when a
// fault came first, for a fault alone need not give up the slots.
func (e *epoch) preempt() {
	e.mu.Lock()
	e.preempted = true
	e.mu.Unlock()
	e.close()
}

// close ends the epoch and leaves no cause.
func (e *epoch) close() { e.end(func() {}) }

// end closes the streams once; the first caller's note stands.
func (e *epoch) end(note func()) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	note()
	streams := e.streams
	e.mu.Unlock()
	e.cancel()
	for _, stream := range streams {
		stream.Close()
	}
}

// wait returns when the epoch's goroutines have ended. The epoch must be closed.
func (e *epoch) wait() { e.work.Wait() }

// open opens one stage; it returns nil when that failed or the epoch has ended.
func (e *epoch) open(client engine.Client, stage int, open engine.StageOpen, bound time.Duration) engine.Stream {
	ctx, cancel := context.WithCancel(e.ctx)
	timer := time.AfterFunc(bound, cancel)
	stream, err := client.Open(ctx, e.stages[stage].Target.Address, open)
	timer.Stop()
	if err != nil {
		cancel()
		e.openFailed(stage, err)
		return nil
	}
	if stage == 0 {
		e.started.Store(true)
	}
	if !e.add(stage, &ownedStream{Stream: stream, cancel: cancel}) {
		cancel()
		return nil
	}
	return stream
}

func (e *epoch) openFailed(stage int, err error) {
	f, started := openFault(stage, err)
	if started && stage == 0 {
		e.started.Store(true)
	}
	e.fail(f)
}

// watch reads a stage that yields no tokens until its stream ends.
func (e *epoch) watch(stage int, stream engine.Stream, requestID string) {
	for {
		event, err := stream.Recv()
		if err != nil {
			e.fail(streamFault(stage, err))
			return
		}
		if event.RequestID != requestID || event.Epoch != e.number {
			continue
		}
		switch event.Kind {
		case engine.EventDone:
			return
		case engine.EventError:
			e.fail(e.reported(stage, event))
			return
		}
	}
}

// reported returns the fault that an engine told of. An engine may blame another
// stage: the one before it whose activations stopped.
func (e *epoch) reported(stage int, event engine.Event) *fault {
	blamed := event.FailedStage
	if blamed < 0 || blamed >= len(e.stages) {
		blamed = stage
	}
	return &fault{stage: blamed, kind: faultReported, cause: &reportedError{reporter: stage, message: event.Message}}
}
