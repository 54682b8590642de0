package generation

import (
	"errors"
	"fmt"
)

var (
	errNoTokenInTime = errors.New("no token in time")
	errTruncated     = errors.New("the engine ended the answer before its length")
	errTooLong       = errors.New("the engine went on past the answer's length")
	errWrongRequest  = errors.New("the engine answered for another request")
	errFutureEpoch   = errors.New("the engine answered for an epoch that was not opened")
	errTokenGap      = errors.New("the engine left out a token")
	errTrace         = errors.New("the token was not made by the plan's stages")
)

// reportedError is a failure that an engine told of.
type reportedError struct {
	reporter int
	message  string
}

// Error implements error.
func (e *reportedError) Error() string {
	return fmt.Sprintf("reported by stage %d: %s", e.reporter, e.message)
}
