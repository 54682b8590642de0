package enginesim

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

// reuse sets the number of positions of the context that need no replay, and returns
// the time at which work can start. The caller must hold the lock.
func (e *Engine) reuse(st *stage, imported int, arrives time.Time) time.Time {
	now := time.Now()
	whole := st.context(len(st.open.Committed))
	st.kv = e.cache.use(st.prefixes()) * engine.PrefixBlockTokens
	if kept, ok := e.kv.Peek(st.open.RequestID); ok {
		e.kv.Remove(st.open.RequestID)
		st.kv = max(st.kv, kept.usable(now, st.hop.Layers))
	}
	starts := now
	if imported > st.kv {
		st.kv = imported
		starts = arrives
	}
	st.kv = min(st.kv, whole)
	e.counts.ReusedKV += uint64(st.kv)
	return starts
}

// importKV imports the KV cache of a request from another engine. It returns the
// number of positions and the time of their arrival. The caller must not hold the
// lock: two engines that import from each other would deadlock.
func (e *Engine) importKV(open engine.StageOpen) (int, time.Time) {
	now := time.Now()
	from := e.fabric.Engine(open.ImportKVFrom)
	if from == nil || from == e || open.Index < 0 || open.Index >= len(open.Hops) {
		return 0, now
	}
	layers := open.Hops[open.Index].Layers
	positions := from.exportKV(open.RequestID, layers)
	size := positions * layers.Len() * e.options.KVBytesPerToken
	return positions, e.fabric.arrival(from.options.Name, e.options.Name, now, size)
}

func (e *Engine) exportKV(requestID string, layers config.LayerRange) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return 0
	}
	if own := e.stages[requestID]; own != nil && own.hop.Layers.Contains(layers) {
		return own.kv
	}
	kept, ok := e.kv.Peek(requestID)
	if !ok {
		return 0
	}
	return kept.usable(time.Now(), layers)
}
