package enginesim

import (
	"net/http"
	"slices"
	"time"

	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/engine/httpengine"
)

// openStage opens a stage or refuses it. A stage of the request with an older epoch
// is ended.
func (e *Engine) openStage(open engine.StageOpen) (*stage, *refusal) {
	imported, arrives := e.importKV(open)
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.checkOpen(open); refused != nil {
		e.counts.Refused++
		return nil, refused
	}
	if old := e.stages[open.RequestID]; old != nil {
		old.fail(old.open.Index, messageSuperseded)
		e.removeStage(old)
	}
	st := newStage(open)
	e.minEpochs.Add(open.RequestID, open.Epoch)
	e.stages[open.RequestID] = st
	e.active++
	e.activeChanged()
	e.counts.Opens++
	e.addRecord(st)
	starts := e.reuse(st, imported, arrives)
	e.loads.record(time.Now(), e.report())
	ready := st.event(engine.EventReady)
	ready.ReusedKV = st.kv
	st.out.push(ready)
	if open.Index == 0 {
		first := &activation{requestID: open.RequestID, epoch: open.Epoch, position: len(open.Committed), at: starts}
		first.priority = open.Priority
		first.trace = make([]engine.Execution, 0, len(open.Hops))
		e.sched.add(first)
	}
	e.scheduleEarly(st, starts)
	e.signal()
	return st, nil
}

// checkOpen returns the refusal of a stage that cannot be opened, otherwise nil. The
// caller must hold the lock.
func (e *Engine) checkOpen(open engine.StageOpen) *refusal {
	if open.Index < 0 || open.Index >= len(open.Hops) || open.MaxTokens <= len(open.Committed) {
		return &refusal{http.StatusBadRequest, "bad-request", "no such stage or nothing to generate"}
	}
	if e.faults.Leaving {
		return &refusal{http.StatusGone, httpengine.CodeLeaving, "the engine is leaving"}
	}
	if !e.holds(open) {
		return &refusal{http.StatusNotFound, httpengine.CodeNotHeld, "the engine does not hold these layers"}
	}
	minEpoch, known := e.minEpochs.Get(open.RequestID)
	if known && open.Epoch < minEpoch {
		return &refusal{http.StatusConflict, httpengine.CodeOldEpoch, "a newer epoch was opened or this one was cancelled"}
	}
	old := e.stages[open.RequestID]
	if old != nil && old.open.Epoch == open.Epoch {
		return &refusal{http.StatusConflict, httpengine.CodeOldEpoch, "this epoch is open already"}
	}
	if e.active >= e.options.Slots && (old == nil || old.ended) {
		return &refusal{http.StatusConflict, httpengine.CodeBusy, "no slot is free"}
	}
	return nil
}

func (e *Engine) holds(open engine.StageOpen) bool {
	if time.Now().Before(e.loadedAt) {
		return false
	}
	if open.Model != e.held.Model || open.Version != e.held.Version {
		return false
	}
	if open.Adapter != "" && !slices.Contains(e.held.Adapters, open.Adapter) {
		return false
	}
	return e.held.Layers.Contains(open.Hops[open.Index].Layers)
}

func (e *Engine) addRecord(st *stage) {
	st.record = &Executed{RequestID: st.open.RequestID, Target: e.options.Name, Epoch: st.open.Epoch, Layers: st.hop.Layers}
	if len(e.executed) == maxExecuted {
		e.executed = e.executed[1:]
	}
	e.executed = append(e.executed, st.record)
}

// scheduleEarly schedules the activations that arrived before the stage was opened.
// Work starts no earlier than starts. The caller must hold the lock.
func (e *Engine) scheduleEarly(st *stage, starts time.Time) {
	list, ok := e.early.Peek(st.open.RequestID)
	if !ok {
		return
	}
	e.early.Remove(st.open.RequestID)
	for _, a := range list {
		if a.epoch != st.open.Epoch || a.index != st.open.Index {
			e.counts.OldEpochs++
			continue
		}
		if a.finished {
			e.free(st)
			continue
		}
		if starts.After(a.at) {
			a.at = starts
		}
		a.priority = st.open.Priority
		e.sched.add(a)
	}
}
