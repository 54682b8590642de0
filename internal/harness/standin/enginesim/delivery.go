package enginesim

import "geraniumcroft/internal/engine"

// delivery is an activation in transit to the engine of another stage.
type delivery struct {
	from *stage
	hop  engine.Hop
	size int
	act  *activation
}
