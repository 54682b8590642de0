package relay

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/transport"
)

// sendError reports a send that ended without the head of a response.
type sendError struct {
	Address string
	// Sent is set if a byte of the request may have left this VM.
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

// mayHaveArrived reports whether a failed send may have reached a replica. If it did not, sending
// the request again is no repetition and costs no retry budget; otherwise a few dead replicas would
// use up the budget needed for those that respond.
func mayHaveArrived(err error) bool {
	var failed *sendError
	return !errors.As(err, &failed) || failed.Sent
}

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.Cause }

// lacksMemory reports whether a send ended because this VM had no memory for its answer, which says nothing about
// the replica.
func lacksMemory(err error) bool {
	return errors.Is(err, errNoBodyMemory) || errors.Is(err, transport.ErrNoMemory)
}

// brokeAfterSend reports whether a failed send had reached its replica, which did not declare that
// it did not run the request.
func brokeAfterSend(err error) bool {
	var failed *sendError
	return errors.As(err, &failed) && failed.Sent
}
