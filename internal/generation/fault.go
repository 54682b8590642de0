package generation

import (
	"errors"
	"fmt"
	"net/http"

	"geraniumcroft/internal/balance"
	"geraniumcroft/internal/engine"
	"geraniumcroft/internal/outcome"
)

// fault is the failure of one stage in one epoch.
type fault struct {
	stage int
	kind  faultKind
	cause error
}

// Error implements error.
func (f *fault) Error() string { return fmt.Sprintf("stage %d: %v", f.stage, f.cause) }

// Unwrap returns the cause.
func (f *fault) Unwrap() error { return f.cause }

// balanceResult returns the result that the balancer records for the target.
func (f *fault) balanceResult() balance.Result {
	switch f.kind {
	case faultRefused:
		return balance.ResultNeutral
	case faultBusy:
		return balance.ResultBusy
	case faultSlow:
		return balance.ResultSlow
	default:
		return balance.ResultFailed
	}
}

func (f *fault) reason() outcome.Reason {
	if f.kind == faultSilent || f.kind == faultSlow {
		return outcome.ReasonTargetSilent
	}
	return outcome.ReasonTargetFailed
}

// newOpenFault returns the fault for a failed open. mayHaveRun reports whether the engine
// may have started.
func newOpenFault(stage int, err error) (f *fault, mayHaveRun bool) {
	var open *engine.OpenError
	if !errors.As(err, &open) {
		return &fault{stage: stage, kind: faultOpen, cause: err}, true
	}
	if open.Busy {
		return &fault{stage: stage, kind: faultBusy, cause: err}, false
	}
	if isRefusal(open.Status) {
		return &fault{stage: stage, kind: faultRefused, cause: err}, false
	}
	return &fault{stage: stage, kind: faultOpen, cause: err}, open.Sent
}

// isRefusal reports whether the status means that the engine did not start.
func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError ||
		status == http.StatusServiceUnavailable
}

// newStreamFault returns the fault for a stream that ended with an error.
// newStreamFault returns the fault for a stream that ended with an error.
func newStreamFault(stage int, err error) *fault {
	var broken *engine.StreamError
	if errors.As(err, &broken) && broken.Silent {
		return &fault{stage: stage, kind: faultSilent, cause: err}
	}
	return &fault{stage: stage, kind: faultBroken, cause: err}
}
