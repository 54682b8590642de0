package enginesim

import (
	"container/heap"
	"strconv"
	"time"

	"geraniumcroft/internal/engine"
)

const (
	maxEarly          = 4096
	maxEarlyPerStage  = 64
	maxKeptKV         = 4096
	longestWait       = time.Hour
	controlBytes      = 64
	messageUnreach    = "the next stage cannot be reached"
	messageReloading  = "the engine loads something else"
	messageSuperseded = "a newer epoch took over"
)

// run is the virtual accelerator.
func (e *Engine) run() {
	timer := time.NewTimer(longestWait)
	defer timer.Stop()
	for {
		wait, out, died := e.step(time.Now())
		for _, d := range out {
			e.deliver(d)
		}
		if died {
			e.Die()
		}
		if wait <= 0 {
			continue
		}
		timer.Reset(wait)
		select {
		case <-e.wake:
		case <-timer.C:
		case <-e.stop:
			return
		}
	}
}

// step does what is due and returns how long there is nothing to do.
func (e *Engine) step(now time.Time) (wait time.Duration, out []delivery, died bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return longestWait, nil, false
	}
	s := &e.sched
	for !died {
		s.arrive(now)
		if s.busy == nil && !e.beginNext(now) {
			break
		}
		if s.until.After(now) {
			break
		}
		out, died = e.finishChunk(out)
	}
	at, ok := s.next()
	if !ok {
		return longestWait, out, died
	}
	return at.Sub(now), out, died
}

// beginNext starts on the first activation whose stage is still wanted.
func (e *Engine) beginNext(now time.Time) bool {
	s := &e.sched
	for len(s.ready) > 0 {
		a := heap.Pop(&s.ready).(*activation)
		st := e.stageFor(a)
		if st == nil {
			continue
		}
		if !a.prepared {
			e.prepare(st, a)
		}
		s.begin(a, now, e.perToken(st))
		return true
	}
	return false
}

// stageFor returns the stage that an activation is for; nil drops it.
func (e *Engine) stageFor(a *activation) *stage {
	st := e.stages[a.requestID]
	if st == nil || st.over || st.open.Index != a.index {
		return nil
	}
	if st.open.Epoch != a.epoch {
		e.counts.OldEpochs++
		return nil
	}
	return st
}

func (e *Engine) prepare(st *stage, a *activation) {
	a.prepared = true
	missing := max(1, st.context(a.position)-st.kv)
	a.work = 1 + float64(missing-1)/e.options.PrefillFactor
	if st.record.Count == 0 {
		st.record.Replayed = missing - 1
	}
}

func (e *Engine) perToken(st *stage) time.Duration {
	seconds := float64(st.hop.Layers.Len()) / e.options.LayerTokensPerSecond
	return time.Duration(seconds * e.faults.Slowdown * float64(time.Second))
}

// finishChunk ends the present chunk; the rest of a long prompt queues again.
func (e *Engine) finishChunk(out []delivery) ([]delivery, bool) {
	s := &e.sched
	a := s.busy
	s.busy = nil
	a.work -= s.chunk
	a.at = s.until
	if a.work > 0 {
		heap.Push(&s.ready, a)
		return out, false
	}
	st := e.stageFor(a)
	if st == nil {
		return out, false
	}
	if e.faults.DieAtToken > 0 && a.position >= e.faults.DieAtToken {
		e.faults.DieAtToken = 0
		return out, true
	}
	return e.complete(st, a, out), false
}

// complete hands an activation on: to the next stage, or as a token to the caller
// and to the first stage for the position that follows.
func (e *Engine) complete(st *stage, a *activation, out []delivery) []delivery {
	e.counts.Tokens++
	st.kv = st.context(a.position)
	st.record.add(a.position)
	a.trace = append(a.trace, engine.Execution{Target: e.options.Name, Epoch: a.epoch, Layers: st.hop.Layers})
	done := e.sched.until.Add(time.Duration(float64(e.options.TokenLatency) * e.faults.Slowdown))
	if !st.last {
		next := &activation{requestID: a.requestID, epoch: a.epoch, index: a.index + 1, position: a.position, trace: a.trace, at: done}
		size := e.options.Model.ActivationBytes * max(1, st.record.Replayed)
		if st.record.Count > 1 {
			size = e.options.Model.ActivationBytes
		}
		return append(out, delivery{from: st, hop: st.open.Hops[a.index+1], size: size, act: next})
	}
	return e.token(st, a, done, out)
}

func (e *Engine) token(st *stage, a *activation, done time.Time, out []delivery) []delivery {
	if e.faults.StaleTokens && a.epoch > 0 {
		stale := st.event(engine.EventToken)
		stale.Epoch--
		stale.Position = a.position
		stale.Text = "stale "
		st.out.push(stale)
	}
	event := st.event(engine.EventToken)
	event.Position = a.position
	event.Text = TokenText(a.position)
	event.Trace = a.trace
	finish := ""
	if a.position == st.stopAt {
		finish = "stop"
	} else if a.position+1 >= st.open.MaxTokens {
		finish = "length"
	}
	if finish != "" {
		return e.finishGeneration(st, event, finish, done, out)
	}
	st.out.push(event)
	trace := make([]engine.Execution, 0, len(st.open.Hops))
	next := &activation{requestID: a.requestID, epoch: a.epoch, position: a.position + 1, trace: trace, at: done}
	return append(out, delivery{from: st, hop: st.open.Hops[0], size: controlBytes, act: next})
}

// finishGeneration ends the last stage's stream and tells the others, which free
// their slots and go on with heartbeats until the router closes them.
func (e *Engine) finishGeneration(st *stage, token engine.Event, finish string, at time.Time, out []delivery) []delivery {
	end := st.event(engine.EventDone)
	end.Finish = finish
	st.out.push(token, end)
	st.out.close()
	e.free(st)
	for i, hop := range st.open.Hops[:st.open.Index] {
		over := &activation{requestID: st.open.RequestID, epoch: st.open.Epoch, index: i, at: at, finished: true}
		out = append(out, delivery{from: st, hop: hop, size: controlBytes, act: over})
	}
	return out
}

// free gives the stage's slot back, once.
func (e *Engine) free(st *stage) {
	if st.over {
		return
	}
	st.over = true
	e.active--
	e.activeChanged()
	e.loads.note(time.Now(), e.report())
}

// TokenText returns the text of the token at a position.
func TokenText(position int) string { return "t" + strconv.Itoa(position) + " " }
