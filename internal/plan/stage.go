package plan

import (
	"time"

	"geraniumcroft/internal/config"
)

// Stage is the part of a plan that one engine serves.
type Stage struct {
	Target *config.Target
	// Layers is the target's range or a part of it.
	Layers config.LayerRange
}

// Latency returns the time that one token takes in the stage's engine at its full rate.
func (s Stage) Latency() time.Duration {
	seconds := float64(s.Layers.Len()) / rateOf(s.Target)
	return time.Duration(seconds * float64(time.Second))
}
