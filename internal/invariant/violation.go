package invariant

import "time"

// Violation is one failed check, with the state that shows it.
type Violation struct {
	Name   Name      `json:"name"`
	Time   time.Time `json:"time"`
	Detail string    `json:"detail"`
}
