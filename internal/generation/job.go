package generation

import (
	"context"
	"time"
)

// Job is one generation to run.
type Job struct {
	RequestID string
	Model     string
	Version   string
	Adapter   string
	// Layers is the number of layers of the model, which each placement must cover. If
	// it is 0, the number is taken from the first placement.
	Layers int
	// Prompt is not modified.
	Prompt []string
	// MaxTokens bounds the tokens of the response. If it is 0, the engine decides.
	MaxTokens int
	// Priority is the scheduling priority in the engines.
	Priority int
	// Deadline bounds the whole run. The zero time means no deadline.
	Deadline time.Time
	// Idempotent reports whether the request may be sent again as a whole. A run
	// continues after failures in both cases, see the package comment. If a request that
	// is not idempotent may have run, its failure has no RetryAfter.
	Idempotent bool
	// FirstPlacement is the placement of the first epoch. The run releases it.
	FirstPlacement Placement
	// NextPlacement returns another placement, without the excluded targets, after a
	// failure or a preemption. It may wait in admission. The run holds no placement
	// while it calls NextPlacement.
	NextPlacement func(ctx context.Context, exclude []string) (Placement, error)
	// Preempt makes the run, for each value received, release its placement, ask the
	// engines to keep its KV cache, and get another placement from NextPlacement. It may
	// be nil.
	Preempt <-chan struct{}
}
