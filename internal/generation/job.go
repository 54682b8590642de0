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
	// Layers is how many layers the model has, which every placement must cover; 0
	// takes the number from the first placement.
	Layers int
	// Prompt is not modified.
	Prompt []string
	// MaxTokens bounds the answer; 0 leaves it to the engine.
	MaxTokens int
	// Priority is the engines' scheduling priority.
	Priority int
	// Deadline bounds the whole run; zero is unbounded.
	Deadline time.Time
	// Idempotent says that the request may be sent again as a whole. A run continues
	// over failures either way, see the package comment; the failure of a request
	// that is not idempotent and may have run never advises a retry.
	Idempotent bool
	// FirstPlacement is the placement to start with. The run releases it.
	FirstPlacement Placement
	// NextPlacement returns new stages after a failure (without the excluded targets) or a
	// preemption. It may wait in admission; the run holds no placement meanwhile.
	NextPlacement func(ctx context.Context, exclude []string) (Placement, error)
	// Preempt, when something is received, makes the run give up its placement,
	// keep its KV cache and ask Replace for another. It may be nil.
	Preempt <-chan struct{}
}
