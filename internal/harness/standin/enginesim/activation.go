package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// activation asks a stage to work on one position of a generation. The first one
// of an epoch also stands for the prompt and the committed tokens before it.
type activation struct {
	requestID string
	epoch     uint32
	index     int
	position  int
	trace     []engine.Execution
	at        time.Time
	finished  bool // the generation is over; the stage frees its slot

	// The receiving engine's own.
	priority int
	seq      uint64
	work     float64 // generated tokens' worth of work that is left
	prepared bool
}
