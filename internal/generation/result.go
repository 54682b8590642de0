package generation

// finishLength is the finish reason of a response that has as many tokens as allowed.
const finishLength = "length"

// Result describes the response of a run. It is complete if Run returned no error.
type Result struct {
	// Tokens is the number of tokens that the sink accepted.
	Tokens int
	// Finish is the finish reason, "stop" or "length".
	Finish string
	// Epochs is the number of epochs. It is 1 if there was no failure or preemption.
	Epochs int
}
