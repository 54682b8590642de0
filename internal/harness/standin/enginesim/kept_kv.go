package enginesim

import (
	"time"

	"geraniumcroft/internal/config"
)

// keptKV is the KV cache kept for a request whose stage was cancelled.
type keptKV struct {
	positions int
	layers    config.LayerRange
	until     time.Time
}

// usable returns the number of positions that a stage with these layers need not
// replay.
func (k keptKV) usable(now time.Time, layers config.LayerRange) int {
	if now.After(k.until) || !k.layers.Contains(layers) {
		return 0
	}
	return k.positions
}
