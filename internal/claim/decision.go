package claim

import "geraniumcroft/internal/outcome"

// Decision is what to do with a keyed request. Exactly one field is set.
type Decision struct {
	// Run: this VM owns the key. Dispatch the request and call Finish.
	Run bool
	// Replay is the answer kept from the key's request.
	Replay *Answer
	// Failure ends the request.
	Failure *outcome.Failure
}
