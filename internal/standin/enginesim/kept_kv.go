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
