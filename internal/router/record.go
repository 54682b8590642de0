package router

import (
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/outcome"
)

// Record describes how one request ended, for logs, metrics and the dump. It contains no
// body, key or token.
type Record struct {
	RequestID string          `json:"requestId"`
	Profile   string          `json:"profile"`
	Workspace string          `json:"workspace"`
	Urgency   config.Urgency  `json:"urgency"`
	Outcome   outcome.Outcome `json:"outcome"`
	Reason    outcome.Reason  `json:"reason,omitempty"`
	Detail    string          `json:"detail,omitempty"`
	Arrival   time.Time       `json:"arrival"`
	Took      time.Duration   `json:"tookNanoseconds"`
	Tokens    int             `json:"tokens,omitempty"`
	Epochs    int             `json:"epochs,omitempty"`
	// Cause is only logged. It may be nil.
	Cause error `json:"-"`
}
