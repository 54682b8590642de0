package relay

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// sendError reports a send without an answer's head.
type sendError struct {
	Address string
	// Sent says whether a byte of the request may have left this VM.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *sendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s: %v", e.Address, e.Cause)
	}
	return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause)
}

// mayHaveArrived reports whether a send that failed may have reached a replica. One that
// did not is no repetition when the request is sent once more, and costs no retry budget:
// else a few dead replicas use up what is needed for those that answer.
func mayHaveArrived(err error) bool {
	var failed *sendError
	return !errors.As(err, &failed) || failed.Sent
}

// Unwrap implements the errors package's convention.
func (e *sendError) Unwrap() error { return e.Cause }

// brokeOff reports whether a send that failed had reached its replica, which did not say that it
// did not run the request.
func brokeOff(err error) bool {
	var failed *sendError
	return errors.As(err, &failed) && failed.Sent
}
