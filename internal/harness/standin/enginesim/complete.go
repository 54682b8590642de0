package enginesim

import (
	"strconv"
	"time"

	"geraniumcroft/internal/engine"
)

// controlBytes is the size in bytes of a message without activations.
const controlBytes = 64

// complete finishes the work on an activation. It passes the activation to the next
// stage; the last stage emits a token instead and asks the first stage for the next
// position. The caller must hold the lock.
func (e *Engine) complete(st *stage, a *activation, out []delivery) []delivery {
	e.counts.Tokens++
	st.kv = st.context(a.position)
	st.record.add(a.position)
	a.trace = append(a.trace, engine.Execution{Target: e.options.Name, Epoch: a.epoch, Layers: st.hop.Layers})
	done := e.sched.busyUntil.Add(time.Duration(float64(e.options.TokenLatency) * e.faults.Slowdown))
	if !st.last {
		next := &activation{requestID: a.requestID, epoch: a.epoch, index: a.index + 1, position: a.position, trace: a.trace, at: done}
		size := e.options.Model.ActivationBytes * max(1, st.record.Replayed)
		if st.record.Count > 1 {
			size = e.options.Model.ActivationBytes
		}
		return append(out, delivery{from: st, hop: st.open.Hops[a.index+1], size: size, act: next})
	}
	return e.emitToken(st, a, done, out)
}

// emitToken sends the token of the last stage and asks the first stage for the next
// position, or ends the generation. The caller must hold the lock.
func (e *Engine) emitToken(st *stage, a *activation, done time.Time, out []delivery) []delivery {
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

// finishGeneration ends the stream of the last stage and notifies the other stages.
// These free their slots and keep sending heartbeats until the router closes their
// streams. The caller must hold the lock.
func (e *Engine) finishGeneration(st *stage, token engine.Event, finish string, at time.Time, out []delivery) []delivery {
	end := st.event(engine.EventDone)
	end.Finish = finish
	st.out.push(token, end)
	st.out.close()
	e.free(st)
	for i, hop := range st.open.Hops[:st.open.Index] {
		ended := &activation{requestID: st.open.RequestID, epoch: st.open.Epoch, index: i, at: at, finished: true}
		out = append(out, delivery{from: st, hop: hop, size: controlBytes, act: ended})
	}
	return out
}

// free marks a stage as ended and releases its slot, once. The caller must hold the
// lock.
func (e *Engine) free(st *stage) {
	if st.ended {
		return
	}
	st.ended = true
	e.active--
	e.activeChanged()
	e.loads.record(time.Now(), e.report())
}

// TokenText returns the text of the token at a generated position.
func TokenText(position int) string { return "t" + strconv.Itoa(position) + " " }
