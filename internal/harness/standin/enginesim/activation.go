package enginesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// activation asks a stage to process one position of a generation. The first one of
// an epoch also covers the prompt and the committed tokens before it.
type activation struct {
	requestID string
	epoch     uint32
	index     int
	position  int
	trace     []engine.Execution
	at        time.Time
	finished  bool // the generation has ended; the stage frees its slot

	// Set and used by the receiving engine alone.
	priority int
	seq      uint64
	work     float64 // remaining work, in units of one generated token
	prepared bool    // work is set
}
