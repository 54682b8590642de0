package claim

import (
	"time"

	"geraniumcroft/internal/outcome"
)

// claimRecord is the value of a claim row.
type claimRecord struct {
	Digest    []byte `json:"digest"`
	Owner     string `json:"owner"`
	RequestID string `json:"requestId"`
	// Deadline is when the owner has given up at the latest.
	Deadline time.Time `json:"deadline"`
	// KeepUntil is when the row may be swept.
	KeepUntil time.Time `json:"keepUntil"`
}

// endState is how a claimed request ended.
type endState string

const (
	endComplete endState = "complete"
	endUnknown  endState = "unknown"
	endNotRun   endState = "not-run"
)

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

// endRecord is the value of an end row.
type endRecord struct {
	RequestID string   `json:"requestId"`
	State     endState `json:"state"`
	// Answer is kept for endComplete when it is small enough.
	Answer    *Answer   `json:"answer,omitempty"`
	KeepUntil time.Time `json:"keepUntil"`
}
