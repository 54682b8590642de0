package generation

import (
	"sync"
	"time"

	"geraniumcroft/internal/engine"
)

// fakeStream is one stage at a fake engine, and both ends of its connection.
type fakeStream struct {
	cluster *fakeCluster
	engine  *fakeEngine
	open    engine.StageOpen
	events  chan engine.Event
	// closed is the router's doing, broken a reset that the router sees, and gone
	// the end of the engine's work.
	closed, broken, gone            chan struct{}
	closeOnce, breakOnce, leaveOnce sync.Once
	silent                          bool // guarded by the cluster's mu
}

// Recv implements engine.Stream.
func (s *fakeStream) Recv() (engine.Event, error) {
	timer := time.NewTimer(fakeIdle)
	defer timer.Stop()
	for {
		select {
		case <-s.closed:
			return engine.Event{}, &engine.StreamError{Address: s.engine.name, Cause: errFakeClosed}
		case event := <-s.events:
			return event, nil
		case <-s.broken:
			return engine.Event{}, &engine.StreamError{Address: s.engine.name, Cause: errFakeReset}
		case <-timer.C:
			return engine.Event{}, &engine.StreamError{Address: s.engine.name, Silent: true, Cause: errHung}
		}
	}
}

// Close implements engine.Stream. An engine sees it unless the connection is silent.
func (s *fakeStream) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if !s.silent {
		s.leaveLocked()
	}
}

func (s *fakeStream) breakLocked() {
	s.breakOnce.Do(func() { close(s.broken) })
	s.leaveOnce.Do(func() { close(s.gone) })
}

// leaveLocked ends the engine's work on the stage.
func (s *fakeStream) leaveLocked() {
	s.leaveOnce.Do(func() { close(s.gone) })
	if s.engine.stages[s.open.RequestID] == s {
		delete(s.engine.stages, s.open.RequestID)
	}
}

// work is the engine's side: heartbeats, and tokens when it is the last stage.
func (s *fakeStream) work() {
	s.send(engine.Event{Kind: engine.EventReady})
	if s.cluster.staleEvents && s.open.Epoch > 1 {
		s.sendStale(len(s.open.Committed))
	}
	if s.open.Index == len(s.open.Hops)-1 {
		s.generate()
		return
	}
	for s.sleep(fakeHeartbeat) {
		s.send(engine.Event{Kind: engine.EventHeartbeat})
	}
	s.send(engine.Event{Kind: engine.EventDone})
}

func (s *fakeStream) generate() {
	position := len(s.open.Committed)
	beat := time.Now()
	for position < s.open.MaxTokens {
		if !s.sleep(fakeTokenTime) {
			return
		}
		if time.Since(beat) >= fakeHeartbeat {
			s.send(engine.Event{Kind: engine.EventHeartbeat})
			beat = time.Now()
		}
		if !s.pipelineStands() {
			continue
		}
		s.send(s.token(position, s.open.Epoch))
		if s.cluster.duplicates {
			s.send(s.token(position, s.open.Epoch))
		}
		position++
	}
	s.send(engine.Event{Kind: engine.EventDone, Finish: finishLength})
	s.finish()
}

func (s *fakeStream) token(position int, epoch uint32) engine.Event {
	event := engine.Event{Kind: engine.EventToken, Epoch: epoch, Position: position, Text: tokenText(s.open.RequestID, position)}
	for _, hop := range s.open.Hops {
		event.Trace = append(event.Trace, engine.Execution{Target: hop.Target, Epoch: epoch, Layers: hop.Layers})
	}
	return event
}

// sendStale sends what an older epoch left on the way: the next token, which must
// not be taken from it, an error and an end.
func (s *fakeStream) sendStale(position int) {
	old := s.open.Epoch - 1
	late := s.token(position, old)
	late.Text = "stale"
	s.send(late)
	s.send(engine.Event{Kind: engine.EventError, Epoch: old, Message: "late"})
	s.send(engine.Event{Kind: engine.EventDone, Epoch: old, Finish: "stop"})
}

// send fills in the event's names and puts it on the connection.
func (s *fakeStream) send(event engine.Event) {
	event.RequestID = s.open.RequestID
	if event.Epoch == 0 {
		event.Epoch = s.open.Epoch
	}
	if s.cluster.corrupt != nil {
		s.cluster.corrupt(s.engine.name, &event)
	}
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.silent {
		return
	}
	select {
	case s.events <- event:
	default:
	}
}

// pipelineStands reports whether every stage of this epoch is in work.
func (s *fakeStream) pipelineStands() bool {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, hop := range s.open.Hops {
		e := s.cluster.engines[hop.Target]
		stage := e.stages[s.open.RequestID]
		if e.stalled || e.hung || stage == nil || stage.open.Epoch != s.open.Epoch {
			return false
		}
	}
	return true
}

// finish ends the whole generation at every engine of it.
func (s *fakeStream) finish() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, hop := range s.open.Hops {
		stage := s.cluster.engines[hop.Target].stages[s.open.RequestID]
		if stage != nil && stage.open.Epoch == s.open.Epoch {
			stage.leaveLocked()
		}
	}
}

// sleep reports false when the stage's work has ended.
func (s *fakeStream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.gone:
		return false
	}
}
