package claim

import (
	"time"

	"geraniumcroft/internal/outcome"
)

// endState says how a claimed request ended.
type endState string

const (
	endComplete endState = "complete"
	endUnknown  endState = "unknown"
	endNotRun   endState = "not-run"
)

// endRecord is the value of an end row, encoded as JSON.
type endRecord struct {
	RequestID string   `json:"requestId"`
	State     endState `json:"state"`
	// Answer is set for endComplete if its body has at most MaxKeptAnswer bytes.
	Answer *Answer `json:"answer,omitempty"`
	// KeepUntil is the time after which the row may be swept.
	KeepUntil time.Time `json:"keepUntil"`
}

// endStateOf returns the state that is stored for the outcome.
func endStateOf(o outcome.Outcome) endState {
	switch o {
	case outcome.Complete:
		return endComplete
	case outcome.NotRun:
		return endNotRun
	default:
		return endUnknown
	}
}
