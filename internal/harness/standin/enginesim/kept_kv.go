package enginesim

import (
	"time"

	"geraniumcroft/internal/config"
)

// keptKV is the KV cache of a request that was cancelled.
type keptKV struct {
	positions int
	layers    config.LayerRange
	until     time.Time
}

// usable returns how many positions a stage of these layers need not replay.
func (k keptKV) usable(now time.Time, layers config.LayerRange) int {
	if now.After(k.until) || !k.layers.Contains(layers) {
		return 0
	}
	return k.positions
}
