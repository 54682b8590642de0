package claim

import "time"

// claimRecord is the value of a claim row, encoded as JSON.
type claimRecord struct {
	Digest    []byte `json:"digest"`
	Owner     string `json:"owner"`
	RequestID string `json:"requestId"`
	// Deadline is the time by which the owner has ended the request.
	Deadline time.Time `json:"deadline"`
	// KeepUntil is the time after which the row may be swept.
	KeepUntil time.Time `json:"keepUntil"`
}
