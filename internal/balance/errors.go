package balance

import "errors"

var (
	// ErrNoCapacity means that targets are eligible but have no slot for the
	// request's urgency now; the request may wait.
	ErrNoCapacity = errors.New("no free slot")
	// ErrNoTarget means that no target is eligible; waiting for a slot is no use.
	ErrNoTarget = errors.New("no eligible target")
)
