package orders

import (
	"time"

	"geraniumcroft/internal/engine"
)

// task is the controller's work on one target during one tenure. Apart from busy
// and next, which the controller's mutex guards, its fields belong to the one step
// that runs; the dump reads a copy that is published when the step ends.
type task struct {
	target string

	// busy says that a step runs; next is when the next one is due.
	busy bool
	next time.Time
	// revision is the entry's revision that the last step looked at.
	revision uint64
	// view is what the last step left for the dump.
	view TaskDump

	state engine.State
	// drained says that the controller asked for a drain and has not ended it.
	drained bool
	// confirmed is when the drain was first seen confirmed, zero if it is not.
	confirmed time.Time
	pending   *pending
	// stamped says that the engine was given this tenure's fencing number.
	stamped bool
	orders  int
	// failures counts the looks in a row that led nowhere.
	failures int
}

// verdict is how a step ended.
type verdict struct {
	phase Phase
	// detail is for the dump; after is when to look again.
	detail string
	after  time.Duration
}
