package invariant

import "time"

// Violation is one failed check. Detail describes the state that violates the invariant.
type Violation struct {
	Name   Name      `json:"name"`
	Time   time.Time `json:"time"`
	Detail string    `json:"detail"`
}
