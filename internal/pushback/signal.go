package pushback

import "time"

// Signal is what one answer of a replica says of the requests that it takes.
type Signal struct {
	// Limit is none in an answer that names none, which ends an earlier one.
	Limit Limit
	// LimitInvalid says that the limit could not be read and Limit says nothing.
	LimitInvalid bool
	// BackOff is for how long the replica wants no requests from this VM, 0 if it does not say.
	BackOff time.Duration
	// Leaving says that the replica is about to end. No later answer of the same incarnation takes it back.
	Leaving bool
	// ParseErr is why parts of the answer's head could not be read, nil if all could. They say nothing.
	ParseErr error
}
