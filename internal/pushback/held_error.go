package pushback

import (
	"fmt"
	"iter"
	"time"
)

// ThrottledError means that each replica that could take a request has asked not to be sent one now. The
// request has not been sent, and may be sent later.
type ThrottledError struct {
	// Until is when the first of them may be sent one, zero if only other VMs may send to them.
	Until time.Time
}

// Error implements error.
func (e *ThrottledError) Error() string {
	if e.Until.IsZero() {
		return "held back, as replicas asked, for other VMs"
	}
	return fmt.Sprintf("held back, as replicas asked, until %s", e.Until.Format(time.RFC3339Nano))
}

// AllThrottled returns the error for replicas of which none may be sent a request, nil if one may or there are
// none. Each is what Ledger.Open returns of one of them.
func AllThrottled(each iter.Seq2[bool, time.Time]) *ThrottledError {
	var held *ThrottledError
	for open, at := range each {
		if open {
			return nil
		}
		if held == nil {
			held = &ThrottledError{}
		}
		if !at.IsZero() && (held.Until.IsZero() || at.Before(held.Until)) {
			held.Until = at
		}
	}
	return held
}
