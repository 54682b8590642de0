package enginesim

import (
	"io"
	"log"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/harness/standin/faultnet"
)

var errRunning = errors.New("the engine is running")

// Start listens on address, as IP:port, and serves. Port 0 takes a free port. It
// fails if the engine is running.
func (e *Engine) Start(address string) error {
	listener, err := faultnet.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, ConnContext: faultnet.ConnContext, ErrorLog: log.New(io.Discard, "", 0)}
	e.mu.Lock()
	if e.listener != nil && !e.dead {
		e.mu.Unlock()
		_ = listener.Close()
		return errRunning
	}
	e.listener = listener
	e.server = server
	e.address = listener.Addr().String()
	e.dead = false
	e.mu.Unlock()
	e.fabric.Register(listener.Addr().String(), e)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Attach makes the engine reachable in its fabric without a listener, for tests with
// a DirectClient.
func (e *Engine) Attach(address string) {
	e.mu.Lock()
	e.address = address
	e.dead = false
	e.mu.Unlock()
	e.fabric.Register(address, e)
}

// Close stops the engine.
func (e *Engine) Close() {
	e.Die()
	e.stopped.Do(func() { close(e.stop) })
}

// Die makes the engine fail like a crashed process: its listener closes, its
// connections are reset, and its state in memory is lost.
func (e *Engine) Die() {
	e.mu.Lock()
	if e.dead {
		e.mu.Unlock()
		return
	}
	e.dead = true
	listener, server, address := e.listener, e.server, e.address
	stages := e.stages
	for _, st := range stages {
		st.ended = true
	}
	e.resetState()
	e.activeChanged()
	e.mu.Unlock()
	e.fabric.Unregister(address)
	if listener != nil {
		_ = listener.Close()
		listener.ResetAll()
		_ = server.Close()
	}
	for _, st := range stages {
		st.out.close() // after the resets, so that no stream ends without an error
	}
}

// Revive restarts a dead engine at its previous address.
func (e *Engine) Revive() error {
	e.mu.Lock()
	address, listened := e.address, e.listener != nil
	e.mu.Unlock()
	if !listened {
		e.Attach(address)
		return nil
	}
	return e.Start(address)
}

// GoSilent permanently silences the connections that are open now; new ones work.
func (e *Engine) GoSilent() { e.goSilent(nil) }

func (e *Engine) goSilent(except *faultnet.Conn) {
	e.mu.Lock()
	listener := e.listener
	for _, st := range e.stages {
		st.silent.Store(true)
	}
	e.mu.Unlock()
	if listener != nil {
		listener.SilenceAll(except)
	}
}

// SetFaults calls change on the persistent faults, with the engine's lock held.
func (e *Engine) SetFaults(change func(*Faults)) {
	e.mu.Lock()
	change(&e.faults)
	if e.faults.Slowdown <= 0 {
		e.faults.Slowdown = 1
	}
	e.loads.record(time.Now(), e.report())
	e.mu.Unlock()
	e.signal()
}

// DropCacheEvents removes the newest cache events from the log, so that readers see a
// gap.
func (e *Engine) DropCacheEvents(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.drop(count)
}
