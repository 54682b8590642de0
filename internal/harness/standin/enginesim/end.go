package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// cancel ends a stage of an epoch up to the given one. Later opens of these
// epochs are refused: they were under way when the cancel overtook them.
func (e *Engine) cancel(requestID string, epoch uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if floor, _ := e.floors.Get(requestID); floor <= epoch {
		e.floors.Add(requestID, epoch+1)
	}
	st := e.stages[requestID]
	if st == nil || st.open.Epoch > epoch {
		return
	}
	st.out.close()
	e.end(st)
}

// leave ends the stage whose stream's connection has gone.
func (e *Engine) leave(st *stage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(st)
}

// end takes a stage off the engine, keeping its KV cache where the request asked.
func (e *Engine) end(st *stage) {
	if e.stages[st.open.RequestID] == st {
		delete(e.stages, st.open.RequestID)
	} else if st.over {
		return
	}
	if !st.over {
		e.counts.Cancelled++
	}
	hashes := st.prefixes()
	e.cache.put(hashes[:min(len(hashes), st.kv/engine.PrefixBlockTokens)], time.Now())
	if st.open.KeepKV && !st.over && st.kv > 0 {
		e.kv.Add(st.open.RequestID, keptKV{positions: st.kv, layers: st.hop.Layers, until: time.Now().Add(e.options.KeepKVFor)})
	}
	e.free(st)
}
