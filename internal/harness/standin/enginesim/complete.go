package enginesim

import (
	"strconv"
	"time"

	"geraniumcroft/internal/engine"
)

// controlBytes is the size of a message without activations.
const controlBytes = 64

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
