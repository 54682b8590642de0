package pushback

import (
	"fmt"
	"iter"
	"time"
)

// ThrottledError reports that no replica able to run a request accepts one from this VM now: each is at
// its limit, asked to back off or is leaving. The request was not sent and may be sent later.
type ThrottledError struct {
	// Until is the earliest time at which one of the replicas accepts a request from this VM. It is zero
	// if none will, for instance because only other VMs may send to them.
	Until time.Time
}

// Error implements error.
func (e *ThrottledError) Error() string {
	if e.Until.IsZero() {
		return "replicas accept no requests from this VM"
	}
	return fmt.Sprintf("replicas accept no requests from this VM until %s", e.Until.Format(time.RFC3339Nano))
}

// AllThrottled combines the results of Ledger.Open for several replicas. It returns nil if any of them is
// open or if there are none, and otherwise an error with the earliest time.
func AllThrottled(each iter.Seq2[bool, time.Time]) *ThrottledError {
	var throttled *ThrottledError
	for open, at := range each {
		if open {
			return nil
		}
		if throttled == nil {
			throttled = &ThrottledError{}
		}
		if !at.IsZero() && (throttled.Until.IsZero() || at.Before(throttled.Until)) {
			throttled.Until = at
		}
	}
	return throttled
}
