package balance

import "errors"

var (
	// ErrNoCapacity means that targets are eligible but have no slot for the request's
	// urgency now. The request may wait.
	ErrNoCapacity = errors.New("no free slot")
	// ErrNoTarget means that no target is eligible. Waiting for a slot does not help.
	ErrNoTarget = errors.New("no eligible target")
)
