package generation

import (
	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/plan"
)

// Placement is a set of stages with a reserved slot on each of their targets.
type Placement interface {
	// Stages returns the stages, which cover the model's layers once and in order.
	Stages() []plan.Stage
	// Release releases the slots. Targets that are not in failed have completed their
	// work.
	Release(failed map[string]balance.Result)
}
