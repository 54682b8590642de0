package platform

import "fmt"

// UnavailableError reports an operation that took no effect, or a read without a
// response. It matches ErrUnavailable, with the standard library's errors.Is as well.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements the error interface.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Operation, e.Cause)
}

// Is makes errors.Is(err, ErrUnavailable) return true.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
