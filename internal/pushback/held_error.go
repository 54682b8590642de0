package pushback

import (
	"fmt"
	"time"
)

// HeldError means that each replica that could take a request has asked not to be sent one now. The
// request has not been sent, and may be sent later.
type HeldError struct {
	// Until is when the first of them may be sent one, zero if only other VMs may send to them.
	Until time.Time
}

// Error implements error.
func (e *HeldError) Error() string {
	if e.Until.IsZero() {
		return "held back, as replicas asked, for other VMs"
	}
	return fmt.Sprintf("held back, as replicas asked, until %s", e.Until.Format(time.RFC3339Nano))
}

// Sooner returns the earlier of two moments, of which a zero one is not known.
func Sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
