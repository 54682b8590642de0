package hop

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrNoPeer reports that there is no peer to ask.
var ErrNoPeer = errors.New("no peer passes connections on")

// DeclinedError reports that a peer passes no connection on. Another peer may.
type DeclinedError struct {
	Peer   string
	Reason string
}

// Error implements error.
func (e *DeclinedError) Error() string { return fmt.Sprintf("peer %s declined: %s", e.Peer, e.Reason) }

// ReplicaError reports that a peer did not reach the replica either.
type ReplicaError struct {
	Peer string
	// Refused is set if the replica's host refused the connection. The error then is
	// syscall.ECONNREFUSED too.
	Refused bool
	Reason  string
}

// Error implements error.
func (e *ReplicaError) Error() string {
	return fmt.Sprintf("not reached by peer %s: %s", e.Peer, e.Reason)
}

// Is implements the interface of errors.Is.
func (e *ReplicaError) Is(target error) bool { return e.Refused && target == syscall.ECONNREFUSED }

// PeerError reports that a peer did not answer, or that the connection to it broke.
type PeerError struct {
	Peer  string
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: %v", e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// UnconfirmedError reports a failed direct connection of a VM that may itself be cut off. It hides
// whether the replica's host refused the connection, as that would be taken for the replica's end.
type UnconfirmedError struct{ Cause error }

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%v; this VM may be cut off", e.Cause)
}
