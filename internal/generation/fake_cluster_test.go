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

// tokenText is what every engine answers for a position, so that a sink can tell
// a token of its own request from any other.
func tokenText(requestID string, position int) string {
	return fmt.Sprintf("%s/%d ", requestID, position)
}

// fakeCluster is engines in memory with faults to order. It is an engine.Client.
type fakeCluster struct {
	engine.Client // the methods that runs do not use

	// staleEvents makes each stream of a later epoch begin with events of the one
	// before, and duplicates repeats each token.
	staleEvents, duplicates bool
	// corrupt, when not nil, may change an event on its way.
	corrupt func(target string, event *engine.Event)

	mu      sync.Mutex // guards the fields below and the engines' and streams'
	engines map[string]*fakeEngine
	opens   []fakeOpen
	// started holds the ids of requests whose first stage some engine took.
	started map[string]bool
}

// fakeOpen is one call of Open that reached an engine.
type fakeOpen struct {
	target string
	open   engine.StageOpen
}

type fakeEngine struct {
	name string
	// dead engines refuse connections; hung ones answer nothing; stalled ones send
	// heartbeats and make no tokens; mute ones open streams that bring nothing;
	// refuse counts opens to refuse as leaving, busy those to refuse for a slot.
	dead, hung, stalled, mute bool
	refuse, busy              int
	// onOpen runs, without the lock, when the engine is asked to open a stage.
	onOpen func(open engine.StageOpen)
	// stages are the present epochs by request.
	stages map[string]*fakeStream
}

func newFakeCluster(names ...string) *fakeCluster {
	c := &fakeCluster{engines: map[string]*fakeEngine{}, started: map[string]bool{}}
	for _, name := range names {
		c.engines[name] = &fakeEngine{name: name, stages: map[string]*fakeStream{}}
	}
	return c
}

// update changes an engine under the lock.
func (c *fakeCluster) update(name string, change func(e *fakeEngine)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.engines[name])
}

// kill breaks an engine's streams and refuses new ones.
func (c *fakeCluster) kill(name string) {
	c.update(name, func(e *fakeEngine) {
		e.dead = true
		e.restartLocked()
	})
}

// restartLocked loses all stages.
func (e *fakeEngine) restartLocked() {
	for _, stream := range e.stages {
		stream.breakLocked()
	}
	clear(e.stages)
}

// hang makes an engine answer nothing, on old connections and new ones.
func (c *fakeCluster) hang(name string) {
	c.silence(name)
	c.update(name, func(e *fakeEngine) { e.hung = true })
}

// silence makes an engine's open streams go silent; new ones work.
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
	go stream.work()
	return stream, nil
}

var errHung = errors.New("no answer")

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
	if before := e.stages[open.RequestID]; before != nil {
		before.breakLocked()
	}
	stream := &fakeStream{
		cluster: c, engine: e, open: open, silent: e.mute,
		events: make(chan engine.Event, 1024), closed: make(chan struct{}), broken: make(chan struct{}), gone: make(chan struct{}),
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
		stream.leaveLocked()
	}
	c.mu.Unlock()
	if hung {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// active counts the stages that living engines still hold.
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
