package generation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"geraniumcroft/internal/engine"
)

const (
	fakeTokenTime = 10 * time.Millisecond
	fakeHeartbeat = 200 * time.Millisecond
	fakeIdle      = 750 * time.Millisecond
	fakeOpenTime  = 2 * time.Millisecond
)

var (
	errFakeDead   = errors.New("connection refused")
	errFakeReset  = errors.New("connection reset")
	errFakeClosed = errors.New("closed")
)

// tokenText returns the token that every engine generates for a position. It contains the
// request id, so that a sink can detect a token of another request.
func tokenText(requestID string, position int) string {
	return fmt.Sprintf("%s/%d ", requestID, position)
}

// fakeCluster is a set of in-memory engines with injectable faults. It implements
// engine.Client.
type fakeCluster struct {
	engine.Client // for the methods that runs do not use

	// staleEvents makes each stream of a later epoch start with events of the previous
	// epoch, and duplicates makes it repeat each token.
	staleEvents, duplicates bool
	// corrupt, if not nil, may change an event before it is sent.
	corrupt func(target string, event *engine.Event)

	mu      sync.Mutex // guards the fields below and those of the engines and streams
	engines map[string]*fakeEngine
	opens   []fakeOpen
	// started has the ids of requests whose first stage was opened by an engine.
	started map[string]bool
}

// fakeOpen is one call of Open that reached an engine.
type fakeOpen struct {
	target string
	open   engine.StageOpen
}

type fakeEngine struct {
	name string
	// A dead engine refuses connections, a hung one does not respond, a stalled one
	// sends heartbeats but generates no tokens, and a mute one opens streams but sends
	// nothing on them. refuse is the number of opens to refuse because the engine is
	// leaving, busy the number to refuse because it has no free slot.
	dead, hung, stalled, mute bool
	refuse, busy              int
	// onOpen is called, without the lock, for each open of a stage.
	onOpen func(open engine.StageOpen)
	// stages has the current stage of each request.
	stages map[string]*fakeStream
}

func newFakeCluster(names ...string) *fakeCluster {
	c := &fakeCluster{engines: map[string]*fakeEngine{}, started: map[string]bool{}}
	for _, name := range names {
		c.engines[name] = &fakeEngine{name: name, stages: map[string]*fakeStream{}}
	}
	return c
}

// update changes an engine while it holds the lock.
func (c *fakeCluster) update(name string, change func(e *fakeEngine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.engines[name])
}

// kill breaks an engine's streams and makes it refuse new ones.
func (c *fakeCluster) kill(name string) {
	c.update(name, func(e *fakeEngine) {
		e.dead = true
		e.dropStagesLocked()
	})
}

// dropStagesLocked breaks and removes all stages.
func (e *fakeEngine) dropStagesLocked() {
	for _, stream := range e.stages {
		stream.breakLocked()
	}
	clear(e.stages)
}

// hang makes an engine stop responding, on existing and new connections.
func (c *fakeCluster) hang(name string) {
	c.silence(name)
	c.update(name, func(e *fakeEngine) { e.hung = true })
}

// silence makes an engine's open streams go silent. New streams work.
func (c *fakeCluster) silence(name string) {
	c.update(name, func(e *fakeEngine) {
		for _, stream := range e.stages {
			stream.silent = true
		}
	})
}

// Open implements engine.Client.
func (c *fakeCluster) Open(ctx context.Context, address string, open engine.StageOpen) (engine.Stream, error) {
	c.mu.Lock()
	onOpen := c.engines[address].onOpen
	c.opens = append(c.opens, fakeOpen{target: address, open: open})
	c.mu.Unlock()
	if onOpen != nil {
		onOpen(open)
	}
	if err := pause(ctx, fakeOpenTime); err != nil {
		return nil, &engine.OpenError{Address: address, Sent: true, Cause: err}
	}
	stream, err := c.accept(address, open)
	if errors.Is(err, errHung) {
		<-ctx.Done()
		return nil, &engine.OpenError{Address: address, Sent: true, Cause: ctx.Err()}
	}
	if err != nil {
		return nil, err
	}
	go stream.serve()
	return stream, nil
}

var errHung = errors.New("no answer")

// accept opens the stage at the engine, or returns why the engine does not open it.
func (c *fakeCluster) accept(address string, open engine.StageOpen) (*fakeStream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[address]
	switch {
	case e.dead:
		return nil, &engine.OpenError{Address: address, Cause: errFakeDead}
	case e.hung:
		return nil, errHung
	case e.refuse > 0:
		e.refuse--
		return nil, &engine.OpenError{Address: address, Sent: true, Status: 410, Cause: errors.New("leaving")}
	case e.busy > 0:
		e.busy--
		return nil, &engine.OpenError{Address: address, Sent: true, Status: 409, Busy: true, Cause: errors.New("busy")}
	}
	if previous := e.stages[open.RequestID]; previous != nil {
		previous.breakLocked()
	}
	stream := &fakeStream{
		cluster: c, engine: e, open: open, silent: e.mute,
		events: make(chan engine.Event, 1024), closed: make(chan struct{}), broken: make(chan struct{}), ended: make(chan struct{}),
	}
	e.stages[open.RequestID] = stream
	if open.Index == 0 {
		c.started[open.RequestID] = true
	}
	return stream, nil
}

// Cancel implements engine.Client.
func (c *fakeCluster) Cancel(ctx context.Context, address, requestID string, epoch uint32) error {
	if err := pause(ctx, fakeOpenTime); err != nil {
		return err
	}
	c.mu.Lock()
	e := c.engines[address]
	hung := e.hung
	if stream := e.stages[requestID]; !hung && stream != nil && stream.open.Epoch <= epoch {
		stream.endLocked()
	}
	c.mu.Unlock()
	if hung {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// active returns the number of stages at engines that are neither dead nor hung.
func (c *fakeCluster) active() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, e := range c.engines {
		if !e.dead && !e.hung {
			count += len(e.stages)
		}
	}
	return count
}

// opensOf returns the calls of Open for a target.
func (c *fakeCluster) opensOf(target string) []engine.StageOpen {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []engine.StageOpen
	for _, o := range c.opens {
		if o.target == target {
			found = append(found, o.open)
		}
	}
	return found
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
