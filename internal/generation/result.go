package generation

// finishLength is the end of an answer that has all the tokens it was allowed.
const finishLength = "length"

// Result describes how far a run came; it is whole when Run returned no error.
type Result struct {
	// Tokens counts the tokens that the sink took.
	Tokens int
	// Finish is "stop" or "length".
	Finish string
	// Epochs counts the sets of stages that were opened; 1 without a failure.
	Epochs int
}
