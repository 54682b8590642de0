package enginesim

// maxEarlyPerStage bounds the activations kept for a stage that is not open yet.
const maxEarlyPerStage = 64

// deliver sends an activation over the fabric, without this engine's lock.
func (e *Engine) deliver(d delivery) {
	to := e.fabric.Engine(d.hop.Address)
	if to == nil {
		if !d.act.finished {
			d.from.fail(d.act.index, messageUnreach)
		}
		return
	}
	d.act.at = e.fabric.arrival(e.options.Name, to.options.Name, d.act.at, d.size)
	to.receive(d.act)
}

// receive takes an activation from another engine or from this one.
func (e *Engine) receive(a *activation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	st := e.stages[a.requestID]
	if st == nil || st.open.Epoch < a.epoch {
		e.keepEarly(a)
		return
	}
	if st.open.Epoch > a.epoch {
		e.counts.OldEpochs++
		return
	}
	if a.finished {
		e.free(st)
		return
	}
	a.priority = st.open.Priority
	e.sched.add(a)
	e.signal()
}

// keepEarly holds what arrives before its stage was opened: the router opens the
// stages of a generation side by side.
func (e *Engine) keepEarly(a *activation) {
	floor, known := e.floors.Get(a.requestID)
	if known && a.epoch < floor {
		e.counts.OldEpochs++
		return
	}
	list, _ := e.early.Get(a.requestID)
	if len(list) < maxEarlyPerStage {
		e.early.Add(a.requestID, append(list, a))
	}
}
