package claim

import "geraniumcroft/internal/outcome"

// Decision says how to proceed with a keyed request. Exactly one field is set.
type Decision struct {
	// Run means that this VM owns the key: the caller dispatches the request and calls
	// Finish.
	Run bool
	// Replay is the kept answer of the earlier request with the key.
	Replay *Answer
	// Failure ends the request.
	Failure *outcome.Failure
}
