package enginesim

import (
	"context"
	"io"
	"sync"
	"time"

	"geraniumcroft/internal/engine"
)

// directStream is the router's end of a stage's stream, without a connection.
type directStream struct {
	client  *DirectClient
	engine  *Engine
	stage   *stage
	address string
	ctx     context.Context
	closed  chan struct{}

	mu      sync.Mutex // guards release
	release func() bool
	events  []engine.Event // used by Recv alone
}

// Recv implements engine.Stream.
func (s *directStream) Recv() (engine.Event, error) {
	for {
		if event, ok := s.pop(); ok {
			return event, nil
		}
		events, ended := s.stage.out.drain(nil)
		if len(events) > 0 && !s.silent() {
			s.events = events
			continue
		}
		if ended && !s.silent() {
			return engine.Event{}, s.broken(io.ErrUnexpectedEOF, false)
		}
		if event, err, done := s.wait(); done {
			return event, err
		}
	}
}

func (s *directStream) pop() (engine.Event, bool) {
	if len(s.events) == 0 {
		return engine.Event{}, false
	}
	event := s.events[0]
	s.events = s.events[1:]
	return event, true
}

// wait waits until events arrive, a heartbeat is due, the stream is closed or, on a
// silent stream, the idle timeout passes. If done is false, the caller must check for
// events again; otherwise event and err are the result of Recv.
func (s *directStream) wait() (event engine.Event, err error, done bool) {
	bound, arrived := s.engine.options.Heartbeat, s.stage.out.ready
	silent := s.silent()
	if silent {
		bound, arrived = s.client.Idle, nil // no further event arrives
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-arrived:
		return event, nil, false
	case <-s.closed:
		return event, s.broken(context.Canceled, false), true
	case <-timer.C:
		if silent {
			return event, s.broken(errIdle, true), true
		}
		return s.stage.event(engine.EventHeartbeat), nil, !s.silent()
	}
}

func (s *directStream) silent() bool { return s.stage.silent.Load() || s.engine.muted() }

// broken closes the stream and returns the error that Recv reports for it.
func (s *directStream) broken(cause error, silent bool) error {
	s.Close()
	return &engine.StreamError{Address: s.address, Silent: silent, Cause: cause}
}

// Close implements engine.Stream.
func (s *directStream) Close() {
	s.engine.mu.Lock()
	select {
	case <-s.closed:
		s.engine.mu.Unlock()
		return
	default:
	}
	close(s.closed)
	s.engine.mu.Unlock()
	s.unbindContext()
	if !s.stage.silent.Load() {
		s.engine.closeStage(s.stage)
	}
}

// bindContext arranges that the stream is closed when ctx ends. It may have ended
// already.
func (s *directStream) bindContext(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release = context.AfterFunc(ctx, s.Close)
}

func (s *directStream) unbindContext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release != nil {
		s.release()
	}
}
