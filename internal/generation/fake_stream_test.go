package generation

import (
	"sync"
	"time"

	"geraniumcroft/internal/engine"
)

// fakeStream is one stage at a fake engine, with both ends of its connection.
type fakeStream struct {
	cluster *fakeCluster
	engine  *fakeEngine
	open    engine.StageOpen
	events  chan engine.Event
	// closed is closed when the router closes the stream, broken on a reset that the
	// router sees, and ended when the engine's work ends.
	closed, broken, ended         chan struct{}
	closeOnce, breakOnce, endOnce sync.Once
	silent                        bool // guarded by the cluster's mu
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

// Close implements engine.Stream. The engine detects it unless the connection is silent.
func (s *fakeStream) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if !s.silent {
		s.endLocked()
	}
}

// breakLocked resets the connection and ends the engine's work on the stage.
func (s *fakeStream) breakLocked() {
	s.breakOnce.Do(func() { close(s.broken) })
	s.endOnce.Do(func() { close(s.ended) })
}

// endLocked ends the engine's work on the stage and removes the stage.
func (s *fakeStream) endLocked() {
	s.endOnce.Do(func() { close(s.ended) })
	if s.engine.stages[s.open.RequestID] == s {
		delete(s.engine.stages, s.open.RequestID)
	}
}

// serve is the engine's side of the stream. It sends heartbeats, and tokens if it is the
// last stage.
func (s *fakeStream) serve() {
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

// generate sends the tokens that are not committed yet.
func (s *fakeStream) generate() {
	position := len(s.open.Committed)
	lastHeartbeat := time.Now()
	for position < s.open.MaxTokens {
		if !s.sleep(fakeTokenTime) {
			return
		}
		if time.Since(lastHeartbeat) >= fakeHeartbeat {
			s.send(engine.Event{Kind: engine.EventHeartbeat})
			lastHeartbeat = time.Now()
		}
		if !s.pipelineReady() {
			continue
		}
		s.send(s.token(position, s.open.Epoch))
		if s.cluster.duplicates {
			s.send(s.token(position, s.open.Epoch))
		}
		position++
	}
	s.send(engine.Event{Kind: engine.EventDone, Finish: finishLength})
	s.endAllStages()
}

func (s *fakeStream) token(position int, epoch uint32) engine.Event {
	event := engine.Event{Kind: engine.EventToken, Epoch: epoch, Position: position, Text: tokenText(s.open.RequestID, position)}
	for _, hop := range s.open.Hops {
		event.Trace = append(event.Trace, engine.Execution{Target: hop.Target, Epoch: epoch, Layers: hop.Layers})
	}
	return event
}

// sendStale sends delayed events of the previous epoch: the next token, which must not
// be committed, an error and a done event.
func (s *fakeStream) sendStale(position int) {
	oldEpoch := s.open.Epoch - 1
	staleToken := s.token(position, oldEpoch)
	staleToken.Text = "stale"
	s.send(staleToken)
	s.send(engine.Event{Kind: engine.EventError, Epoch: oldEpoch, Message: "late"})
	s.send(engine.Event{Kind: engine.EventDone, Epoch: oldEpoch, Finish: "stop"})
}

// send sets the event's request and, if it is 0, its epoch, and sends it.
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

// pipelineReady reports whether all stages of this epoch are open and working.
func (s *fakeStream) pipelineReady() bool {
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

// endAllStages ends all stages of this epoch at their engines.
func (s *fakeStream) endAllStages() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	for _, hop := range s.open.Hops {
		stage := s.cluster.engines[hop.Target].stages[s.open.RequestID]
		if stage != nil && stage.open.Epoch == s.open.Epoch {
			stage.endLocked()
		}
	}
}

// sleep waits for d. It returns false if the stage's work ends before that.
func (s *fakeStream) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ended:
		return false
	}
}
