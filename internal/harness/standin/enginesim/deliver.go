package enginesim

// maxEarlyPerStage is the maximum number of activations kept for a stage that is not
// yet open.
const maxEarlyPerStage = 64

// deliver sends an activation over the fabric. The caller must not hold the lock.
func (e *Engine) deliver(d delivery) {
	to := e.fabric.Engine(d.hop.Address)
	if to == nil {
		if !d.act.finished {
			d.from.fail(d.act.index, messageUnreachable)
		}
		return
	}
	d.act.at = e.fabric.arrival(e.options.Name, to.options.Name, d.act.at, d.size)
	to.receive(d.act)
}

// receive accepts an activation from another engine or from this one.
func (e *Engine) receive(a *activation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return
	}
	st := e.stages[a.requestID]
	if st == nil || st.open.Epoch < a.epoch {
		e.bufferEarly(a)
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

// bufferEarly keeps an activation that arrives before its stage is open, since the
// router opens the stages of a generation concurrently. The caller must hold the lock.
func (e *Engine) bufferEarly(a *activation) {
	minEpoch, known := e.minEpochs.Get(a.requestID)
	if known && a.epoch < minEpoch {
		e.counts.OldEpochs++
		return
	}
	list, _ := e.early.Get(a.requestID)
	if len(list) < maxEarlyPerStage {
		e.early.Add(a.requestID, append(list, a))
	}
}
