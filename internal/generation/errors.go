package generation

import (
	"errors"
	"fmt"
)

var (
	errNoTokenInTime   = errors.New("no token in time")
	errTruncated       = errors.New("the engine ended the response before its length")
	errBeyondMaxTokens = errors.New("the engine sent more tokens than requested")
	errWrongRequest    = errors.New("the engine sent an event of another request")
	errFutureEpoch     = errors.New("the engine sent an event of an epoch that was not opened")
	errTokenGap        = errors.New("the engine skipped a token")
	errTraceMismatch   = errors.New("the token's trace does not match the stages")
)

// reportedError is a failure that an engine reported.
type reportedError struct {
	reporter int
	message  string
}

// Error implements error.
func (e *reportedError) Error() string {
	return fmt.Sprintf("reported by stage %d: %s", e.reporter, e.message)
}
