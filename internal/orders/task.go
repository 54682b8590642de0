package orders

import (
	"time"

	"geraniumcroft/internal/engine"
)

// task is the controller's state for one target during one tenure. The controller's mutex guards
// busy, next and lastDump, which is a copy for the dump that is set when a step ends. The other
// fields belong to the step that runs.
type task struct {
	target string

	// busy says that a step is running; next is when the next one is due.
	busy bool
	next time.Time
	// revision is the revision of the entry in the last step.
	revision uint64
	// lastDump is the dump of the task after its last step.
	lastDump TaskDump

	state engine.State
	// drained says that the controller asked for a drain and has not ended it.
	drained bool
	// confirmed is when the drain was first seen confirmed, zero if it is not.
	confirmed time.Time
	pending   *pending
	// fencingUpdated says that the engine accepted this tenure's fencing number.
	fencingUpdated bool
	ordersSent     int
	// failures is the number of failed steps in a row.
	failures int
}

// stepResult is the result of a step.
type stepResult struct {
	phase Phase
	// detail is for the dump; delay is the time until the next step.
	detail string
	delay  time.Duration
}
