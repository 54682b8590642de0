package platformsim

import "time"

// Action is the fault that applies to one operation.
type Action struct {
	Kind ActionKind
	Wait time.Duration
}
