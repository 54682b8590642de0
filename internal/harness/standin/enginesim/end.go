package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// cancel ends the request's stage if its epoch is at most the given one. Later opens
// with such an epoch are refused: they were in transit when the cancel overtook them.
func (e *Engine) cancel(requestID string, epoch uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if minEpoch, _ := e.minEpochs.Get(requestID); minEpoch <= epoch {
		e.minEpochs.Add(requestID, epoch+1)
	}
	st := e.stages[requestID]
	if st == nil || st.open.Epoch > epoch {
		return
	}
	st.out.close()
	e.removeStage(st)
}

// closeStage ends a stage whose stream has been closed.
func (e *Engine) closeStage(st *stage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeStage(st)
}

// removeStage removes a stage from the engine. It keeps the stage's KV cache if the
// request asked for that. The caller must hold the lock.
func (e *Engine) removeStage(st *stage) {
	if e.stages[st.open.RequestID] == st {
		delete(e.stages, st.open.RequestID)
	} else if st.ended {
		return
	}
	if !st.ended {
		e.counts.Cancelled++
	}
	hashes := st.prefixes()
	e.cache.put(hashes[:min(len(hashes), st.kv/engine.PrefixBlockTokens)], time.Now())
	if st.open.KeepKV && !st.ended && st.kv > 0 {
		e.kv.Add(st.open.RequestID, keptKV{positions: st.kv, layers: st.hop.Layers, until: time.Now().Add(e.options.KeepKVFor)})
	}
	e.free(st)
}
