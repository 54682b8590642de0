package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Sentinel errors that classify the result of an operation; match them with errors.Is.
var (
	// ErrRefused means that the service rejected the operation and nothing took effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrUnavailable means that the service was not reached, or the operation not sent,
	// and nothing took effect. A read without a response is unavailable too.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAmbiguous means that the write may have taken effect or may still do so.
	ErrAmbiguous = errors.New("platform's answer lost")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
)

// RefusedError reports the conditions that did not hold. It matches ErrRefused.
type RefusedError struct {
	// Rows are the current rows of the conditions that did not hold.
	Rows []Row
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("transaction refused: %d conditions do not hold", len(e.Rows))
}

// Is makes errors.Is(err, ErrRefused) return true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }
