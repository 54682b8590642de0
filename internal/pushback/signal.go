package pushback

import "time"

// Signal holds the flow control fields of one answer of a replica.
type Signal struct {
	// Limit is the rate limit. An answer without a limit ends an earlier limit.
	Limit Limit
	// LimitInvalid reports whether the limit could not be parsed. Limit is meaningless then.
	LimitInvalid bool
	// BackOff is the time for which the replica wants no requests from this VM, 0 if it did not ask to
	// back off.
	BackOff time.Duration
	// Leaving announces that the replica is leaving: it is about to end. Later answers of the same
	// incarnation do not revoke it.
	Leaving bool
	// ParseErr is the error of the headers that could not be parsed, nil if all could. These headers have
	// no effect.
	ParseErr error
}
