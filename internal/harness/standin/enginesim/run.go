package enginesim

import (
	"container/heap"
	"time"
)

// maxIdleWait is the time that an engine without work sleeps, unless it is woken.
const maxIdleWait = time.Hour

// run is the goroutine of the virtual accelerator.
func (e *Engine) run() {
	timer := time.NewTimer(maxIdleWait)
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

// step does all work that is due at now. It returns the time until more work is due,
// the activations to deliver, and whether the engine is to die.
func (e *Engine) step(now time.Time) (wait time.Duration, out []delivery, died bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return maxIdleWait, nil, false
	}
	s := &e.sched
	for !died {
		s.admitArrived(now)
		if s.busy == nil && !e.beginNext(now) {
			break
		}
		if s.busyUntil.After(now) {
			break
		}
		out, died = e.finishChunk(out)
	}
	at, ok := s.next()
	if !ok {
		return maxIdleWait, out, died
	}
	return at.Sub(now), out, died
}

// beginNext begins the first ready activation whose stage is still open. It reports
// whether there is one.
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

// stageFor returns the stage that an activation is for. If it returns nil, the
// activation must be dropped.
func (e *Engine) stageFor(a *activation) *stage {
	st := e.stages[a.requestID]
	if st == nil || st.ended || st.open.Index != a.index {
		return nil
	}
	if st.open.Epoch != a.epoch {
		e.counts.OldEpochs++
		return nil
	}
	return st
}

// prepare computes the work of an activation, with the replay of positions that are
// not in the KV cache.
func (e *Engine) prepare(st *stage, a *activation) {
	a.prepared = true
	missing := max(1, st.context(a.position)-st.kv)
	a.work = 1 + float64(missing-1)/e.options.PrefillFactor
	if st.record.Count == 0 {
		st.record.Replayed = missing - 1
	}
}

// perToken returns the time that one generated token takes in a stage.
func (e *Engine) perToken(st *stage) time.Duration {
	seconds := float64(st.hop.Layers.Len()) / e.options.LayerTokensPerSecond
	return time.Duration(seconds * e.faults.Slowdown * float64(time.Second))
}

// finishChunk finishes the current chunk. If work is left, the activation is queued
// again. It reports whether the engine is to die.
func (e *Engine) finishChunk(out []delivery) ([]delivery, bool) {
	s := &e.sched
	a := s.busy
	s.busy = nil
	a.work -= s.chunk
	a.at = s.busyUntil
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
