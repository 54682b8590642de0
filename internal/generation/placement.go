package generation

import (
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/plan"
)

// Placement is stages with a slot in hand on each of their targets.
type Placement interface {
	// Stages cover the model's layers once and in order.
	Stages() []plan.Stage
	// Release gives back the slots. Targets that are not in failed did their work.
	Release(failed map[string]balance.Result)
}
