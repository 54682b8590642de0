package platform

import "fmt"

// UnavailableError reports an operation that took no effect, or a read without an
// answer. It is ErrUnavailable, for the standard errors.Is as well.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable: %s: %v", e.Operation, e.Cause)
}

// Is makes errors.Is(err, ErrUnavailable) true.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
