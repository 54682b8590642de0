package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// The marks that tell what became of an operation; test with errors.Is.
var (
	// ErrRefused: the service answered no, nothing took effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrUnavailable: the service was not reached or not asked, nothing took effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrAmbiguous: the write may have taken effect, now or later.
	ErrAmbiguous = errors.New("platform's answer lost")
	// ErrNotFound: there is no such object.
	ErrNotFound = errors.New("not found")
)

// RefusedError reports the conditions that did not hold. It is ErrRefused.
type RefusedError struct {
	// Rows are the present rows of the conditions that failed.
	Rows []Row
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("transaction refused: %d conditions do not hold", len(e.Rows))
}

// Is makes errors.Is(err, ErrRefused) true.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }
