package platformsim

import "time"

// Action is what happens to one operation.
type Action struct {
	Kind ActionKind
	Wait time.Duration
}
