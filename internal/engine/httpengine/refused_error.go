package httpengine

import "fmt"

// The codes of engines' refusals.
const (
	CodeBusy       = "busy"
	CodeOldFencing = "old-fencing"
	CodeOldEpoch   = "old-epoch"
	CodeLeaving    = "leaving"
	CodeNotHeld    = "not-held"
)

// RefusedError is an engine's response other than success.
type RefusedError struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d, code %q: %s", e.Status, e.Code, e.Message)
}
