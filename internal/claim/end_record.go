package claim

import (
	"time"

	"geraniumcroft/internal/outcome"
)

// endState is how a claimed request ended.
type endState string

const (
	endComplete endState = "complete"
	endUnknown  endState = "unknown"
	endNotRun   endState = "not-run"
)

// endRecord is the value of an end row.
type endRecord struct {
	RequestID string   `json:"requestId"`
	State     endState `json:"state"`
	// Answer is kept for endComplete when it is small enough.
	Answer    *Answer   `json:"answer,omitempty"`
	KeepUntil time.Time `json:"keepUntil"`
}

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
