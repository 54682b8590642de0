package plan

import (
	"time"

	"geraniumcroft/internal/config"
)

// Stage is one engine's part of a plan.
type Stage struct {
	Target *config.Target
	// Layers lie within the target's range and may be a part of it.
	Layers config.LayerRange
}

// Latency returns what one token spends in the stage's engine at its full rate.
func (s Stage) Latency() time.Duration {
	seconds := float64(s.Layers.Len()) / rateOf(s.Target)
	return time.Duration(seconds * float64(time.Second))
}
